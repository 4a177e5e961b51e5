"""Entry point of the binary: selects the folder to unpack to, and unpacks itself.

``build_binary.py`` adds this module to the archive as ``__main__``. It uses only the
standard library, and starts no other process.
"""

import os
import pathlib
import sys

ROOT_VARIABLE = "HEMLOCKHOIST_ROOT"
DEFAULT_ROOT = "/run/hemlockhoist"
MEMORY_FILE_SYSTEMS = frozenset({"tmpfs", "ramfs"})
EXIT_INVALID = 3
# The compiled libraries in the archive require this release of Python.
PYTHON_RELEASE = (3, 11)


def file_system_type(path, mounts):
    """Return the type of the file system that holds ``path``.

    Parameters
    ==========
    path : str
        An absolute path without symbolic links.
    mounts : str
        The contents of ``/proc/self/mounts``.
    """
    longest, kind = "", ""
    for line in mounts.splitlines():
        fields = line.split()
        mount_point = fields[1].replace("\\040", " ")
        contains_path = path == mount_point or path.startswith(
            mount_point.rstrip("/") + "/"
        )
        # A later mount on the same mount point hides the earlier one.
        if contains_path and len(mount_point) >= len(longest):
            longest, kind = mount_point, fields[2]
    return kind


def choose_root(environment):
    """Return the folder to unpack to, or exit with an error.

    A host has no disk. On a full or missing disk the unpacked program would be
    incomplete, and would fail at its first late import, with requests in progress.
    Therefore a folder that is not in memory is refused before anything is written.
    """
    root = os.path.realpath(environment.get(ROOT_VARIABLE) or DEFAULT_ROOT)
    mounts = pathlib.Path("/proc/self/mounts").read_text()
    kind = file_system_type(root, mounts)
    if kind not in MEMORY_FILE_SYSTEMS:
        fail(f"{root} is on a file system of type {kind or 'unknown'}")
    try:
        os.makedirs(root, mode=0o700, exist_ok=True)
    except OSError as error:
        fail(f"{root} cannot be created: {error.strerror}")
    if not os.access(root, os.W_OK | os.X_OK):
        fail(f"{root} is not writable")
    return root


def fail(message):
    """Print an error with its remedy, and exit."""
    print(
        f"error 406: {message}\n"
        f"next: Set {ROOT_VARIABLE} to a folder on a memory file system (tmpfs).",
        file=sys.stderr,
    )
    raise SystemExit(EXIT_INVALID)


def main():
    """Unpack the archive, once per build, and run the command."""
    if sys.version_info[:2] != PYTHON_RELEASE:
        required_release = ".".join(str(part) for part in PYTHON_RELEASE)
        print(f"error 406: Python {required_release} is required", file=sys.stderr)
        raise SystemExit(EXIT_INVALID)
    root = choose_root(os.environ)
    # The variables of shiv, the archive tool, could start other programs or processes,
    # or unpack to another folder.
    for name in [name for name in os.environ if name.startswith("SHIV_")]:
        del os.environ[name]
    os.environ["SHIV_ROOT"] = root
    # Compiled modules, those of the standard library included, are kept in memory, too.
    sys.pycache_prefix = os.path.join(root, "pycache")
    import _bootstrap

    _bootstrap.bootstrap()


if __name__ == "__main__":
    main()
