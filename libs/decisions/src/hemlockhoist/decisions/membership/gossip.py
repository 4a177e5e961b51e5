"""Which news to put into the next message, a bounded number at a time."""

import math

from hemlockhoist.messages.membership import Health

# 8 updates are about 1 KB: at four messages a period well inside a host's budget of
# 27 KB a second for control.
MAX_UPDATES_PER_MESSAGE = 8
_REPEATS_PER_DOUBLING = 3
# A host that has joined tells some others itself, probes all in turn, and each reads the
# list from time to time; what is held against a host, or that it leaves, nobody else
# tells.
_JOIN_REPEATS = 4


class GossipQueue:
    """Repeats each piece of news in a number of messages that grows with log(hosts).

    The news least often sent goes first, so that a burst (a failure domain goes) does
    not hold fresh news back behind what most hosts have already.
    """

    __slots__ = ("_news",)

    def __init__(self):
        self._news = {}

    def __len__(self):
        return len(self._news)

    def put(self, update):
        """Queue an update; it takes the place of an older one on that address."""
        self._news[update.member.address] = [0, update]

    def take(self, member_count):
        """Return the updates for one message.

        Parameters
        ==========
        member_count : int
            Of the whole fleet.
        """
        doublings = max(1, math.ceil(math.log2(member_count + 1)))
        chosen = sorted(self._news.items(), key=lambda item: item[1][0])
        chosen = chosen[:MAX_UPDATES_PER_MESSAGE]
        for address, news in chosen:
            news[0] += 1
            if news[0] >= _repeats(news[1], doublings):
                del self._news[address]
        return tuple(news[1] for _, news in chosen)


def _repeats(update, doublings):
    is_join = update.health is Health.ALIVE and not (update.revision or update.leaving)
    return _JOIN_REPEATS if is_join else _REPEATS_PER_DOUBLING * doublings
