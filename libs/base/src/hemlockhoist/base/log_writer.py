"""Writing log lines without ever waiting for whoever reads them."""

import collections
import threading

# Lines are written together: each hand-over to the thread costs a wake-up.
BATCH_DELAY_S = 0.05
# What a pipe takes as a whole: lines of several processes are not mixed.
MAX_WRITE_BYTES = 4_096
MAX_BUFFERED_BYTES = 1_048_576
CLOSE_TIMEOUT_S = 0.3


class LineWriter:
    """A text stream that a thread empties; what does not fit is dropped and counted.

    Failure: the program that reads standard output stops reading. The pipe fills, a
    plain write blocks, and with it the event loop: the host looks alive and answers
    nobody. Here only the thread blocks, and the lines held for it are bounded.

    Parameters
    ==========
    stream : text file
    max_buffered_bytes : int, optional
    """

    __slots__ = (
        "__weakref__",
        "_closing",
        "_filled",
        "_held_bytes",
        "_lines",
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
        self._held_bytes = 0
        self._lock = threading.Lock()
        self._filled = threading.Event()
        self._closing = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name="log-writer", daemon=True
        )
        self.dropped = 0

    def start(self):
        """Begin to write."""
        self._thread.start()

    def close(self):
        """Write what is held, as far as the reader takes it at once."""
        self._closing.set()
        self._filled.set()
        self._thread.join(CLOSE_TIMEOUT_S)

    def join(self):
        """Wait until the thread has ended, after ``close``."""
        self._thread.join()

    @property
    def is_empty(self):
        """Whether the reader has taken everything."""
        return self._held_bytes == 0

    def take_dropped(self):
        """Return how many lines did not fit since the last call."""
        dropped, self.dropped = self.dropped, 0
        return dropped

    def write(self, text):
        """Hold a text for the thread; never waits."""
        with self._lock:
            if self._held_bytes + len(text) > self._max_buffered_bytes:
                self.dropped += 1
                return
            self._lines.append(text)
            self._held_bytes += len(text)
        self._filled.set()

    def flush(self):
        """Do nothing: the thread writes as soon as it can."""

    def _run(self):
        while not self._closing.is_set():
            self._filled.wait()
            # Not the runtime's clock: it belongs to the event loop, and tests that
            # pause it have no thread.
            self._closing.wait(BATCH_DELAY_S)
            self._filled.clear()
            self._write_held()
        # Failure: the line that says why a process ends is missing. It was written
        # between the thread's last look at the lines and its look at the closing.
        self._write_held()

    def _write_held(self):
        while text := self._take():
            self._stream.write(text)
            self._stream.flush()
            # Counted as held until the reader has taken it.
            with self._lock:
                self._held_bytes -= len(text)

    def _take(self):
        """Return whole lines for one write."""
        taken, size = [], 0
        with self._lock:
            while self._lines and (
                not taken or size + len(self._lines[0]) <= MAX_WRITE_BYTES
            ):
                taken.append(self._lines.popleft())
                size += len(taken[-1])
        return "".join(taken)
