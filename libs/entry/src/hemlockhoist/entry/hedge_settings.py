"""The settings of hedges, which operators give as environment variables."""

from hemlockhoist.base import SettingError

PERMILLE_VARIABLE = "HEMLOCKHOIST_HEDGE_PERMILLE"
EXCLUDED_VARIABLE = "HEMLOCKHOIST_HEDGE_EXCLUDED_ROUTES"
MAX_PERMILLE = 200


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
    >>> from hemlockhoist.entry.hedge_settings import read_hedge_settings
    >>> read_hedge_settings({"HEMLOCKHOIST_HEDGE_PERMILLE": "20"})
    {'hedge_permille': 20, 'hedge_excluded_routes': ()}
    """
    return {
        "hedge_permille": _permille(environment.get(PERMILLE_VARIABLE, "")),
        "hedge_excluded_routes": _names(environment.get(EXCLUDED_VARIABLE, "")),
    }


def _permille(text):
    if not text:
        return 0
    is_number = text.isascii() and text.isdigit() and len(text) <= 4
    if not is_number or int(text) > MAX_PERMILLE:
        allowed = f"a whole number from 0 to {MAX_PERMILLE}"
        raise SettingError(f"{PERMILLE_VARIABLE} is {text!r}, not {allowed}")
    return int(text)


def _names(text):
    if not text.strip():
        return ()
    names = tuple(name.strip() for name in text.split(","))
    if not all(name and name.isprintable() for name in names):
        allowed = "names of routes separated by commas"
        raise SettingError(f"{EXCLUDED_VARIABLE} is {text!r}, not {allowed}")
    return names
