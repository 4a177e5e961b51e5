"""Settings of a host, read from flags and environment variables and validated."""

import difflib

import msgspec

from hemlockhoist.base import SettingError
from hemlockhoist.host.settings_kinds import Endpoint, describe, parse_value
from hemlockhoist.host.settings_table import PREFIX, SETTING_NAMES, SETTINGS

MASK = "***"
# Variables with the product's prefix that are not settings of a host.
NON_SETTING_VARIABLES = frozenset(
    {PREFIX + name for name in ("AUTHOR", "CA_FILE", "HOST", "ROOT", "TEST")}
)


class SettingFault(msgspec.Struct, frozen=True, kw_only=True, order=True):
    """One invalid setting.

    Parameters
    ==========
    setting : str
    problem : str
        What is wrong, with the value found unless it is a secret.
    allowed : str
        What the setting accepts.
    """

    setting: str
    problem: str
    allowed: str

    def __str__(self):
        return f"{self.setting}: {self.problem}; allowed: {self.allowed}"


class SettingFaults(SettingError):
    """Settings are invalid; ``faults`` lists every fault.

    Parameters
    ==========
    faults : iterable of SettingFault
    """

    def __init__(self, faults):
        self.faults = tuple(sorted(faults))
        lines = "\n".join(str(fault) for fault in self.faults)
        super().__init__(f"{len(self.faults)} fault(s) in settings\n{lines}")


class Settings:
    """The settings of one host process, as attributes named in ``SETTINGS``.

    Integers are ``int``, addresses ``Endpoint``, all others ``str``; a setting without
    a value is None. Instances are created by ``from_values`` or ``from_environment``.
    """

    __slots__ = SETTING_NAMES

    def __init__(self, **values):
        for name in SETTING_NAMES:
            setattr(self, name, values[name])

    @classmethod
    def from_values(cls, values):
        """Return settings from a mapping of names to values, with defaults.

        Parameters
        ==========
        values : mapping of str to object
            Values are parsed from their text; None and "" mean "not given".

        Raises
        ======
        SettingFaults
            With all faults.

        Examples
        ========
        >>> from hemlockhoist.host.settings import Settings
        >>> settings = Settings.from_values({
        ...     "platform_address": "127.0.0.1:9000",
        ...     "peer_key": "p" * 16,
        ...     "operator_key": "o" * 16,
        ... })
        >>> settings.load_poll_ms, settings.listen_address.port
        (500, 8400)
        """
        faults = [
            _unknown_setting(name, SETTING_NAMES)
            for name in values
            if name not in SETTING_NAMES
        ]
        found = {}
        for setting in SETTINGS:
            given = values.get(setting.name)
            text = setting.default if given in (None, "") else str(given)
            found[setting.name] = _parse_setting(setting, text, faults)
        faults += _cross_setting_faults(found)
        if faults:
            raise SettingFaults(faults)
        if found["host_id"] is None:
            found["host_id"] = _default_host_id(found)
        return cls(**found)

    @classmethod
    def from_environment(cls, environment, flags=None):
        """Return settings from flags and ``HEMLOCKHOIST_…`` variables.

        Parameters
        ==========
        environment : mapping of str to str
        flags : mapping of str to str, optional
            By setting name; flags take precedence over variables.

        Raises
        ======
        SettingFaults
            With all faults. A variable with the product's prefix that names no setting
            is a fault, as a misspelt name would silently leave the default in place.
        """
        known = {setting.variable: setting.name for setting in SETTINGS}
        values, faults = {}, []
        for variable, text in environment.items():
            if variable in known:
                values[known[variable]] = text
            elif variable.startswith(PREFIX) and variable not in NON_SETTING_VARIABLES:
                faults.append(_unknown_setting(variable, tuple(known)))
        given = {name: text for name, text in (flags or {}).items() if text}
        try:
            settings = cls.from_values({**values, **given})
        except SettingFaults as error:
            raise SettingFaults([*faults, *error.faults]) from None
        if faults:
            raise SettingFaults(faults)
        return settings

    def replaced(self, **values):
        """Return a copy with some values replaced, such as ports the kernel chose."""
        current = {name: getattr(self, name) for name in SETTING_NAMES}
        return type(self)(**{**current, **values})

    def masked(self):
        """Return all settings as text or numbers for ``status``, secrets masked."""
        shown = {}
        for setting in SETTINGS:
            value = getattr(self, setting.name)
            if setting.is_secret and value is not None:
                value = MASK
            shown[setting.name] = str(value) if isinstance(value, Endpoint) else value
        return shown

    def __repr__(self):
        return f"Settings({self.masked()})"


def _parse_setting(setting, text, faults):
    if text == "":
        if setting.required:
            allowed = (
                f"{describe(setting.kind)} by {setting.flag} or {setting.variable}"
            )
            fault = SettingFault(
                setting=setting.name, problem="is not set", allowed=allowed
            )
            faults.append(fault)
        return None
    try:
        return parse_value(setting.kind, text)
    except (ValueError, OSError):
        shown = MASK if setting.is_secret else repr(text[:80])
        allowed = describe(setting.kind)
        faults.append(
            SettingFault(setting=setting.name, problem=f"is {shown}", allowed=allowed)
        )
        return None


def _unknown_setting(name, known):
    matches = difflib.get_close_matches(name, known, n=1)
    allowed = matches[0] if matches else "a name listed in docs/SETTINGS.md"
    return SettingFault(setting=name, problem="is not a setting", allowed=allowed)


def _cross_setting_faults(found):
    """Return the faults in combinations of settings."""
    faults = []
    if found["peer_key"] is not None and found["peer_key"] == found["operator_key"]:
        # With an operator's key that is also the peer key, its holder could impersonate
        # a host: every host would trust its grants and versions.
        fault = SettingFault(
            setting="operator_key",
            problem="is the same as peer_key",
            allowed="a different key",
        )
        faults.append(fault)
    for name, other in (
        ("tls_cert_file", "tls_key_file"),
        ("tls_key_file", "tls_cert_file"),
    ):
        if found[name] is not None and found[other] is None:
            fault = SettingFault(
                setting=other, problem=f"is required with {name}", allowed="a file"
            )
            faults.append(fault)
    return faults


def _default_host_id(found):
    """Return the advertised address, or None if its port is not chosen yet."""
    address = found["advertise_address"] or found["listen_address"]
    return str(address) if address.port else None
