"""The host process: caller, operator and peer surfaces."""

import importlib

__all__ = ["HostProcess", "SettingFaults", "Settings", "run"]

_MODULES = {
    "HostProcess": "hemlockhoist.host.process",
    "SettingFaults": "hemlockhoist.host.settings",
    "Settings": "hemlockhoist.host.settings",
    "run": "hemlockhoist.host.process",
}


def __getattr__(name):
    """Import a public name's module when it is first asked for.

    Homes and grants of this package also serve another program, which starts a tenth
    of a second sooner without the rest of this one: while it loads, its callers wait.
    """
    if name not in _MODULES:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(importlib.import_module(_MODULES[name]), name)
