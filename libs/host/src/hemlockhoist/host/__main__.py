"""``python -m hemlockhoist.host``: runs a host with settings from the environment."""

import os

from hemlockhoist.host import Settings, run

if __name__ == "__main__":
    run(Settings.from_environment(os.environ))
