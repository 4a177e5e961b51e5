"""Runs the engine cost model in real time on the event loop's clock."""

import asyncio
import collections
import contextlib
import itertools

from hemlockhoist.standins import answers
from hemlockhoist.standins.counting import FractionSampler, RunCounter
from hemlockhoist.standins.delayed_value import DelayedValue
from hemlockhoist.standins.engine.faults import EngineFaults
from hemlockhoist.standins.engine.orders import OrderHandler
from hemlockhoist.standins.engine.streams import Stream, StreamStore
from hemlockhoist.standins.engine_model import EngineModel

_MS_PER_S = 1000
_STREAM_RETENTION_MS = 60_000
_MAX_CACHE_EVENTS = 4_096
_IDLE_WAIT_MS = 1_000


class EngineRequestFailed(Exception):
    """Raised when an injected fault fails a request that has begun."""


class EngineCore:
    """State of one engine: streams, run counts, load reports and cache events.

    Parameters
    ==========
    clock : hemlockhoist.base.Clock
    model : hemlockhoist.standins.engine_model.EngineModel
    block_tokens : int
    orders : OrderHandler
    stream_retention_ms : int
        How long a stream can be resumed after its end.
    """

    __slots__ = (
        "_block_tokens",
        "_cache_events",
        "_cache_sequence",
        "_clock",
        "_failures",
        "_leaving_since_ms",
        "_load",
        "_model",
        "_run_numbers",
        "_sequences",
        "_task",
        "_wake",
        "begun_after_leaving_ms",
        "faults",
        "orders",
        "runs",
        "streams",
    )

    def __init__(self, clock, model, block_tokens, orders, stream_retention_ms):
        self._clock = clock
        self._model = model
        self._block_tokens = block_tokens
        self._cache_events = collections.deque(maxlen=_MAX_CACHE_EVENTS)
        self._cache_sequence = 0
        self._failures = FractionSampler()
        self._leaving_since_ms = None
        self._sequences = {}
        self._run_numbers = itertools.count(1)
        self._task = None
        self._wake = asyncio.Event()
        self.begun_after_leaving_ms = []
        self.faults = EngineFaults()
        self.orders = orders
        self.runs = RunCounter()
        self.streams = StreamStore(stream_retention_ms)
        self._load = DelayedValue(self._report(), clock.now_ms())

    @classmethod
    def from_config(
        cls, config, clock, version, checks_fencing=True, load_ms=0, role="any"
    ):
        """Return an engine that has not been started.

        Parameters
        ==========
        config : hemlockhoist.standins.engine_model.EngineConfig
        clock : hemlockhoist.base.Clock
        version, role : str
        checks_fencing : bool
        load_ms : int
            How long loading a version takes.
        """
        model = EngineModel.from_config(config)
        orders = OrderHandler(version, role, checks_fencing, load_ms)
        return cls(clock, model, config.block_tokens, orders, _STREAM_RETENTION_MS)

    @property
    def version(self):
        """Version on which new requests run."""
        self.orders.apply_due(self._clock.now_ms())
        return self.orders.version

    def now_ms(self):
        """Return the current time of the engine's clock."""
        return self._clock.now_ms()

    async def start(self):
        """Start generating."""
        self._task = asyncio.create_task(self._generate())

    async def close(self):
        """Stop generating."""
        self._task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self._task

    def begin(self, request_id, model_name, prompt, max_tokens):
        """Begin a request and return its stream; a repeated request id runs again.

        Raises
        ======
        EngineRequestFailed
            When an injected fault fails the request.
        """
        now_ms = self._clock.now_ms()
        self.runs.begun[request_id] += 1
        if self._leaving_since_ms is not None:
            self.begun_after_leaving_ms.append(now_ms - self._leaving_since_ms)
        if self._injects_failure():
            self.runs.failed[request_id] += 1
            raise EngineRequestFailed(request_id)
        pieces = answers.answer_pieces(prompt, max_tokens)
        tokens = answers.count_tokens(prompt)
        stream = Stream(request_id, model_name, self.version, pieces, tokens)
        stream.sequence_id = f"{request_id}#{next(self._run_numbers)}"
        self.streams.add(stream)
        self._sequences[stream.sequence_id] = stream
        hashes = answers.block_hashes(prompt, self._block_tokens)
        self._model.submit(stream.sequence_id, tokens, max_tokens, hashes, now_ms)
        self._record_load(now_ms)
        self._wake.set()
        return stream

    def cancel(self, stream):
        """Cancel a stream; has no effect on one that has ended."""
        if self._sequences.pop(stream.sequence_id, None) is None:
            return
        now_ms = self._clock.now_ms()
        self._model.cancel(stream.sequence_id, now_ms)
        self.runs.cancelled[stream.request_id] += 1
        stream.ended_ms = now_ms
        stream.cancel()
        self._record_load(now_ms)
        self._wake.set()

    def set_faults(self, faults):
        """Replace the active faults."""
        now_ms = self._clock.now_ms()
        was_leaving = self.faults.state == "leaving"
        self.faults = faults
        self._load.lag_ms = faults.load_lag_ms
        if faults.state != "leaving":
            self._leaving_since_ms = None
        elif not was_leaving:
            self._leaving_since_ms = now_ms
        self._record_load(now_ms)
        self._wake.set()

    def load_report(self):
        """Return the load report as of ``load_lag_ms`` ago."""
        now_ms = self._clock.now_ms()
        self._record_load(now_ms)
        return {**self._load.get(now_ms), "age_ms": self._load.lag_ms}

    def cache_events(self, since):
        """Return the visible cache events after ``since``, without the dropped ones."""
        until_ms = self._clock.now_ms() - self.faults.cache_lag_ms
        gap = self.faults.cache_gap_every
        found = [
            {"sequence": number, "stored": stored, "removed": removed}
            for number, at_ms, stored, removed in self._cache_events
            if number > since and at_ms <= until_ms and not (gap and number % gap == 0)
        ]
        return {"events": found, "block_tokens": self._block_tokens}

    def _injects_failure(self):
        if not self.faults.applies_to(self.version):
            return False
        return self._failures.is_selected(self.faults.fail_share)

    def _report(self):
        load = self._model.load()
        return {
            "in_flight": load.in_flight,
            "queued": load.queued,
            "state": self.faults.state,
            "version": self.version,
        }

    def _record_load(self, now_ms):
        report = self._report()
        if report != self._load.latest():
            self._load.set(report, now_ms)

    async def _generate(self):
        while True:
            self._wake.clear()
            now_ms = self._clock.now_ms()
            self._apply_slowdown()
            for event in self._model.advance(now_ms):
                self._deliver(event, now_ms)
            self._record_cache_changes(now_ms)
            self._record_load(now_ms)
            self.streams.evict_expired(now_ms)
            await self._wait(now_ms)

    async def _wait(self, now_ms):
        """Wait until the next step ends or the state changes."""
        next_ms = self._model.next_event_ms()
        wait_ms = _IDLE_WAIT_MS if next_ms is None else max(1, next_ms - now_ms)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_ms / _MS_PER_S):
                await self._wake.wait()

    def _apply_slowdown(self):
        slow = self.faults.applies_to(self.version)
        self._model.set_slowdown(self.faults.slowdown_permille if slow else 1_000)

    def _deliver(self, event, now_ms):
        stream = self._sequences.get(event.request_id)
        if stream is None:
            return
        stream.publish(event.output_tokens, event.cached_tokens)
        if stream.finished and stream.ended_ms is None:
            stream.ended_ms = now_ms
            self.runs.finished[stream.request_id] += 1
            del self._sequences[event.request_id]

    def _record_cache_changes(self, now_ms):
        for stored, removed in self._model.take_cache_changes():
            self._cache_sequence += 1
            entry = (self._cache_sequence, now_ms, stored, removed)
            self._cache_events.append(entry)
