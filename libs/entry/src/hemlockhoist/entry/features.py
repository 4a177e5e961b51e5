"""Variables that turn on features of entry hosts which are off by default."""

from hemlockhoist.base import SettingError

FLAP_DAMPING_VARIABLE = "HEMLOCKHOIST_FLAP_DAMPING_MAX_MS"
MAX_FLAP_DAMPING_MS = 60_000
# Longer numbers are invalid, whatever their value.
MAX_DIGITS = 9


def read_features(environment):
    """Return the fields of ``EntrySettings`` that variables determine.

    Parameters
    ==========
    environment : mapping of str to str

    Returns
    =======
    dict of str to int

    Raises
    ======
    SettingError

    Examples
    ========
    >>> from hemlockhoist.entry.features import read_features
    >>> found = read_features({"HEMLOCKHOIST_FLAP_DAMPING_MAX_MS": "30000"})
    >>> found["flap_damping_max_ms"]
    30000
    """
    return {
        "flap_damping_max_ms": read_integer(
            environment, FLAP_DAMPING_VARIABLE, MAX_FLAP_DAMPING_MS
        ),
    }


def read_integer(environment, variable, maximum, minimum=0):
    """Return the value of a variable in its range; 0 if it is not set.

    Raises
    ======
    SettingError
    """
    text = environment.get(variable, "")
    if not text:
        return 0
    # Digits of other scripts, which int accepts, are more likely a mistake.
    is_number = text.isascii() and text.isdigit() and len(text) <= MAX_DIGITS
    if not is_number or not minimum <= int(text) <= maximum:
        allowed = f"a whole number from {minimum} to {maximum:,}"
        raise SettingError(f"{variable} is {text!r}, not {allowed}")
    return int(text)
