"""The exception hierarchy: every error of the product carries a result code."""

from hemlockhoist.base.results import ResultCode, result_info


class HemlockhoistError(Exception):
    """Base class of all errors of the product.

    Parameters
    ==========
    message : str
        What happened, with the relevant values, in readable form.
    code : ResultCode, optional
        Overrides the code of the class.
    retry_after_ms : int, optional
        The delay after which the same request may be sent again.
    """

    code = ResultCode.PROPERTY_VIOLATED

    def __init__(self, message="", code=None, retry_after_ms=None):
        if code is not None:
            self.code = ResultCode(code)
        self.message = message or result_info(self.code).meaning
        self.retry_after_ms = retry_after_ms
        super().__init__(self.message)

    @property
    def info(self):
        """The row of the result code table for this error's code."""
        return result_info(self.code)


class BadRequest(HemlockhoistError):
    """The caller's request is invalid; it did not run."""

    code = ResultCode.MALFORMED_BODY


class Refused(HemlockhoistError):
    """The request was refused before any byte of it was sent to an upstream."""

    code = ResultCode.OVERLOADED


class RouteChanged(Refused):
    """The route of a request changed before any byte of it was sent."""

    code = ResultCode.CONFIGURATION_STALE


class GrantOutdated(Refused):
    """This host has newer information than the home had at the grant; nothing was sent.

    Parameters
    ==========
    message : str
    upstream_id : str
    version : int or None
        The version of the platform's list that this is based on; None if this host's
        list never contained the upstream.

    Attributes
    ==========
    cause : str
        The label value used in metrics.
    """

    code = ResultCode.UPSTREAM_LEFT
    cause = "outdated"

    def __init__(self, message, upstream_id, version):
        self.upstream_id = upstream_id
        self.version = version
        super().__init__(message)


class UpstreamLeft(GrantOutdated):
    """The upstream of a grant is leaving or no longer listed."""

    cause = "left"

    def __init__(self, upstream_id, version):
        super().__init__(f"{upstream_id} is leaving", upstream_id, version)


class UpstreamBackedOff(GrantOutdated):
    """The upstream of a grant wants no requests from this host for a while."""

    cause = "back_off"

    def __init__(self, upstream_id, remaining_ms):
        text = f"{upstream_id} wants no requests for {remaining_ms} ms"
        super().__init__(text, upstream_id, None)


class UpstreamEvacuated(GrantOutdated):
    """The failure domain of a grant's upstream is evacuated.

    Parameters
    ==========
    upstream_id, failure_domain : str
    version : int
        The version of the evacuation order.
    """

    cause = "evacuated"

    def __init__(self, upstream_id, failure_domain, version):
        self.failure_domain = failure_domain
        super().__init__(f"{failure_domain} is evacuated", upstream_id, version)


class UpstreamCold(GrantOutdated):
    """The upstream of a grant is cold, which was unknown to its home.

    Parameters
    ==========
    upstream_id : str
    version : int
        The version of the upstream's entry in the platform's list.
    cold_ms : int
        The remaining time for which it is cold.
    """

    cause = "cold"

    def __init__(self, upstream_id, version, cold_ms):
        self.cold_ms = cold_ms
        super().__init__(f"{upstream_id} is cold", upstream_id, version)


class DispatchError(HemlockhoistError):
    """The request failed, or may have failed, after dispatch."""

    code = ResultCode.OUTCOME_UNKNOWN


class DeclarationError(HemlockhoistError):
    """A declaration is invalid or was changed concurrently."""

    code = ResultCode.DECLARATION_INVALID


class SettingError(HemlockhoistError):
    """A setting of the process has an invalid value."""

    code = ResultCode.SETTING_INVALID


class MoveError(HemlockhoistError):
    """A version move cannot be started or found."""

    code = ResultCode.MOVE_CONFLICT


class PeerError(HemlockhoistError):
    """A message from another host was rejected."""

    code = ResultCode.PEER_MALFORMED


class PlatformError(HemlockhoistError):
    """A call to the platform's service failed."""

    code = ResultCode.STORE_UNAVAILABLE


class StoreConflict(PlatformError):
    """A compare-and-set found a version other than the one that was read."""

    code = ResultCode.STORE_CONFLICT


class StoreAnswerLost(PlatformError):
    """A write was sent but not answered; it may have taken effect."""

    code = ResultCode.STORE_ANSWER_LOST


class LeaseLost(PlatformError):
    """The lease expired or passed to another holder."""

    code = ResultCode.LEASE_LOST


class PropertyViolation(HemlockhoistError):
    """An invariant is violated.

    Parameters
    ==========
    prop : hemlockhoist.base.Property
    detail : str
    """

    code = ResultCode.PROPERTY_VIOLATED

    def __init__(self, prop, detail):
        self.prop = prop
        super().__init__(f"{prop.name}: {detail}")
