"""The memory that answers of a store may take while they are read."""

import contextlib

import aiohttp

# More than the longest page of rows, each as long as a row may be.
MAX_ANSWER_BYTES = 67_108_864


class AnswerMemory:
    """Bounds the bytes of all answers that are held at a time.

    Load: a faulty store sends answers, or pages of one reading, without end, for all
    tables at a time. A process over its memory limit is killed with all its requests.

    Parameters
    ==========
    max_bytes : int

    Attributes
    ==========
    held_bytes : int

    Examples
    ========
    >>> from hemlockhoist.store.answer_memory import AnswerMemory
    >>> memory = AnswerMemory(1_000)
    >>> with memory.holding() as first, memory.holding() as second:
    ...     first.add(600)
    ...     second.add(300)
    ...     memory.held_bytes
    900
    >>> memory.held_bytes
    0
    """

    __slots__ = ("held_bytes", "max_bytes")

    def __init__(self, max_bytes):
        self.max_bytes = max_bytes
        self.held_bytes = 0

    @contextlib.contextmanager
    def holding(self):
        """Yield a ``HeldBytes``, whose bytes are released in the end."""
        held = HeldBytes(self)
        try:
            yield held
        finally:
            self.held_bytes -= held.byte_count


class HeldBytes:
    """What one answer or reading holds.

    Attributes
    ==========
    byte_count : int
    """

    __slots__ = ("_memory", "byte_count")

    def __init__(self, memory):
        self._memory = memory
        self.byte_count = 0

    def add(self, byte_count):
        """Account bytes that have arrived.

        Raises
        ======
        aiohttp.ClientPayloadError
            The store sent more than may be held.
        """
        self.byte_count += byte_count
        self._memory.held_bytes += byte_count
        if self._memory.held_bytes > self._memory.max_bytes:
            text = f"the store sent more than {self._memory.max_bytes} bytes at a time"
            raise aiohttp.ClientPayloadError(text)
