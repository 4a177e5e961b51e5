"""Version moves of the pools at home here."""

from hemlockhoist.decisions import VersionPolicy


class NoMoves:
    """Lets every version serve: no move is under way."""

    __slots__ = ()

    def open_pool(self, pool):
        """Return the version policy of a pool that this host is now home of."""
        return VersionPolicy()

    def close_pool(self, name):
        """Forget a pool that has another home."""

    def redeclare(self, pool):
        """Take a pool's changed record."""
