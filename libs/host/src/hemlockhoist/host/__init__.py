"""The host process, with its interfaces for callers, operators and peers."""

import importlib

__all__ = ["HostProcess", "SettingFaults", "Settings", "run"]

_MODULES = {
    "HostProcess": "hemlockhoist.host.process",
    "SettingFaults": "hemlockhoist.host.settings",
    "Settings": "hemlockhoist.host.settings",
    "run": "hemlockhoist.host.process",
}


def __getattr__(name):
    """Import the module of a public name on first access.

    Another program also uses the homes and grants of this package. Without the other
    modules it starts 0.1 s faster, and its callers wait while it loads.
    """
    if name not in _MODULES:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(importlib.import_module(_MODULES[name]), name)
