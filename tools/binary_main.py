"""The first module that the binary runs: checks where it may write, and unpacks there.

It is put into the archive as ``__main__`` by ``build_binary.py`` and uses the standard
library only. All of this happens in one process.
"""

import os
import pathlib
import sys

ROOT_VARIABLE = "HEMLOCKHOIST_ROOT"
DEFAULT_ROOT = "/run/hemlockhoist"
MEMORY_FILE_SYSTEMS = frozenset({"tmpfs", "ramfs"})
EXIT_INVALID = 3
# Replaced by the build: the compiled libraries fit this release of Python only.
PYTHON_RELEASE = (3, 11)


def file_system_type(path, mounts):
    """Return the type of the file system that holds ``path``.

    Parameters
    ==========
    path : str
        Absolute, without links.
    mounts : str
        Contents of ``/proc/self/mounts``.
    """
    best, kind = "", ""
    for line in mounts.splitlines():
        fields = line.split()
        point = fields[1].replace("\\040", " ")
        inside = path == point or path.startswith(point.rstrip("/") + "/")
        # A later line for the same point covers the earlier one.
        if inside and len(point) >= len(best):
            best, kind = point, fields[2]
    return kind


def choose_root(environment):
    """Return the folder to unpack to, or end with what to do.

    A host has no disk. On a full or missing one the unpacked program would be cut
    short and fail later, at its first late import, with requests in progress; so a
    folder that is not in memory is refused before anything is written.
    """
    root = os.path.realpath(environment.get(ROOT_VARIABLE) or DEFAULT_ROOT)
    mounts = pathlib.Path("/proc/self/mounts").read_text()
    kind = file_system_type(root, mounts)
    if kind not in MEMORY_FILE_SYSTEMS:
        fail(f"{root} is on a file system of type {kind or 'unknown'}")
    try:
        os.makedirs(root, mode=0o700, exist_ok=True)
    except OSError as error:
        fail(f"{root} can not be made: {error.strerror}")
    if not os.access(root, os.W_OK | os.X_OK):
        fail(f"{root} can not be written")
    return root


def fail(message):
    """End with a message and what to do next."""
    print(
        f"error 406: {message}\n"
        f"next: Set {ROOT_VARIABLE} to a folder on a memory file system (tmpfs).",
        file=sys.stderr,
    )
    raise SystemExit(EXIT_INVALID)


def main():
    """Unpack once for each build, and run the command."""
    if sys.version_info[:2] != PYTHON_RELEASE:
        wanted = ".".join(str(part) for part in PYTHON_RELEASE)
        print(f"error 406: Python {wanted} is needed", file=sys.stderr)
        raise SystemExit(EXIT_INVALID)
    root = choose_root(os.environ)
    # The archive tool's own variables could start other programs or processes, or
    # unpack elsewhere.
    for name in [name for name in os.environ if name.startswith("SHIV_")]:
        del os.environ[name]
    os.environ["SHIV_ROOT"] = root
    # Compiled modules, of the standard library too, are kept in memory as well.
    sys.pycache_prefix = os.path.join(root, "pycache")
    import _bootstrap

    _bootstrap.bootstrap()


if __name__ == "__main__":
    main()
