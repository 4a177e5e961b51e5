"""Environment variables of an entry host, which the platform's settings do not have."""

from hemlockhoist.base import SettingError
from hemlockhoist.decisions.scheduling import Experiments
from hemlockhoist.host.settings_kinds import Secret, describe, parse_value

METRICS_PORT_VARIABLE = "HEMLOCKHOIST_METRICS_PORT"
EXPERIMENTS_VARIABLE = "HEMLOCKHOIST_EXPERIMENTS"
RESERVE_RETRIES_VARIABLE = "HEMLOCKHOIST_RESERVE_RETRIES"
FLAP_DAMPING_VARIABLE = "HEMLOCKHOIST_FLAP_DAMPING_MAX_MS"
KEPT_CONNECTIONS_VARIABLE = "HEMLOCKHOIST_KEPT_CONNECTIONS"
PERMILLE_VARIABLE = "HEMLOCKHOIST_HEDGE_PERMILLE"
EXCLUDED_VARIABLE = "HEMLOCKHOIST_HEDGE_EXCLUDED_ROUTES"
OPERATOR_KEY_VARIABLE = "HEMLOCKHOIST_OPERATOR_KEY"
MAX_PORT = 65_535
MAX_FLAP_DAMPING_MS = 60_000
MAX_KEPT_CONNECTIONS = 1_000
# Four to each of 50 upstreams, the most that are kept to one. They take 1 MB.
SCARCE_KEPT_CONNECTIONS = 200
MAX_PERMILLE = 200
# Longer numbers are invalid, whatever their value.
MAX_DIGITS = 9
MAX_PERMILLE_DIGITS = 4
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


def read_operator_key(environment):
    """Return the operators' key, empty for none.

    Raises
    ======
    SettingError
        If it is too short, or its file cannot be read. The value is not shown.
    """
    text = environment.get(OPERATOR_KEY_VARIABLE, "")
    if not text:
        return ""
    kind = Secret()
    try:
        return parse_value(kind, text)
    except (ValueError, OSError):
        allowed = describe(kind)
        raise SettingError(
            f"{OPERATOR_KEY_VARIABLE}: is ***; allowed: {allowed}"
        ) from None


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


def read_features(environment, is_capacity_scarce=False):
    """Return the fields of ``EntrySettings`` that variables determine.

    Parameters
    ==========
    environment : mapping of str to str
    is_capacity_scarce : bool, optional
        Whether the deployment declares that its callers compete for too little
        capacity. Features that save capacity are then on unless a variable says
        otherwise.

    Returns
    =======
    dict of str to int or bool

    Raises
    ======
    SettingError

    Examples
    ========
    >>> from hemlockhoist.entry.environment import read_features
    >>> found = read_features({"HEMLOCKHOIST_FLAP_DAMPING_MAX_MS": "30000"})
    >>> found["flap_damping_max_ms"]
    30000
    >>> read_features({}, is_capacity_scarce=True)["kept_connections"]
    200
    """
    return {
        "reserves_retries": read_switch(
            environment, RESERVE_RETRIES_VARIABLE, default=is_capacity_scarce
        ),
        "flap_damping_max_ms": read_integer(
            environment, FLAP_DAMPING_VARIABLE, MAX_FLAP_DAMPING_MS
        ),
        "kept_connections": read_integer(
            environment,
            KEPT_CONNECTIONS_VARIABLE,
            MAX_KEPT_CONNECTIONS,
            default=SCARCE_KEPT_CONNECTIONS if is_capacity_scarce else 0,
        ),
    }


def read_hedge_settings(environment):
    """Return the fields of ``EntrySettings`` that govern hedges.

    Parameters
    ==========
    environment : mapping of str to str

    Returns
    =======
    dict

    Raises
    ======
    SettingError
        Names the variable, its value and what is allowed.

    Examples
    ========
    >>> from hemlockhoist.entry.environment import read_hedge_settings
    >>> read_hedge_settings({"HEMLOCKHOIST_HEDGE_PERMILLE": "20"})
    {'hedge_permille': 20, 'hedge_excluded_routes': ()}
    """
    return {
        "hedge_permille": read_integer(
            environment,
            PERMILLE_VARIABLE,
            MAX_PERMILLE,
            max_digits=MAX_PERMILLE_DIGITS,
        ),
        "hedge_excluded_routes": _names(environment.get(EXCLUDED_VARIABLE, "")),
    }


def read_integer(
    environment, variable, maximum, minimum=0, max_digits=MAX_DIGITS, default=0
):
    """Return the value of a variable in its range; ``default`` if it is not set.

    Raises
    ======
    SettingError
    """
    text = environment.get(variable, "")
    if not text:
        return default
    # Digits of other scripts, which int accepts, are more likely a mistake.
    is_number = text.isascii() and text.isdigit() and len(text) <= max_digits
    if not is_number or not minimum <= int(text) <= maximum:
        allowed = f"a whole number from {minimum} to {maximum:,}"
        raise SettingError(f"{variable} is {text!r}, not {allowed}")
    return int(text)


def _names(text):
    if not text.strip():
        return ()
    names = tuple(name.strip() for name in text.split(","))
    if not all(name and name.isprintable() for name in names):
        allowed = "names of routes separated by commas"
        raise SettingError(f"{EXCLUDED_VARIABLE} is {text!r}, not {allowed}")
    return names
