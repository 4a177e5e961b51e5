import doctest
import io
import os
import threading
import unittest
import unittest.mock

import structlog

from hemlockhoist.base import (
    LineWriter,
    LogRateLimiter,
    configure_logs,
    get_logger,
    logfmt,
)


class VolumeLimitTests(unittest.TestCase):
    def setUp(self):
        self.now_ms = 0
        self.limit = LogRateLimiter(lambda: self.now_ms, lines_per_s=10, burst_lines=20)

    def pass_lines(self, count, method):
        passed = 0
        for _ in range(count):
            try:
                self.limit(None, method, {"event": method})
                passed += 1
            except structlog.DropEvent:
                continue
        return passed

    def test_failures_are_kept_before_successes(self):
        """Nobody can tell afterwards why requests failed in a burst.

        Lines of requests that went well used the whole bound up, and those of the
        failures, which came last, were dropped.
        """
        self.assertEqual(self.pass_lines(100, "info"), 12)
        self.assertEqual(self.pass_lines(100, "warning"), 8)

    def test_rate_comes_back_with_time(self):
        self.pass_lines(100, "warning")
        self.now_ms = 1_000
        self.assertEqual(self.pass_lines(100, "warning"), 10)

    def test_what_was_left_out_is_told_once(self):
        self.pass_lines(30, "warning")
        self.assertEqual(self.limit.take_dropped_by_event(), {"warning": 10})
        self.assertEqual(self.limit.take_dropped_by_event(), {})


class LineWriterTests(unittest.TestCase):
    def test_lines_are_written_in_order(self):
        stream = io.StringIO()
        writer = LineWriter(stream)
        writer.start()
        for number in range(100):
            writer.write(f"{number}\n")
        writer.close()
        self.assertEqual(stream.getvalue().split(), [str(n) for n in range(100)])

    def test_line_written_just_before_the_close_is_not_lost(self):
        """The log of a host ends without the line that says why.

        The thread looks for the end after the close, and has not looked at the lines
        since the last one was written.
        """
        stream = io.StringIO()
        writer = LineWriter(stream)
        writer.write("last\n")
        with unittest.mock.patch.object(threading.Thread, "join"):
            writer.close()
        writer.start()
        writer.join()
        self.assertEqual(stream.getvalue(), "last\n")

    def test_structured_logs_go_through_it(self):
        stream = io.StringIO()
        writer = LineWriter(stream)
        writer.start()
        configure_logs("info", writer)
        self.addCleanup(structlog.reset_defaults)
        get_logger("test").info("host_started", host="h1")
        writer.close()
        self.assertIn("event=host_started component=test host=h1", stream.getvalue())

    def test_value_with_line_ends_stays_on_its_line(self):
        """A reason with a line end in it looks like a line of its own to readers."""
        stream = io.StringIO()
        configure_logs("info", stream)
        self.addCleanup(structlog.reset_defaults)
        get_logger("test").warning("store_lost", reason='a "b"\nc=d\\ \r\te')
        self.assertEqual(stream.getvalue().count("\n"), 1)
        self.assertIn('reason="a \\"b\\"\\nc=d\\\\ \\r\te"', stream.getvalue())

    def test_secrets_are_masked(self):
        stream = io.StringIO()
        configure_logs("info", stream)
        self.addCleanup(structlog.reset_defaults)
        get_logger("test").info("setting", peer_key="abc")
        self.assertIn("peer_key=***", stream.getvalue())
        self.assertNotIn("abc", stream.getvalue())

    def test_docstring_examples_run(self):
        self.assertEqual(doctest.testmod(logfmt).failed, 0)

    def test_reader_that_stops_reading_does_not_stop_the_program(self):
        """A host answers nobody while its log's reader hangs.

        The pipe of standard output is full, and the write of the next line blocks.
        Lines beyond the bound are dropped and counted instead.
        """
        read_end, write_end = os.pipe()
        stream = os.fdopen(write_end, "w")
        writer = LineWriter(stream, max_buffered_bytes=300_000)
        writer.start()
        finished = threading.Event()

        def write_much():
            for _ in range(5_000):
                writer.write("x" * 99 + "\n")
            finished.set()

        thread = threading.Thread(target=write_much)
        thread.start()
        self.assertTrue(finished.wait(10))
        thread.join()
        self.assertGreater(writer.dropped, 1_000)
        # A thread reads to the end of the pipe: what the last write counts as held says
        # nothing of whether another read would find anything.
        with os.fdopen(read_end, "rb") as reader:
            drain = threading.Thread(target=reader.read)
            drain.start()
            writer.close()
            writer.join()
            stream.close()
            drain.join()
        self.assertTrue(writer.is_empty)
