"""How long calls to the store are given, and when they are sent again."""

import asyncio

import aiohttp

from hemlockhoist.base import MS_PER_S, PlatformError, StoreAnswerLost, get_logger

_log = get_logger("store.calls")

# Time without an answer after which a read is sent again beside the one in progress. An
# answer usually takes about 10 ms, and a connection whose answer was lost stays silent.
MIN_REPEAT_MS = 1_500
# A store that answers is not asked again while it is slower than before by less than
# this factor.
REPEAT_FACTOR = 2
# Shorter than the time in which hosts are to know the store's rows after its return.
MAX_REPEAT_MS = 2_800
MAX_ATTEMPTS = 3
# An answer that has begun is read for as long as its bytes arrive.
STALLED_MS = 1_500
# Answers that take this long are logged, when they begin to and when they no longer do.
SLOW_ANSWER_MS = 500


class CallProgress:
    """What has arrived of the answer to one call.

    Attributes
    ==========
    begun : asyncio.Event
        Set when the head of the answer has arrived.
    last_s : float
        When the last bytes arrived, on the clock of the event loop.
    """

    __slots__ = ("begun", "last_s")

    def __init__(self):
        self.begun = asyncio.Event()
        self.last_s = 0.0

    def on_bytes(self):
        """Record that the head, or bytes of the body, have arrived."""
        self.last_s = asyncio.get_running_loop().time()
        self.begun.set()


class _Attempt:
    """One of the calls by which a read is made."""

    __slots__ = ("_head", "_sent_s", "_wait_ms", "progress", "task")

    def __init__(self, call, wait_ms):
        self.progress = CallProgress()
        self._wait_ms = wait_ms
        self._sent_s = asyncio.get_running_loop().time()
        self.task = asyncio.ensure_future(call(self.progress, wait_ms))
        self._head = asyncio.ensure_future(self.progress.begun.wait())

    @property
    def parts(self):
        """The tasks of which the first to end says something of the answer."""
        return (self.task, self._head)

    @property
    def is_answered(self):
        """Whether an answer has begun, or the call has ended otherwise."""
        return self.task.done() or self.progress.begun.is_set()

    @property
    def waits(self):
        """Whether the store may have waited for a change before it answered."""
        return self._wait_ms > 0

    @property
    def is_unanswered(self):
        """Whether the connection ended before an answer began."""
        if not self.task.done() or self.progress.begun.is_set():
            return False
        error = self.task.exception()
        return error is not None and not isinstance(error, PlatformError)

    def elapsed_ms(self):
        """Return how long ago the call was sent."""
        return (asyncio.get_running_loop().time() - self._sent_s) * MS_PER_S

    def answer_ms(self):
        """Return how long the answer took beyond the wait, or None if unknown."""
        if not self.progress.begun.is_set():
            return None
        elapsed_ms = (self.progress.last_s - self._sent_s) * MS_PER_S - self._wait_ms
        # A call that waits is answered early if there is a change.
        return elapsed_ms if elapsed_ms > 0 else None

    def cancel(self):
        """End the call without waiting for it."""
        for part in self.parts:
            part.cancel()

    async def close(self):
        """End the call."""
        self.cancel()
        await asyncio.gather(*self.parts, return_exceptions=True)


class StoreCalls:
    """Makes calls to the store; their limits follow the store's pace.

    Failure prevented: the store's answers, or their bytes on a slow link, take longer
    than a fixed limit. Each reading is then given up shortly before its end and begun
    again, the link carries the same bytes over and over, and no change arrives for as
    long as the store is slow.

    Parameters
    ==========
    min_repeat_ms : int, optional
        Time without an answer after which a read is sent again, if the store is not
        known to be slow.

    Attributes
    ==========
    answer_ms : int
        How long the store has recently taken for an answer.

    Examples
    ========
    >>> import asyncio
    >>> from hemlockhoist.store import StoreCalls
    >>> async def answer(progress, wait_ms):
    ...     progress.on_bytes()
    ...     return "rows"
    >>> asyncio.run(StoreCalls().read(answer))
    'rows'
    """

    __slots__ = ("_is_slow", "_min_repeat_ms", "_suspicions", "answer_ms")

    def __init__(self, min_repeat_ms=MIN_REPEAT_MS):
        self._min_repeat_ms = min_repeat_ms
        self.answer_ms = 0
        self._is_slow = False
        # For each read in progress, a future that is done when its connection may have
        # gone silent.
        self._suspicions = set()

    @property
    def repeat_ms(self):
        """Time without an answer, beyond the wait, after which a read is repeated."""
        expected_ms = REPEAT_FACTOR * self.answer_ms
        return min(MAX_REPEAT_MS, max(self._min_repeat_ms, expected_ms))

    @property
    def commit_timeout_ms(self):
        """Time after which a commit without an answer is given up."""
        return MAX_ATTEMPTS * self._min_repeat_ms

    async def read(self, call, wait_ms=0):
        """Return the result of a read, sent again while no answer has begun.

        Parameters
        ==========
        call : callable
            ``call(progress, wait_ms)`` returns a coroutine that makes the call, and
            reports to its ``CallProgress``.
        wait_ms : int, optional
            How long the store itself may wait before it answers.

        Raises
        ======
        PlatformError
            If no answer begins, or one stops arriving; and what the call raises.
        """
        try:
            return await self._read(call, wait_ms)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise PlatformError(f"no answer of the store: {error!r}") from error

    async def _read(self, call, wait_ms):
        attempts = []
        suspicion = asyncio.get_running_loop().create_future()
        self._suspicions.add(suspicion)
        try:
            for _ in range(MAX_ATTEMPTS):
                attempts.append(_Attempt(call, wait_ms))
                limit_ms = wait_ms + self.repeat_ms
                answered = await _first_answered(attempts, limit_ms, suspicion)
                if answered is not None:
                    _log_repeated(attempts, answered)
                    return await self._finish(answered, attempts)
                # The repeated call is to find out soon whether the store answers.
                wait_ms = 0
            raise TimeoutError(f"no answer of the store to {len(attempts)} calls")
        finally:
            self._suspicions.discard(suspicion)
            # At once: if the read is cancelled again, the tasks below may never start.
            for attempt in attempts:
                attempt.cancel()
            await asyncio.gather(*(attempt.close() for attempt in attempts))

    async def commit(self, call):
        """Return the result of a commit, which is sent once.

        Parameters
        ==========
        call : callable
            As of ``read``.

        Raises
        ======
        StoreAnswerLost
            When the outcome is unknown.
        PlatformError
            When the commit was not sent; and what the call raises.
        """
        attempt = _Attempt(call, 0)
        try:
            # A commit is sent once only: its outcome is unknown until it is answered.
            async with asyncio.timeout(self.commit_timeout_ms / MS_PER_S):
                return await attempt.task
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise PlatformError(f"cannot connect to the store: {error}") from error
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise StoreAnswerLost(f"no answer to a commit: {error!r}") from error
        finally:
            await attempt.close()

    async def _finish(self, answered, attempts):
        """Read an answer to its end, and end the other calls."""
        was_slow = self._is_slow
        self._record(answered.answer_ms())
        is_repeated = answered is not attempts[0] and answered.progress.begun.is_set()
        is_well_again = was_slow and not self._is_slow and not answered.waits
        if is_repeated or is_well_again:
            self._suspect_others()
        others = [attempt for attempt in attempts if attempt is not answered]
        await asyncio.gather(*(attempt.close() for attempt in others))
        loop = asyncio.get_running_loop()
        while not answered.task.done():
            stalled_s = answered.progress.last_s + STALLED_MS / MS_PER_S
            if loop.time() >= stalled_s:
                raise TimeoutError("the answer of the store stopped arriving")
            await asyncio.wait((answered.task,), timeout=stalled_s - loop.time())
        return answered.task.result()

    def _suspect_others(self):
        """Repeat the other reads: one was answered only when it was sent again, or soon.

        Failure prevented: connections have gone silent without an error, and a read
        that waits long for a change learns of it only when its wait has ended. Or a
        slow store is well again, and a read that was sent before is waited for.
        """
        for suspicion in self._suspicions:
            if not suspicion.done():
                suspicion.set_result(None)

    def _record(self, answer_ms):
        if answer_ms is None:
            return
        # The estimate follows a slow answer at once, and quick ones gradually.
        self.answer_ms = round(max(answer_ms, self.answer_ms / 2))
        is_slow = answer_ms >= SLOW_ANSWER_MS
        if is_slow != self._is_slow:
            self._is_slow = is_slow
            event = "store_slow" if is_slow else "store_quick"
            _log.info(event, answer_ms=round(answer_ms), repeat_ms=self.repeat_ms)


def _log_repeated(attempts, answered):
    """Log that a read was answered only after it had been sent again."""
    if len(attempts) > 1:
        _log.info(
            "store_read_repeated",
            calls=len(attempts),
            answered=attempts.index(answered) + 1,
            after_ms=round(attempts[0].elapsed_ms()),
        )


async def _first_answered(attempts, limit_ms, suspicion):
    """Return the first attempt that is answered, or None.

    None is returned after a limit, or if the newest attempt has become suspect. A
    connection that ends without an answer says nothing while another call is open; the
    last one is returned if none is.
    """
    loop = asyncio.get_running_loop()
    until_s = loop.time() + limit_ms / MS_PER_S
    is_first = len(attempts) == 1
    while True:
        open_attempts = [item for item in attempts if not item.is_unanswered]
        if not open_attempts:
            return attempts[-1]
        for attempt in open_attempts:
            if attempt.is_answered:
                return attempt
        if loop.time() >= until_s or (is_first and suspicion.done()):
            return None
        parts = [part for item in open_attempts for part in item.parts]
        if is_first:
            parts.append(suspicion)
        await asyncio.wait(
            parts,
            timeout=until_s - loop.time(),
            return_when=asyncio.FIRST_COMPLETED,
        )


async def read_body(response, progress, memory):
    """Return the body of an HTTP response, and report its bytes as they arrive.

    Parameters
    ==========
    response : aiohttp.ClientResponse
    progress : CallProgress
    memory : AnswerMemory

    Raises
    ======
    aiohttp.ClientPayloadError
        The answer is longer than any that is asked for.
    """
    progress.on_bytes()
    chunks = []
    with memory.holding() as held:
        try:
            async for chunk in response.content.iter_any():
                progress.on_bytes()
                chunks.append(chunk)
                held.add(len(chunk))
            return b"".join(chunks)
        finally:
            # An error keeps the frame, and with it the list, until the garbage collector
            # finds the references between them.
            chunks.clear()
