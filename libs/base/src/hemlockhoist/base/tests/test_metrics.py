import doctest
import pathlib
import socket
import unittest

from hemlockhoist.base import metrics
from hemlockhoist.base.exposition import exposition
from hemlockhoist.base.metrics import GAUGE_LIFETIME, MAX_SERIES, Metrics
from hemlockhoist.base.metrics_doc import metrics_page
from hemlockhoist.base.metrics_table import (
    FIRST_TOKEN_MS,
    METRICS,
    REQUESTS_ARRIVED,
    REQUESTS_GOOD,
    REQUESTS_OPEN,
    SERIES_DROPPED,
)

PAGE = pathlib.Path(__file__).parents[6] / "docs" / "METRICS.md"


class Address:
    def __init__(self, ip, port):
        self.ip = ip
        self.port = port


class TableTests(unittest.TestCase):
    def test_page_matches_the_tables(self):
        """The committed page is identical to the generated one."""
        self.assertEqual(PAGE.read_text(), metrics_page())

    def test_names_are_unique(self):
        """The names of all metrics differ."""
        names = [metric.name for metric in METRICS]
        self.assertEqual(len(names), len(set(names)))

    def test_docstring_examples_run(self):
        """The examples in the docstrings give the results shown."""
        self.assertEqual(doctest.testmod(metrics).failed, 0)


class MetricsTests(unittest.IsolatedAsyncioTestCase):
    async def test_values_are_sent_aggregated(self):
        """A statsd server receives sums, gauges and timings in one packet."""
        server = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.addCleanup(server.close)
        server.bind(("127.0.0.1", 0))
        server.settimeout(5)
        host_metrics = Metrics.from_config(Address(*server.getsockname()))
        await host_metrics.start()
        for _ in range(1_000):
            host_metrics.count(REQUESTS_GOOD, "inter.active")
        host_metrics.gauge(REQUESTS_OPEN, 7)
        host_metrics.time(FIRST_TOKEN_MS, 310, "interactive")
        await host_metrics.close()
        lines = server.recv(65_536).decode().splitlines()
        self.assertEqual(
            sorted(line.split("|")[0] for line in lines),
            [
                "hemlockhoist.answers.first_token_ms.interactive:310.000000",
                "hemlockhoist.requests.good.inter_active:1000",
                "hemlockhoist.requests.open:7",
            ],
        )

    async def test_gauge_that_is_no_longer_set_is_sent_as_zero(self):
        """A gauge that is no longer set is sent as 0, and then not at all.

        When a pool's home moved to another host, the previous home continued to send
        the last length of its queue, and the sum over the fleet stayed too high.
        """
        server = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.addCleanup(server.close)
        server.bind(("127.0.0.1", 0))
        server.settimeout(5)
        host_metrics = Metrics.from_config(Address(*server.getsockname()))
        host_metrics.gauge(REQUESTS_OPEN, 7)
        values = []
        for _ in range(GAUGE_LIFETIME + 1):
            host_metrics.flush()
            values.append(server.recv(65_536).decode())
        host_metrics.flush()
        server.setblocking(False)
        with self.assertRaises(BlockingIOError):
            server.recv(65_536)
        self.assertEqual(set(values[:-1]), {"hemlockhoist.requests.open:7|g"})
        self.assertEqual(values[-1], "hemlockhoist.requests.open:0|g")

    async def test_gauges_age_without_a_statsd_server(self):
        """Guards against a value that is served long after it was last set.

        The queue length of a pool whose home has moved, or the number of upstreams that
        wanted rest, stayed on the metrics address for ever.
        """
        host_metrics = Metrics(None)
        host_metrics.gauge(REQUESTS_OPEN, 7)
        for _ in range(GAUGE_LIFETIME):
            self.assertEqual(host_metrics.gauges(), {REQUESTS_OPEN.name: 7})
            host_metrics.flush()
        self.assertEqual(host_metrics.gauges(), {REQUESTS_OPEN.name: 0})
        host_metrics.flush()
        self.assertEqual(host_metrics.gauges(), {})

    async def test_values_are_aggregated_without_a_statsd_server(self):
        host_metrics = Metrics(None)
        await host_metrics.start()
        self.assertIsNotNone(host_metrics._task)
        await host_metrics.close()

    async def test_nothing_is_sent_without_address(self):
        """Without an address totals are kept, and memory use is bounded."""
        host_metrics = Metrics.from_config(None)
        await host_metrics.start()
        for number in range(MAX_SERIES + 10):
            host_metrics.count(REQUESTS_ARRIVED, f"tier-{number}")
            host_metrics.time(FIRST_TOKEN_MS, 1, "t")
        host_metrics.flush()
        await host_metrics.close()
        self.assertLessEqual(len(host_metrics.totals), MAX_SERIES + 1)
        self.assertEqual(host_metrics.totals[SERIES_DROPPED.name], 10)

    def test_wrong_kind_or_label_raises(self):
        """A wrong kind, a missing label and an unexpected label raise."""
        host_metrics = Metrics(None)
        with self.assertRaises(TypeError):
            host_metrics.gauge(REQUESTS_GOOD, 1, "t")
        with self.assertRaises(TypeError):
            host_metrics.count(REQUESTS_GOOD)
        with self.assertRaises(TypeError):
            host_metrics.gauge(REQUESTS_OPEN, 1, "t")


class ExpositionTests(unittest.TestCase):
    def test_values_are_served_in_prometheus_format(self):
        host_metrics = Metrics(None)
        host_metrics.count(REQUESTS_GOOD, "interactive", 3)
        host_metrics.gauge(REQUESTS_OPEN, 7)
        for duration_ms in (4, 15, 90_000):
            host_metrics.time(FIRST_TOKEN_MS, duration_ms, "interactive")
        text = exposition(host_metrics).decode()
        expected_lines = (
            'hemlockhoist_requests_good_total{label="interactive"} 3.0',
            "hemlockhoist_requests_open 7.0",
            'first_token_ms_bucket{label="interactive",le="5"} 1.0',
            'first_token_ms_bucket{label="interactive",le="20"} 2.0',
            'first_token_ms_bucket{label="interactive",le="+Inf"} 3.0',
            'first_token_ms_sum{label="interactive"} 90019.0',
        )
        for line in expected_lines:
            self.assertIn(line, text)
