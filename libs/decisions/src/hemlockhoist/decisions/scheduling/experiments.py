"""Mechanisms of scheduling that an experiment may leave out."""

import enum

import msgspec

from hemlockhoist.base import SettingError
from hemlockhoist.decisions.scheduling.declared import DeclaredTracks
from hemlockhoist.decisions.scheduling.out_of_turn import OutOfTurn
from hemlockhoist.decisions.scheduling.returns import ReturnBook


class Mechanism(enum.Enum):
    """What can be left out, to measure what it is worth."""

    BETTER_LATER = "better-later"
    KEPT_PARTS = "kept-parts"
    OUT_OF_TURN = "out-of-turn"
    OWN_DOMAIN = "own-domain"
    PATIENCE = "patience"
    PAUSES = "pauses"
    RETURNS = "returns"


class Experiments:
    """The mechanisms that are left out; none by default.

    Parameters
    ==========
    left_out : iterable of Mechanism, optional

    Examples
    ========

    >>> Experiments.from_text("returns,pauses").left_out == {
    ...     Mechanism.RETURNS, Mechanism.PAUSES
    ... }
    True
    """

    __slots__ = ("left_out",)

    def __init__(self, left_out=()):
        self.left_out = frozenset(left_out)

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

    def request(self, request):
        """Return a request as a scheduler without the mechanisms would know it."""
        if not self.left_out:
            return request
        fields = {}
        if Mechanism.PATIENCE in self.left_out:
            fields["waits_until_ms"] = None
        if Mechanism.PAUSES in self.left_out:
            fields["max_gap_ms"] = 0
        if Mechanism.KEPT_PARTS in self.left_out:
            fields["prefix_hashes"] = fields["prefix_tokens"] = ()
        if Mechanism.OWN_DOMAIN in self.left_out:
            # No upstream is in a domain without a name: none is nearer than another.
            fields["failure_domain"] = ""
        return msgspec.structs.replace(request, **fields)

    def turns(self):
        """Return what lets short requests pass those of higher tiers."""
        return NoTurns() if Mechanism.OUT_OF_TURN in self.left_out else OutOfTurn()

    def returns(self):
        """Return what knows the requests that come back."""
        return NoReturns() if Mechanism.RETURNS in self.left_out else ReturnBook()

    def declared_tracks(self, cache_tokens=0, warmup=None):
        """Return the tracks of upstreams that declare their places."""
        if Mechanism.BETTER_LATER in self.left_out:
            return FirstFreeTracks(cache_tokens, warmup)
        return DeclaredTracks(cache_tokens, warmup)


class NoTurns(OutOfTurn):
    """Lets no request pass those of higher tiers."""

    __slots__ = ()

    def longest_ms(self, rank, passed, places, now_ms):
        """Return that none may pass."""
        return -1.0


class NoReturns(ReturnBook):
    """Knows no request again, and tells none a time of its own."""

    __slots__ = ()

    def note_refused(self, request, retry_after_ms, now_ms):
        """Remember nothing."""

    def return_ms(self, request, hold_ms, now_ms):
        """Return None: the queue alone says when to come back."""
        return


class FirstFreeTracks(DeclaredTracks):
    """Takes the best of the upstreams that are free, and waits for no other."""

    __slots__ = ()

    def _is_better_later(self, work, best, most_ms, ahead, now_ms):
        return False
