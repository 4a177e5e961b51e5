"""Build ``build/hemlockhoist``: the program and its libraries in one file.

The libraries are copied from the environment that runs this script, so that the build
needs no network. Usage: ``python tools/build_binary.py``; it does nothing when the file
is newer than everything that goes into it.
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
# Tests and stand-ins are no part of the product.
EXCLUDED_LIBRARIES = {"standins"}
PYTHON = "/usr/bin/env python3.11"
_OWN_PREFIX = "hemlockhoist-"
# Records of an installation name folders of the machine that built it.
_LEFT_OUT_NAMES = {"RECORD", "INSTALLER", "REQUESTED", "direct_url.json"}
# What the compiled libraries were made from is not read at run time.
_LEFT_OUT_SUFFIXES = {".c", ".h", ".proto", ".pxd", ".pxi", ".pyi", ".pyx"}


def product_libraries():
    """Return the folders of the workspace's libraries that are shipped."""
    folders = sorted((ROOT / "libs").iterdir())
    return [item for item in folders if item.name not in EXCLUDED_LIBRARIES]


def own_files():
    """Return ``(source, target)`` of the product's own modules."""
    found = []
    for library in product_libraries():
        source = library / "src"
        for path in sorted(source.rglob("*.py")):
            relative = path.relative_to(source)
            if "tests" not in relative.parts and path.stem != "testing":
                found.append((path, relative))
    return found


def distributions():
    """Return the installed distributions that the product needs, by name."""
    wanted = []
    for library in product_libraries():
        project = tomllib.loads((library / "pyproject.toml").read_text())
        wanted += project["project"]["dependencies"]
    found = {}
    while wanted:
        requirement = Requirement(wanted.pop())
        name = requirement.name.lower().replace("_", "-")
        applies = requirement.marker is None or requirement.marker.evaluate(
            {"extra": ""}
        )
        if not applies or name in found or name.startswith(_OWN_PREFIX):
            continue
        found[name] = importlib.metadata.distribution(name)
        wanted += found[name].requires or []
    return found


def library_files():
    """Return ``(source, target)`` of the libraries' files."""
    found = []
    for _, distribution in sorted(distributions().items()):
        for path in distribution.files or []:
            if is_needed(path):
                found.append((pathlib.Path(path.locate()), pathlib.Path(path)))
    return found


def is_needed(path):
    """Return whether a file of an installed library is read at run time."""
    return (
        path.parts[0] != ".."
        and "__pycache__" not in path.parts
        and path.name not in _LEFT_OUT_NAMES
        and path.suffix not in _LEFT_OUT_SUFFIXES
    )


def inputs_digest(files):
    """Return a digest of everything that goes into the binary."""
    digest = hashlib.sha256(MAIN.read_bytes() + pathlib.Path(__file__).read_bytes())
    for source, target in files:
        status = source.stat()
        digest.update(f"{target} {status.st_size} {status.st_mtime_ns}\n".encode())
    return digest.hexdigest()


def stage(files):
    """Copy the files to a fresh folder."""
    shutil.rmtree(STAGING, ignore_errors=True)
    for source, target in files:
        copy = STAGING / target
        copy.parent.mkdir(parents=True, exist_ok=True)
        shutil.copy2(source, copy)


def pack():
    """Make the archive and put the product's own first module into it."""
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
    # Whoever starts the binary meanwhile has the former one or this one, whole.
    partial.replace(BINARY)
    packed.unlink()


def build():
    """Build the binary unless it is up to date; return its path."""
    files = own_files() + library_files()
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
