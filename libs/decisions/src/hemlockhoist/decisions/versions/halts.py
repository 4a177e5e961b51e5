"""Grow-only set of versions that get no more work."""


class HaltReasons:
    """Halted versions of each move.

    Entries are removed only together with a move that is no longer current, so hosts
    can merge announcements of peers in any order and repeatedly: no order of messages
    revives a bad version. A version can be tried again by a new move with a new id.
    """

    __slots__ = ("_reasons",)

    def __init__(self):
        self._reasons = {}

    def add(self, move_id, version, reason):
        """Add a halted version and return whether it was not halted before."""
        key = (move_id, version)
        if key in self._reasons:
            return False
        self._reasons[key] = reason
        return True

    def reason(self, move_id, version):
        """Return the reason why the version is halted, or None."""
        return self._reasons.get((move_id, version))

    def of_move(self, move_id):
        """Return a dict of the halted versions of a move and the reasons."""
        return {
            version: reason
            for (halted_move, version), reason in self._reasons.items()
            if halted_move == move_id
        }

    def forget_others(self, move_id):
        """Remove the entries of all moves but one."""
        self._reasons = {
            key: reason for key, reason in self._reasons.items() if key[0] == move_id
        }
