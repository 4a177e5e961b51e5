"""The memory that answers of a store may take while they are read."""

import contextlib

import aiohttp

from hemlockhoist.base import PlatformError

# More than the longest page of rows, each as long as a row may be.
MAX_ANSWER_BYTES = 67_108_864
# What a decoded row takes beside its key and its value: four objects of some 50 bytes.
ROW_BYTES = 200


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

    @classmethod
    def from_limit(cls, limit_bytes):
        """Return the memory of a process whose limit leaves this much; 0 for none."""
        return cls(min(limit_bytes or MAX_ANSWER_BYTES, MAX_ANSWER_BYTES))

    @contextlib.contextmanager
    def holding(self):
        """Yield a ``HeldBytes``, whose bytes are released in the end."""
        held = HeldBytes(self)
        try:
            yield held
        finally:
            self.held_bytes -= held.byte_count

    async def read_pages(self, fetch):
        """Read a table in pages; return the first page and all rows.

        Parameters
        ==========
        fetch : coroutine function
            ``fetch(begin)`` returns a page with ``rows`` and ``has_more``; ``begin``
            has the field ``from``, except for the first page.

        Raises
        ======
        PlatformError
            The table has more than may be held; and what ``fetch`` raises.
        """
        first = page = await fetch({})
        rows = list(page.rows)
        with self.holding() as held:
            while page.has_more and page.rows:
                held.add_rows(page.rows)
                # The next key in order: the range begins after the last key that was
                # read.
                page = await fetch({"from": page.rows[-1].key + "\0"})
                rows += page.rows
        return first, rows


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

    def add_rows(self, rows):
        """Account a page of a table of which more pages are read.

        Parameters
        ==========
        rows : sequence
            With the texts ``key`` and ``value``, of which the latter may be None.

        Raises
        ======
        PlatformError
            The table has more than may be held.
        """
        lengths = (len(row.key) + len(row.value or "") for row in rows)
        try:
            self.add(sum(lengths) + ROW_BYTES * len(rows))
        except aiohttp.ClientPayloadError as error:
            raise PlatformError(f"a table without end: {error}") from error
