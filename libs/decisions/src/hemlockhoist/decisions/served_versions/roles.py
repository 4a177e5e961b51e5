"""What part the versions of a pool have in serving it, by what is recorded of them."""

import enum

from hemlockhoist.decisions.versions import (
    MoveState,
    Standing,
    find_standing,
    known_standings,
)


class VersionRole(enum.Enum):
    """Part of a version in serving its pool."""

    # Serves; nothing speaks against it.
    SERVING = "serving"
    # Gets the share of the move that goes on.
    TRIAL = "on trial"
    # Ordered, and its move has not begun.
    WITHHELD = "withheld"
    # Served until a later one took over.
    REPLACED = "replaced"
    # Was on trial, and its order ended without a verdict.
    UNPROVEN = "unproven"
    # Was found bad.
    HALTED = "halted"


_ROLES_OF_STANDINGS = {
    Standing.PROVEN: VersionRole.SERVING,
    Standing.REPLACED: VersionRole.REPLACED,
    Standing.UNPROVEN: VersionRole.UNPROVEN,
    Standing.HALTED: VersionRole.HALTED,
}


class VersionRoles:
    """The roles of a pool's versions at one moment.

    Parameters
    ==========
    row : Move or None
        Latest row of the pool's moves.
    order : MoveOrder or None
        Latest order of the pool.
    presence : PoolPresence
    superseded : mapping of str to str, optional
        By version, the order for it that a later one replaced before its row was
        written.
    """

    __slots__ = ("_order", "_presence", "_row", "_standings", "_superseded")

    def __init__(self, row, order, presence, superseded=None):
        self._row = row
        self._order = order
        self._presence = presence
        self._superseded = superseded or {}
        self._standings = () if row is None else known_standings(row)

    @property
    def is_pending(self):
        """Whether an order is given whose move has not begun."""
        if self._order is None:
            return False
        return self._row is None or self._row.move_id != self._order.order_id

    @property
    def trial_version(self):
        """The version on trial, or None."""
        if self._row is None or self.is_pending:
            return None
        return self._row.to_version if self._row.state is MoveState.RUNNING else None

    @property
    def recorded_version(self):
        """The version that the last move left serving, or "" if none is recorded."""
        return "" if self._row is None else self._row.serving_version

    def of(self, version):
        """Return the ``VersionRole`` of a version.

        A version that no order has named serves as soon as it is deployed: operators
        release versions without orders.
        """
        if self.is_tried(version):
            # The latest order is for another move, which replaces the one that goes on.
            return VersionRole.UNPROVEN if self.is_pending else VersionRole.TRIAL
        standing = find_standing(self._standings, version)
        if standing is not None:
            return _ROLES_OF_STANDINGS[standing.standing]
        if self._is_withheld(version):
            return VersionRole.WITHHELD
        if version in self._superseded and version != self.recorded_version:
            return VersionRole.UNPROVEN
        return VersionRole.SERVING

    def is_tried(self, version):
        """Return whether a version is the new one of a move that goes on."""
        row = self._row
        if row is None or row.state is not MoveState.RUNNING:
            return False
        return version == row.to_version

    def is_trusted_again(self, version):
        """Return whether a version serves that the latest move has taken back."""
        row = self._row
        if row is None or version != row.to_version:
            return False
        is_taken_back = row.state in (MoveState.ROLLED_BACK, MoveState.CANCELLED)
        return is_taken_back and self.of(version) is VersionRole.SERVING

    def _is_withheld(self, version):
        """Return whether a version waits for the begin of its move.

        One that was deployed before its order serves until then.
        """
        if not self.is_pending or version != self._order.to_version:
            return False
        if version == self.recorded_version:
            return False
        is_older = self._presence.is_older(version, self._order)
        return not is_older or version in self._superseded

    def serving(self):
        """Return the deployed versions that serve, the recorded one first."""
        found = sorted(self._having(VersionRole.SERVING, self._presence.deployed))
        if self.recorded_version in found:
            found.remove(self.recorded_version)
            found.insert(0, self.recorded_version)
        return tuple(found)

    def can_serve(self):
        """Return whether a version that serves accepts work, or may do so soon."""
        is_live = any(self._having(VersionRole.SERVING, self._presence.live))
        return is_live or self.may_return()

    def alone(self):
        """Return the versions to try as no other can serve, the ordered one first."""
        if self.can_serve() or any(self.replaced()):
            return ()
        ordered = (VersionRole.TRIAL, VersionRole.WITHHELD)
        roles = {item: self.of(item) for item in sorted(self._presence.live)}
        first = [item for item, role in roles.items() if role in ordered]
        others = [x for x, role in roles.items() if role is VersionRole.UNPROVEN]
        return (*first, *others)

    def trial_id(self, version):
        """Return what distinguishes the present trial of a version from others.

        Returns
        =======
        tuple of str and int
            The move or order under which it is tried, and how often its upstreams have
            been replaced since.
        """
        if self.is_tried(version):
            return self._row.move_id, 0
        standing = find_standing(self._standings, version)
        if standing is not None:
            return standing.move_id, standing.return_count
        if version in self._superseded:
            return self._superseded[version], 0
        return (self._order.order_id if self._order is not None else "", 0)

    def may_return(self):
        """Return whether a version that serves is not listed, but may be back."""
        if any(self._having(VersionRole.SERVING, self._presence.missing)):
            return True
        recorded = self.recorded_version
        if not recorded or self._presence.deployed.get(recorded):
            return False
        is_serving = self.of(recorded) is VersionRole.SERVING
        return is_serving and not self._presence.is_gone(recorded)

    def replaced(self):
        """Return the versions that a move has replaced and that accept work, sorted."""
        return tuple(sorted(self._having(VersionRole.REPLACED, self._presence.live)))

    def _having(self, role, versions):
        return (item for item in versions if self.of(item) is role)
