"""Scheduling mechanisms that an experiment may disable."""

import enum

import msgspec

from hemlockhoist.base import SettingError
from hemlockhoist.decisions.scheduling.client_retries import ClientRetries
from hemlockhoist.decisions.scheduling.declared_slots_tracker import (
    DeclaredSlotsTracker,
)
from hemlockhoist.decisions.scheduling.flap_damping import FlapDamping
from hemlockhoist.decisions.scheduling.overtaking_budget import OvertakingBudget
from hemlockhoist.decisions.scheduling.retry_reservations import RetryReservations
from hemlockhoist.decisions.scheduling.slowdown import NoSlowdowns, ReportedSlowdowns


class Mechanism(enum.Enum):
    """A mechanism that can be disabled to measure its effect."""

    DEFERRAL = "better-later"
    PREFIX_BLOCKS = "kept-parts"
    OVERTAKING = "out-of-turn"
    DOMAIN_LOCALITY = "own-domain"
    CALLER_WAIT_LIMIT = "patience"
    FLAP_DAMPING = "flap-damping"
    TOKEN_GAPS = "pauses"
    CLIENT_RETRIES = "returns"
    REPORTED_SLOWDOWNS = "slowdown"
    RESERVATIONS = "reservations"


class Experiments:
    """The disabled mechanisms; none by default.

    Parameters
    ==========
    disabled : iterable of Mechanism, optional

    Examples
    ========

    >>> Experiments.from_text("returns,pauses").disabled == {
    ...     Mechanism.CLIENT_RETRIES, Mechanism.TOKEN_GAPS
    ... }
    True
    """

    __slots__ = ("disabled",)

    def __init__(self, disabled=()):
        self.disabled = frozenset(disabled)

    @classmethod
    def from_text(cls, text):
        """Return the experiments named in a setting, separated by commas.

        Raises
        ======
        SettingError
            For an unknown name.
        """
        names = [name.strip() for name in text.split(",") if name.strip()]
        try:
            return cls(Mechanism(name) for name in names)
        except ValueError as error:
            known = ", ".join(item.value for item in Mechanism)
            raise SettingError(f"{error}; expected one of {known}") from None

    def mask(self, request):
        """Return a request without the fields that the disabled mechanisms use."""
        if not self.disabled:
            return request
        fields = {}
        if Mechanism.CALLER_WAIT_LIMIT in self.disabled:
            fields["waits_until_ms"] = None
        if Mechanism.TOKEN_GAPS in self.disabled:
            fields["max_gap_ms"] = 0
        if Mechanism.PREFIX_BLOCKS in self.disabled:
            fields["prefix_hashes"] = fields["prefix_tokens"] = ()
        if Mechanism.DOMAIN_LOCALITY in self.disabled:
            # No upstream is in a domain without a name, so none of them is local.
            fields["failure_domain"] = ""
        return msgspec.structs.replace(request, **fields)

    def overtaking_budget(self):
        """Return the budget for overtaking, or one that allows none."""
        return (
            NoOvertaking()
            if Mechanism.OVERTAKING in self.disabled
            else OvertakingBudget()
        )

    def client_retries(self, reserves=False):
        """Return the tracker of client retries, or one that recognises none.

        Parameters
        ==========
        reserves : bool, optional
            Whether capacity is reserved for retries.
        """
        if Mechanism.CLIENT_RETRIES in self.disabled:
            return NoClientRetries()
        if reserves and Mechanism.RESERVATIONS not in self.disabled:
            return RetryReservations()
        return ClientRetries()

    def flap_damping(self, max_suppressed_ms):
        """Return the damping of flapping upstreams, or one that suppresses none."""
        is_disabled = Mechanism.FLAP_DAMPING in self.disabled
        return FlapDamping(0 if is_disabled else max_suppressed_ms)

    def declared_slots_tracker(self, cache_tokens=0, warmup=None):
        """Return a tracker of upstreams that declare their slots."""
        is_ignored = Mechanism.REPORTED_SLOWDOWNS in self.disabled
        slowdowns = NoSlowdowns() if is_ignored else ReportedSlowdowns()
        if Mechanism.DEFERRAL in self.disabled:
            return NoDeferralTracker(cache_tokens, warmup, slowdowns)
        return DeclaredSlotsTracker(cache_tokens, warmup, slowdowns)


class NoOvertaking(OvertakingBudget):
    """Lets no request overtake those of higher tiers."""

    __slots__ = ()

    def max_hold_ms(self, rank, overtaken, slots, now_ms):
        """Return a time below 0, as no request may overtake."""
        return -1.0


class NoClientRetries(ClientRetries):
    """Recognises no client retry, and computes no time to wait before one."""

    __slots__ = ()

    def record_refusal(self, request, retry_after_ms, now_ms):
        """Do nothing."""

    def wait_before_retry_ms(self, request, hold_ms, now_ms):
        """Return None: the wait is computed from the queue alone."""
        return


class NoDeferralTracker(DeclaredSlotsTracker):
    """Selects the best free upstream, and never defers to wait for a better one."""

    __slots__ = ()

    def _should_wait(self, work, best, max_prompts_ms, ahead, backed_off, now_ms):
        return False
