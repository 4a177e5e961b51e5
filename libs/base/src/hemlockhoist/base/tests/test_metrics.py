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
        """The committed page is what the generator gives."""
        self.assertEqual(PAGE.read_text(), metrics_page())

    def test_names_are_unique(self):
        """No two metrics share a name."""
        names = [metric.name for metric in METRICS]
        self.assertEqual(len(names), len(set(names)))

    def test_docstring_examples_run(self):
        """The examples in the docstrings give what they show."""
        self.assertEqual(doctest.testmod(metrics).failed, 0)


class MetricsTests(unittest.IsolatedAsyncioTestCase):
    async def test_values_arrive_summed_up(self):
        """A statsd server gets sums, gauges and timings in few packets."""
        server = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.addCleanup(server.close)
        server.bind(("127.0.0.1", 0))
        server.settimeout(5)
        found = Metrics.from_config(Address(*server.getsockname()))
        await found.start()
        for _ in range(1_000):
            found.count(REQUESTS_GOOD, "inter.active")
        found.gauge(REQUESTS_OPEN, 7)
        found.time(FIRST_TOKEN_MS, 310, "interactive")
        await found.close()
        lines = server.recv(65_536).decode().splitlines()
        self.assertEqual(
            sorted(line.split("|")[0] for line in lines),
            [
                "hemlockhoist.answers.first_token_ms.interactive:310.000000",
                "hemlockhoist.requests.good.inter_active:1000",
                "hemlockhoist.requests.open:7",
            ],
        )

    async def test_a_gauge_that_nobody_sets_ends_at_zero(self):
        """
        A pool's home moves to another host. The former one went on to send the last
        length of its queue, and the sum over the fleet was too high for ever.
        """
        server = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.addCleanup(server.close)
        server.bind(("127.0.0.1", 0))
        server.settimeout(5)
        found = Metrics.from_config(Address(*server.getsockname()))
        found.gauge(REQUESTS_OPEN, 7)
        values = []
        for _ in range(GAUGE_LIFETIME + 1):
            found.flush()
            values.append(server.recv(65_536).decode())
        found.flush()
        server.setblocking(False)
        with self.assertRaises(BlockingIOError):
            server.recv(65_536)
        self.assertEqual(set(values[:-1]), {"hemlockhoist.requests.open:7|g"})
        self.assertEqual(values[-1], "hemlockhoist.requests.open:0|g")

    async def test_nothing_is_sent_without_an_address(self):
        """Without an address totals are kept, and memory stays bounded."""
        found = Metrics.from_config(None)
        await found.start()
        for number in range(MAX_SERIES + 10):
            found.count(REQUESTS_ARRIVED, f"tier-{number}")
            found.time(FIRST_TOKEN_MS, 1, "t")
        found.flush()
        await found.close()
        self.assertLessEqual(len(found.totals), MAX_SERIES + 1)
        self.assertEqual(found.totals[SERIES_DROPPED.name], 10)

    def test_wrong_use_is_an_error(self):
        """A wrong kind, or a label where there is none, raises at once."""
        found = Metrics(None)
        with self.assertRaises(TypeError):
            found.gauge(REQUESTS_GOOD, 1, "t")
        with self.assertRaises(TypeError):
            found.count(REQUESTS_GOOD)
        with self.assertRaises(TypeError):
            found.gauge(REQUESTS_OPEN, 1, "t")


class ExpositionTests(unittest.TestCase):
    def test_values_are_served_in_the_format_of_prometheus(self):
        found = Metrics(None)
        found.count(REQUESTS_GOOD, "interactive", 3)
        found.gauge(REQUESTS_OPEN, 7)
        for duration_ms in (4, 15, 90_000):
            found.time(FIRST_TOKEN_MS, duration_ms, "interactive")
        text = exposition(found).decode()
        wanted = (
            'hemlockhoist_requests_good_total{label="interactive"} 3.0',
            "hemlockhoist_requests_open 7.0",
            'first_token_ms_bucket{label="interactive",le="5"} 1.0',
            'first_token_ms_bucket{label="interactive",le="20"} 2.0',
            'first_token_ms_bucket{label="interactive",le="+Inf"} 3.0',
            'first_token_ms_sum{label="interactive"} 90019.0',
        )
        for line in wanted:
            self.assertIn(line, text)
