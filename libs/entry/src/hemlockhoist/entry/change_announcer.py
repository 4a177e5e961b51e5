"""Telling of changes that this host has read to hosts that the store may reject."""

import asyncio

from hemlockhoist.base import MS_PER_S
from hemlockhoist.decisions.entry import announcement_order

# Time between two hosts' turns to announce the same change. It covers a message's way.
TURN_MS = 20


class ChangeAnnouncer:
    """Announces changes that this host has read from the store itself.

    Failure prevented: the store rejects most hosts that read it for themselves or for
    others. Those that it serves have a change, and the rest hear of it only as messages
    happen to pass between them.

    Load prevented: all hosts of a small fleet read each change at once, and each would
    tell all others. They take turns, and a host that hears an announcement makes none.

    Parameters
    ==========
    context : EntryContext
    queries : FeedQueries
    """

    __slots__ = ("_announced_version", "_context", "_pending_version", "_queries")

    def __init__(self, context, queries):
        self._context = context
        self._queries = queries
        # The newest changes that were announced by any host, and that this host is about
        # to announce.
        self._announced_version = 0
        self._pending_version = 0

    def on_change(self, table, version):
        """Announce a change of the routes in this host's turn.

        Parameters
        ==========
        table : str
        version : int
            The store's version when it gave the change to this host.
        """
        own, members = self._context.fleet.stable_members()
        turn, hosts = announcement_order(members, own)
        if not hosts:
            return
        is_pending = self._pending_version > self._announced_version
        self._pending_version = max(self._pending_version, version)
        if not is_pending:
            loop = asyncio.get_running_loop()
            loop.call_later(turn * TURN_MS / MS_PER_S, self._announce, table, hosts)

    def on_announced(self, version):
        """Record that another host announces a change."""
        self._announced_version = max(self._announced_version, version)

    def _announce(self, table, hosts):
        version = self._pending_version
        if version <= self._announced_version:
            return
        self._announced_version = version
        for address in hosts:
            self._queries.tell(address, table, version)
