"""Dissemination of membership updates piggybacked on messages."""

import math

from hemlockhoist.messages.membership import Health

# 8 updates are about 1 KB: at four messages per period this is well within a host's
# budget of 27 KB per second for control traffic.
MAX_UPDATES_PER_MESSAGE = 8
_TRANSMISSIONS_PER_DOUBLING = 3
# A join needs fewer transmissions: the new host introduces itself to some others and
# probes all in turn, and each host reads the member list from time to time. Suspicions
# and leaves are disseminated by gossip alone.
_JOIN_TRANSMISSIONS = 4


class GossipQueue:
    """Repeats each update in a number of messages that grows with log(hosts).

    The updates sent least often go first, so that in a burst (loss of a failure domain)
    new updates are not delayed by those that most hosts already have.
    """

    __slots__ = ("_entries",)

    def __init__(self):
        self._entries = {}

    def __len__(self):
        return len(self._entries)

    def put(self, update):
        """Queue an update; it replaces an older one for the same address."""
        self._entries[update.member.address] = [0, update]

    def take(self, member_count):
        """Return the updates for one message.

        Parameters
        ==========
        member_count : int
            Number of members in the whole fleet.
        """
        doublings = max(1, math.ceil(math.log2(member_count + 1)))
        chosen = sorted(self._entries.items(), key=lambda item: item[1][0])
        chosen = chosen[:MAX_UPDATES_PER_MESSAGE]
        for address, entry in chosen:
            entry[0] += 1
            if entry[0] >= _max_transmissions(entry[1], doublings):
                del self._entries[address]
        return tuple(entry[1] for _, entry in chosen)


def _max_transmissions(update, doublings):
    is_join = update.health is Health.ALIVE and not (update.revision or update.leaving)
    return _JOIN_TRANSMISSIONS if is_join else _TRANSMISSIONS_PER_DOUBLING * doublings
