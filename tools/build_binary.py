"""Build ``build/hemlockhoist``, a single file with the program and its libraries.

The libraries are copied from the environment that runs this script, so that the build
needs no network. Usage: ``python tools/build_binary.py``. Nothing is built if the
digest of the inputs has not changed since the last build.
"""

import hashlib
import importlib.metadata
import pathlib
import shutil
import sys
import tomllib
import zipfile

from packaging.requirements import Requirement
from shiv.cli import main as shiv

ROOT = pathlib.Path(__file__).resolve().parent.parent
BUILD = ROOT / "build"
BINARY = BUILD / "hemlockhoist"
STAGING = BUILD / "site-packages"
DIGEST = BUILD / "hemlockhoist.inputs"
MAIN = ROOT / "tools" / "binary_main.py"
# Tests and stand-ins are not part of the product.
EXCLUDED_LIBRARIES = {"standins"}
PYTHON = "/usr/bin/env python3.11"
_PRODUCT_PREFIX = "hemlockhoist-"
# Installation records contain paths of the machine that built the binary.
_EXCLUDED_NAMES = {"RECORD", "INSTALLER", "REQUESTED", "direct_url.json"}
# The sources of compiled libraries are not needed at run time.
_EXCLUDED_SUFFIXES = {".c", ".h", ".proto", ".pxd", ".pxi", ".pyi", ".pyx"}

# The second implementation that zstandard ships, for interpreters without its first.
_EXCLUDED_PREFIXES = ("zstandard/_cffi.", "zstandard/backend_cffi.")


def product_libraries():
    """Return the folders of the workspace libraries that are part of the product."""
    folders = sorted((ROOT / "libs").iterdir())
    return [item for item in folders if item.name not in EXCLUDED_LIBRARIES]


def product_files():
    """Return pairs ``(source, target)`` for the modules of the product."""
    found = []
    for library in product_libraries():
        source = library / "src"
        for path in sorted(source.rglob("*.py")):
            relative = path.relative_to(source)
            if "tests" not in relative.parts and path.stem != "testing":
                found.append((path, relative))
    return found


def distributions():
    """Return the installed distributions that the product requires, by name."""
    pending = []
    for library in product_libraries():
        project = tomllib.loads((library / "pyproject.toml").read_text())
        pending += project["project"]["dependencies"]
    found = {}
    while pending:
        requirement = Requirement(pending.pop())
        name = requirement.name.lower().replace("_", "-")
        applies = requirement.marker is None or requirement.marker.evaluate(
            {"extra": ""}
        )
        if not applies or name in found or name.startswith(_PRODUCT_PREFIX):
            continue
        found[name] = importlib.metadata.distribution(name)
        pending += found[name].requires or []
    return found


def library_files():
    """Return pairs ``(source, target)`` for the files of the required libraries."""
    found = []
    for _, distribution in sorted(distributions().items()):
        for path in distribution.files or []:
            if is_needed(path):
                found.append((pathlib.Path(path.locate()), pathlib.Path(path)))
    return found


def is_needed(path):
    """Return whether a file of an installed library is needed at run time."""
    return (
        path.parts[0] != ".."
        and "__pycache__" not in path.parts
        and path.name not in _EXCLUDED_NAMES
        and path.suffix not in _EXCLUDED_SUFFIXES
        and not path.as_posix().startswith(_EXCLUDED_PREFIXES)
    )


def inputs_digest(files):
    """Return a digest of all inputs of the binary."""
    digest = hashlib.sha256(MAIN.read_bytes() + pathlib.Path(__file__).read_bytes())
    for source, target in files:
        status = source.stat()
        digest.update(f"{target} {status.st_size} {status.st_mtime_ns}\n".encode())
    return digest.hexdigest()


def stage(files):
    """Copy the files to an empty staging folder."""
    shutil.rmtree(STAGING, ignore_errors=True)
    for source, target in files:
        copy = STAGING / target
        copy.parent.mkdir(parents=True, exist_ok=True)
        shutil.copy2(source, copy)


def pack():
    """Create the archive, with ``binary_main.py`` as its ``__main__`` module."""
    packed = BUILD / "packed"
    shiv.main(
        args=[
            *("--site-packages", str(STAGING), "--output-file", str(packed)),
            *("--entry-point", "hemlockhoist.cli.main:main"),
            *("--python", PYTHON, "--reproducible"),
        ],
        standalone_mode=False,
    )
    partial = BUILD / "hemlockhoist.partial"
    with zipfile.ZipFile(packed) as old, partial.open("wb") as file:
        file.write(f"#!{PYTHON}\n".encode())
        with zipfile.ZipFile(file, "w", zipfile.ZIP_DEFLATED) as new:
            for item in old.infolist():
                data = old.read(item)
                if item.filename == "__main__.py":
                    data = MAIN.read_bytes()
                new.writestr(item, data)
    partial.chmod(0o755)
    # The replacement is atomic: a start meanwhile gets the complete old or new binary.
    partial.replace(BINARY)
    packed.unlink()


def build():
    """Build the binary if it is not up to date, and return its path."""
    files = product_files() + library_files()
    digest = inputs_digest(files)
    if BINARY.exists() and DIGEST.exists() and DIGEST.read_text() == digest:
        return BINARY
    BUILD.mkdir(exist_ok=True)
    stage(files)
    pack()
    shutil.rmtree(STAGING)
    DIGEST.write_text(digest)
    return BINARY


if __name__ == "__main__":
    path = build()
    print(f"{path.relative_to(ROOT)}: {path.stat().st_size} bytes", file=sys.stdout)
