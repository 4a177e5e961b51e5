"""Entry point of ``python -m hemlockhoist.cli``."""

from hemlockhoist.cli.main import main

main(prog_name="hemlockhoist")
