"""Writes log lines without blocking on the reader of the stream."""

import collections
import threading

# Lines are written in batches, because each hand-over to the thread costs a wake-up.
BATCH_DELAY_S = 0.05
# A pipe accepts writes up to this size atomically, so that the lines of several
# processes are not interleaved.
MAX_WRITE_BYTES = 4_096
MAX_BUFFERED_BYTES = 1_048_576
CLOSE_TIMEOUT_S = 0.3


class LineWriter:
    """A text stream with a bounded buffer, written by a thread.

    Lines that do not fit into the buffer are dropped and counted. If the program that
    reads standard output stopped reading, the pipe would fill up and a direct write
    would block the event loop: the host would look alive without answering any request.
    Here only the thread blocks.

    Parameters
    ==========
    stream : text file
    max_buffered_bytes : int, optional
    """

    __slots__ = (
        "__weakref__",
        "_buffered_bytes",
        "_closing",
        "_lines",
        "_lines_added",
        "_lock",
        "_max_buffered_bytes",
        "_stream",
        "_thread",
        "dropped",
    )

    def __init__(self, stream, max_buffered_bytes=MAX_BUFFERED_BYTES):
        self._stream = stream
        self._max_buffered_bytes = max_buffered_bytes
        self._lines = collections.deque()
        self._buffered_bytes = 0
        self._lock = threading.Lock()
        self._lines_added = threading.Event()
        self._closing = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name="log-writer", daemon=True
        )
        self.dropped = 0

    def start(self):
        """Start the thread."""
        self._thread.start()

    def close(self):
        """Write the buffered lines, waiting at most ``CLOSE_TIMEOUT_S``."""
        self._closing.set()
        self._lines_added.set()
        self._thread.join(CLOSE_TIMEOUT_S)

    def join(self):
        """Wait until the thread has ended, after ``close``."""
        self._thread.join()

    @property
    def is_empty(self):
        """Whether all lines have been written."""
        return self._buffered_bytes == 0

    def take_dropped(self):
        """Return the number of lines dropped since the last call."""
        dropped, self.dropped = self.dropped, 0
        return dropped

    def write(self, text):
        """Add a text to the buffer, without blocking."""
        size_bytes = _size_bytes(text)
        with self._lock:
            if self._buffered_bytes + size_bytes > self._max_buffered_bytes:
                self.dropped += 1
                return
            self._lines.append(text)
            self._buffered_bytes += size_bytes
        self._lines_added.set()

    def flush(self):
        """Do nothing; the thread writes as soon as it can."""

    def _run(self):
        while not self._closing.is_set():
            self._lines_added.wait()
            # This waits in real time: the event loop's clock belongs to another thread,
            # and tests that pause it run without this thread.
            self._closing.wait(BATCH_DELAY_S)
            self._lines_added.clear()
            self._write_buffered()
        # Lines may have been added between the thread's last write and its check of
        # the closing flag. Without this write, the line that says why a process ends
        # could be lost.
        self._write_buffered()

    def _write_buffered(self):
        while text := self._take_batch():
            self._stream.write(text)
            self._stream.flush()
            # The text counts as buffered until the write has returned.
            with self._lock:
                self._buffered_bytes -= _size_bytes(text)

    def _take_batch(self):
        """Remove complete lines from the buffer for one write, and return them."""
        batch, size_bytes = [], 0
        with self._lock:
            while self._lines:
                size_bytes += _size_bytes(self._lines[0])
                if batch and size_bytes > MAX_WRITE_BYTES:
                    break
                batch.append(self._lines.popleft())
        return "".join(batch)


def _size_bytes(text):
    """Return the size of a text as it is written; fast for the usual ASCII lines."""
    return len(text) if text.isascii() else len(text.encode(errors="replace"))
