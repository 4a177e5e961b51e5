"""Metrics that are aggregated in the process and sent to statsd once a second."""

import asyncio
import bisect
import collections
import re

import statsd

from hemlockhoist.base.clock import MS_PER_S
from hemlockhoist.base.metrics_table import PREFIX, SERIES_DROPPED, MetricKind

FLUSH_INTERVAL_MS = 1_000
# Label values are tiers, pools and codes: a few dozen. The limit bounds memory if the
# values of a label ever came from outside.
MAX_SERIES = 2_000
# Timings are sent individually; above this number per interval only the first are sent,
# as a sample.
MAX_TIMINGS = 500
MAX_PACKET_BYTES = 1_400
# A gauge that is no longer set, such as the queue length of a pool whose home has moved
# to another host, would keep its last value in statsd indefinitely. After this number
# of intervals it is sent once as 0, and removed.
GAUGE_LIFETIME = 10
# Upper bounds of the histogram buckets, from a round trip to the longest answer.
BUCKETS_MS = (5, 10, 20, 50, 100, 200, 300, 500, 1_000, 2_000, 5_000, 10_000)
_UNSAFE_CHARS = re.compile(r"[^A-Za-z0-9_-]")


class Histogram:
    """A histogram of durations with fixed buckets."""

    __slots__ = ("counts", "sum_ms")

    def __init__(self):
        self.counts = [0] * (len(BUCKETS_MS) + 1)
        self.sum_ms = 0

    def observe(self, duration_ms):
        """Add a duration to its bucket."""
        self.counts[bisect.bisect_left(BUCKETS_MS, duration_ms)] += 1
        self.sum_ms += duration_ms


class Metrics:
    """The counters, gauges and timings of one host.

    Sending a packet for each value would cost two system calls per request. With
    aggregation the cost does not grow with the load.

    Parameters
    ==========
    client : statsd.StatsClient or None
        If None, nothing is sent; totals are still kept.

    Examples
    ========
    >>> from hemlockhoist.base.metrics import Metrics
    >>> from hemlockhoist.base.metrics_table import REQUESTS_GOOD
    >>> metrics = Metrics(None)
    >>> metrics.count(REQUESTS_GOOD, "interactive")
    >>> metrics.totals["requests.good.interactive"]
    1
    """

    __slots__ = (
        "_client",
        "_counts",
        "_gauges",
        "_task",
        "_timings",
        "histograms",
        "series",
        "totals",
    )

    def __init__(self, client):
        self._client = client
        self._counts = collections.Counter()
        self._gauges = {}
        self._timings = []
        self._task = None
        self.totals = collections.Counter()
        self.histograms = {}
        self.series = {}

    @classmethod
    def from_config(cls, address):
        """Return a ``Metrics`` that sends its values to a statsd server.

        Parameters
        ==========
        address : object or None
            With attributes ``ip`` and ``port``; if None, nothing is sent.
        """
        if address is None:
            return cls(None)
        client = statsd.StatsClient(
            host=address.ip,
            port=address.port,
            prefix=PREFIX,
            maxudpsize=MAX_PACKET_BYTES,
            ipv6=":" in address.ip,
        )
        return cls(client)

    async def start(self):
        """Start to send the values, and to age gauges, once a second."""
        self._task = asyncio.create_task(self._run())

    async def close(self):
        """Send the remaining values and stop."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
            self.flush()
        if self._client is not None:
            self._client.close()

    def count(self, metric, label="", value=1):
        """Increment a counter.

        Parameters
        ==========
        metric : Metric
        label : str
            The value of the metric's label.
        value : int
        """
        name = self._series(metric, MetricKind.COUNTER, label, self.totals)
        self._counts[name] += value
        self.totals[name] += value

    def gauge(self, metric, value, label=""):
        """Set a gauge."""
        name = self._series(metric, MetricKind.GAUGE, label, self._gauges)
        self._gauges[name] = (value, 0)

    def time(self, metric, duration_ms, label=""):
        """Record a duration."""
        name = self._series(metric, MetricKind.TIMER, label, self.histograms)
        if name not in self.histograms:
            self.histograms[name] = Histogram()
        self.histograms[name].observe(duration_ms)
        if self._client is not None and len(self._timings) < MAX_TIMINGS:
            self._timings.append((name, duration_ms))

    def gauges(self):
        """Return the current value of each gauge by name."""
        return {name: value for name, (value, _) in self._gauges.items()}

    def flush(self):
        """Send the values recorded since the last call."""
        counts, timings = self._counts, self._timings
        self._counts, self._timings = collections.Counter(), []
        if self._client is not None:
            self._send(counts, timings)
        self._age_gauges()

    def _send(self, counts, timings):
        with self._client.pipeline() as pipeline:
            for name, value in counts.items():
                pipeline.incr(name, value)
            for name, (value, _) in self._gauges.items():
                pipeline.gauge(name, value)
            for name, value in timings:
                pipeline.timing(name, value)

    def _age_gauges(self):
        aged = {}
        for name, (value, age) in self._gauges.items():
            if age + 1 < GAUGE_LIFETIME:
                aged[name] = (value, age + 1)
            elif age + 1 == GAUGE_LIFETIME:
                aged[name] = (0, age + 1)
        self._gauges = aged

    async def _run(self):
        while True:
            await asyncio.sleep(FLUSH_INTERVAL_MS / MS_PER_S)
            self.flush()

    def _series(self, metric, kind, label, known):
        """Return the full name of a metric with its label value.

        The kind is checked, because statsd would accept a wrong one and report wrong
        values: a gauge that is sent as a counter grows without bound.
        """
        if metric.kind is not kind or bool(metric.label) != bool(label):
            raise TypeError(
                f"{metric.name} is a {metric.kind.value} with label {metric.label}"
            )
        if not label:
            self.series.setdefault(metric.name, (metric, ""))
            return metric.name
        name = f"{metric.name}.{_UNSAFE_CHARS.sub('_', str(label))}"
        if name not in known and len(known) >= MAX_SERIES:
            return SERIES_DROPPED.name
        self.series.setdefault(name, (metric, str(label)))
        return name
