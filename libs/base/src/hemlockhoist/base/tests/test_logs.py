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
    log_writer,
    logfmt,
)


class LogRateLimiterTests(unittest.TestCase):
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

    def test_failures_are_logged_in_preference_to_successes(self):
        """Lines about successes do not use up the whole limit.

        Otherwise the lines about failures, which come last in a burst, would be
        dropped, and the cause of the failures would remain unknown.
        """
        self.assertEqual(self.pass_lines(100, "info"), 12)
        self.assertEqual(self.pass_lines(100, "warning"), 8)

    def test_tokens_are_refilled_over_time(self):
        self.pass_lines(100, "warning")
        self.now_ms = 1_000
        self.assertEqual(self.pass_lines(100, "warning"), 10)

    def test_dropped_lines_are_reported_once(self):
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

    def test_line_written_just_before_close_is_not_lost(self):
        """The last line, which says why a process ends, is written.

        The thread checks for the close after the last line was added, and has not read
        the buffer since.
        """
        stream = io.StringIO()
        writer = LineWriter(stream)
        writer.write("last\n")
        with unittest.mock.patch.object(threading.Thread, "join"):
            writer.close()
        writer.start()
        writer.join()
        self.assertEqual(stream.getvalue(), "last\n")

    def test_structured_logs_are_written(self):
        stream = io.StringIO()
        writer = LineWriter(stream)
        writer.start()
        configure_logs("info", writer)
        self.addCleanup(structlog.reset_defaults)
        get_logger("test").info("host_started", host="h1")
        writer.close()
        self.assertIn("event=host_started component=test host=h1", stream.getvalue())

    def test_line_breaks_in_values_are_escaped(self):
        """Guards against a value whose rest would be parsed as a separate log line."""
        stream = io.StringIO()
        configure_logs("info", stream)
        self.addCleanup(structlog.reset_defaults)
        get_logger("test").warning("store_lost", reason='a "b"\nc=d\\ \r\te')
        self.assertEqual(stream.getvalue().count("\n"), 1)
        self.assertIn('reason="a \\"b\\"\\nc=d\\\\ \\r\te"', stream.getvalue())

    def test_buffer_is_bounded_in_bytes(self):
        """Guards against logs of other scripts that use several times the memory."""
        writer = LineWriter(io.StringIO(), max_buffered_bytes=100)
        for _ in range(20):
            writer.write("ñ" * 9 + "\n")
        self.assertEqual(writer.take_dropped(), 15)

    def test_write_is_atomic_for_lines_of_any_script(self):
        """Guards against lines of several processes that are mixed in one pipe."""
        writer = LineWriter(io.StringIO())
        for _ in range(100):
            writer.write("ñ" * 99 + "\n")
        batch = writer._take_batch()
        self.assertLessEqual(len(batch.encode()), log_writer.MAX_WRITE_BYTES)
        self.assertGreater(len(batch.encode()), log_writer.MAX_WRITE_BYTES // 2)

    def test_secrets_are_masked(self):
        stream = io.StringIO()
        configure_logs("info", stream)
        self.addCleanup(structlog.reset_defaults)
        get_logger("test").info("setting", peer_key="abc")
        self.assertIn("peer_key=***", stream.getvalue())
        self.assertNotIn("abc", stream.getvalue())

    def test_docstring_examples_run(self):
        self.assertEqual(doctest.testmod(logfmt).failed, 0)

    def test_stalled_reader_does_not_block_the_program(self):
        """Lines beyond the buffer are dropped and counted.

        When the reader hangs, the pipe of standard output fills up and writes to it
        block. In the event loop, they would stop the host from answering requests.
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
        # The pipe is read to its end by a thread, because the number of buffered bytes
        # does not show whether another read would block.
        with os.fdopen(read_end, "rb") as reader:
            drain = threading.Thread(target=reader.read)
            drain.start()
            writer.close()
            writer.join()
            stream.close()
            drain.join()
        self.assertTrue(writer.is_empty)
