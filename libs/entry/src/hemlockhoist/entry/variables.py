"""Environment variables of an entry host, which the platform's settings do not have."""

from hemlockhoist.base import SettingError
from hemlockhoist.decisions.scheduling import Experiments
from hemlockhoist.entry.features import read_integer

METRICS_PORT_VARIABLE = "HEMLOCKHOIST_METRICS_PORT"
EXPERIMENTS_VARIABLE = "HEMLOCKHOIST_EXPERIMENTS"
RESERVE_RETRIES_VARIABLE = "HEMLOCKHOIST_RESERVE_RETRIES"
MAX_PORT = 65_535
_SWITCH = {"on": True, "off": False}


def read_metrics_port(environment):
    """Return the metrics port as text, empty for none.

    Raises
    ======
    SettingError
        If it is not a port.
    """
    if not environment.get(METRICS_PORT_VARIABLE, ""):
        return ""
    return str(read_integer(environment, METRICS_PORT_VARIABLE, MAX_PORT, minimum=1))


def read_experiments(environment):
    """Return the ``Experiments``.

    Raises
    ======
    SettingError
        For an unknown name.
    """
    try:
        return Experiments.from_text(environment.get(EXPERIMENTS_VARIABLE, ""))
    except SettingError as error:
        raise SettingError(f"{EXPERIMENTS_VARIABLE}: {error.message}") from None


def read_switch(environment, variable, default):
    """Return whether a part is switched on.

    Parameters
    ==========
    environment : mapping of str to str
    variable : str
    default : bool
        Used where the variable is not set or empty.

    Raises
    ======
    SettingError
        For any value but ``on`` and ``off``.

    Examples
    ========
    >>> environment = {"HEMLOCKHOIST_RESERVE_RETRIES": "on"}
    >>> read_switch(environment, RESERVE_RETRIES_VARIABLE, default=False)
    True
    """
    value = environment.get(variable, "")
    if not value:
        return default
    if value not in _SWITCH:
        raise SettingError(f"{variable} is {value!r}, not {' or '.join(_SWITCH)}")
    return _SWITCH[value]
