import unittest

from hemlockhoist.base.logfmt import LineRenderer
from hemlockhoist.cli.explain import explain
from hemlockhoist.cli.log_lines import parse_line


def line(timestamp, event, host="h1", **fields):
    pairs = " ".join(f"{key}={value}" for key, value in fields.items())
    return parse_line(f"timestamp={timestamp} event={event} host={host} {pairs}")


class LogLineTests(unittest.TestCase):
    def test_values_are_read_as_they_were_logged(self):
        """Guards against reasons that show escapes in place of what was logged."""
        render = LineRenderer({})
        for value in ('a "b"', "two\nlines\r", "c:\\new", 'tail\\"', "\\n"):
            text = render(None, "info", {"event": "x", "reason": value})
            self.assertEqual(parse_line(text).get("reason"), value, text)


class ContextTests(unittest.TestCase):
    REQUEST = line("2026-03-02T10:00:00.500000Z", "request_ended", request="a1")

    def around(self, *lines):
        return explain("a1", [self.REQUEST, *lines]).around

    def test_events_of_other_days_are_not_related(self):
        """Guards against a cause that lay at the same time of another day."""
        found = self.around(
            line("2026-03-01T10:00:00.200000Z", "store_lost", table="op"),
            line("2026-03-02T10:00:00.200000Z", "store_regained", table="op"),
        )
        self.assertEqual(len(found), 1)
        self.assertIn("store_regained", found[0])

    def test_events_before_midnight_are_related(self):
        """Guards against a cause that is missing as the date changed after it."""
        request = line("2026-03-02T00:00:01Z", "request_ended", request="a2")
        lost = line("2026-03-01T23:59:59Z", "store_lost", table="op")
        self.assertEqual(len(explain("a2", [request, lost]).around), 1)

    def test_line_without_a_readable_time_is_not_related(self):
        self.assertEqual(self.around(line("soon", "store_lost")), [])


class RowsMeanwhileTests(unittest.TestCase):
    ADMITTED = line("2026-03-02T10:00:00.200000Z", "request_admitted", request="a1")
    ENDED = line("2026-03-02T10:00:00.900000Z", "request_ended", request="a1")

    def verdict(self, timestamp, host="h1", row_bytes=300_000, after_ms=400):
        read = line(
            timestamp,
            "table_read",
            host,
            table="op",
            row_bytes=row_bytes,
            relayed_by="",
            after_ms=after_ms,
        )
        return explain("a1", [self.ADMITTED, self.ENDED, read]).verdict

    def test_large_rows_that_a_request_waited_behind_are_named(self):
        """Guards against slow requests that no line explains."""
        for timestamp in ("2026-03-02T10:00:00.500Z", "2026-03-02T10:00:01.200Z"):
            text = self.verdict(timestamp)
            self.assertIn("read 300000 B of the table op from the store", text)

    def test_other_readings_are_not_named(self):
        during = "2026-03-02T10:00:00.500000Z"
        for text in (
            self.verdict(during, host="h2"),
            self.verdict(during, row_bytes=900),
            self.verdict("2026-03-02T10:00:00.100000Z"),
            self.verdict("2026-03-02T10:00:01.400000Z"),
        ):
            self.assertNotIn("Meanwhile", text)
