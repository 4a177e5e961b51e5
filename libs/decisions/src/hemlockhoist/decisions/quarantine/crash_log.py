"""The latest crashes of upstreams, with the parts of prompts that may explain them."""

import collections

import xxhash

MAX_CRASHES = 64
# All reports of one crash arrive within this time. An upstream that crashed takes
# longer to start again.
SAME_CRASH_MS = 1_500


class Crash:
    """The end of an upstream.

    Attributes
    ==========
    crash_id : int
    at_ms : int
    positions : dict of int to int
        Parts of the prompts that it had not begun to answer, with the last position of
        each in a prompt.
    charged : set of int
        Those that are held responsible.
    fingerprints : set of int
        The requests that it had not answered whole.
    charged_requests : set of int
        Those of them that are held responsible.
    excused_requests : set of int
        Those that are not, as they are mostly answered whole.
    """

    __slots__ = (
        "at_ms",
        "charged",
        "charged_requests",
        "crash_id",
        "excused_requests",
        "fingerprints",
        "positions",
    )

    def __init__(self, crash_id, at_ms):
        self.crash_id = crash_id
        self.at_ms = at_ms
        self.positions = {}
        self.charged = set()
        self.fingerprints = set()
        self.charged_requests = set()
        self.excused_requests = set()

    def add(self, parts, fingerprint=0):
        """Add a request; return whether it, or a part of its prompt, is new.

        Parameters
        ==========
        parts : sequence of int
            The parts of its prompt, in order, if it had not begun to be answered.
        fingerprint : int, optional
            0 if it is not known.
        """
        count_before = len(self.positions) + len(self.fingerprints)
        for position, part in enumerate(parts):
            self.positions[part] = max(position, self.positions.get(part, 0))
        if fingerprint:
            self.fingerprints.add(fingerprint)
        return len(self.positions) + len(self.fingerprints) > count_before


class CrashLog:
    """Collects what several requests report of each crash.

    Parameters
    ==========
    host : str
        Distinguishes the crashes that different hosts record.
    """

    __slots__ = ("_by_upstream", "_crashes", "_host")

    def __init__(self, host=""):
        self._host = host
        self._crashes = collections.deque(maxlen=MAX_CRASHES)
        self._by_upstream = collections.OrderedDict()

    def __iter__(self):
        return iter(self._crashes)

    def latest(self, upstream_id, now_ms):
        """Return the ``Crash`` that just ended an upstream, or None."""
        crash = self._by_upstream.get(upstream_id)
        if crash is None or now_ms - crash.at_ms >= SAME_CRASH_MS:
            return None
        return crash

    def crash_of(self, upstream_id, now_ms):
        """Return the ``Crash`` that a report of an upstream's end is about."""
        crash = self.latest(upstream_id, now_ms)
        if crash is not None:
            return crash
        text = f"{self._host}/{upstream_id}/{now_ms}"
        crash = Crash(xxhash.xxh64_intdigest(text.encode()), now_ms)
        self._crashes.append(crash)
        self._by_upstream[upstream_id] = crash
        self._by_upstream.move_to_end(upstream_id)
        if len(self._by_upstream) > MAX_CRASHES:
            self._by_upstream.popitem(last=False)
        return crash
