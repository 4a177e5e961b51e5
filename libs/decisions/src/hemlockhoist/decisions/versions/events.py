"""Events of version moves, reported to operators."""

import msgspec


class MoveEvent(msgspec.Struct, frozen=True, kw_only=True):
    """Base class of the events of a move.

    Parameters
    ==========
    move_id, pool, version : str
        ``version`` is the version that the event concerns.
    at_ms : int
        Time on the home's clock.
    """

    move_id: str
    pool: str
    version: str
    at_ms: int


class Widened(MoveEvent, frozen=True, kw_only=True):
    """The new version's share of a route was increased."""

    route: str
    idempotent: bool
    share_permille: int


class Halted(MoveEvent, frozen=True, kw_only=True):
    """The version gets no further grants in this move."""

    reason: str


class TakenBack(MoveEvent, frozen=True, kw_only=True):
    """The version was found bad; the old version gets all traffic.

    Parameters
    ==========
    route, measure : str
    bad_count, answer_count : int
        Answers of the new version since the move began.
    reference_permille : int
        Rate of bad answers of the old version at that time.
    granted_count, non_idempotent_count : int
        Requests that the version had received in total.
    """

    route: str
    measure: str
    bad_count: int
    answer_count: int
    reference_permille: int
    granted_count: int
    non_idempotent_count: int

    @property
    def reason(self):
        """Counts and rates as a sentence."""
        return (
            f"{self.route}: {self.bad_count} of {self.answer_count} answers "
            f"{self.measure}; old version at that time: "
            f"{self.reference_permille} per mille. It had received "
            f"{self.granted_count} requests, {self.non_idempotent_count} of them "
            "non-idempotent"
        )


class Finished(MoveEvent, frozen=True, kw_only=True):
    """The new version gets all traffic.

    ``late_ms`` is 0 if the move finished in time.
    """

    late_ms: int


class Late(MoveEvent, frozen=True, kw_only=True):
    """The move is not expected to finish, or did not finish, in time."""

    reason: str
    expected_late_ms: int


class UpstreamSetApart(MoveEvent, frozen=True, kw_only=True):
    """One upstream of the version was found bad and excluded from the evidence."""

    upstream_id: str
    reason: str
