"""Make all libraries of the workspace importable in the current environment.

A path file lists the source folders of the libraries. This has the same effect as an
editable installation of each, without building nine packages at every setup.
"""

import pathlib
import sysconfig

ROOT = pathlib.Path(__file__).resolve().parent.parent


def main():
    """Write the path file into the environment's ``site-packages``."""
    sources = sorted([*ROOT.glob("libs/*/src"), ROOT / "platform" / "src"])
    target = pathlib.Path(sysconfig.get_path("purelib")) / "hemlockhoist.pth"
    target.write_text("".join(f"{source}\n" for source in sources))


if __name__ == "__main__":
    main()
