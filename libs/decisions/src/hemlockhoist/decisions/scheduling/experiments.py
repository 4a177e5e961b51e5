"""Mechanisms of scheduling that an experiment may leave out."""

import enum

import msgspec

from hemlockhoist.base import SettingError
from hemlockhoist.decisions.scheduling.client_retries import ClientRetries
from hemlockhoist.decisions.scheduling.declared_slots_tracker import (
    DeclaredSlotsTracker,
)
from hemlockhoist.decisions.scheduling.overtaking_budget import OvertakingBudget


class Mechanism(enum.Enum):
    """What can be left out, to measure what it is worth."""

    DEFERRAL = "better-later"
    PREFIX_BLOCKS = "kept-parts"
    OVERTAKING = "out-of-turn"
    DOMAIN_LOCALITY = "own-domain"
    CALLER_WAIT_LIMIT = "patience"
    TOKEN_GAPS = "pauses"
    CLIENT_RETRIES = "returns"


class Experiments:
    """The mechanisms that are left out; none by default.

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
        """Return the experiments that a setting names, separated by commas.

        Raises
        ======
        SettingError
            For a name that is not known.
        """
        names = [name.strip() for name in text.split(",") if name.strip()]
        try:
            return cls(Mechanism(name) for name in names)
        except ValueError as error:
            known = ", ".join(item.value for item in Mechanism)
            raise SettingError(f"{error}; known are {known}") from None

    def mask(self, request):
        """Return a request as a scheduler without the mechanisms would know it."""
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
            # No upstream is in a domain without a name: none is nearer than another.
            fields["failure_domain"] = ""
        return msgspec.structs.replace(request, **fields)

    def overtaking_budget(self):
        """Return what lets short requests pass those of higher tiers."""
        return (
            NoOvertaking()
            if Mechanism.OVERTAKING in self.disabled
            else OvertakingBudget()
        )

    def client_retries(self):
        """Return what knows the requests that come back."""
        return (
            NoClientRetries()
            if Mechanism.CLIENT_RETRIES in self.disabled
            else ClientRetries()
        )

    def declared_slots_tracker(self, cache_tokens=0, warmup=None):
        """Return a tracker of upstreams that declare their slots."""
        if Mechanism.DEFERRAL in self.disabled:
            return NoDeferralTracker(cache_tokens, warmup)
        return DeclaredSlotsTracker(cache_tokens, warmup)


class NoOvertaking(OvertakingBudget):
    """Lets no request pass those of higher tiers."""

    __slots__ = ()

    def longest_ms(self, rank, passed, slots, now_ms):
        """Return that none may pass."""
        return -1.0


class NoClientRetries(ClientRetries):
    """Knows no request again, and tells none a time of its own."""

    __slots__ = ()

    def record_refusal(self, request, retry_after_ms, now_ms):
        """Remember nothing."""

    def wait_before_retry_ms(self, request, hold_ms, now_ms):
        """Return None: the queue alone says when to come back."""
        return


class NoDeferralTracker(DeclaredSlotsTracker):
    """Takes the best of the upstreams that are free, and waits for no other."""

    __slots__ = ()

    def _should_wait(self, work, best, max_prompts_ms, ahead, now_ms):
        return False
