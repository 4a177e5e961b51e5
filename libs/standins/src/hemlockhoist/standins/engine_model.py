"""Cost model of a model engine that batches continuously: no input or output.

The engine works in steps. A step prefills a bounded number of prompt tokens and
decodes one token for each running sequence; its time grows with both, and with the
context that the decoded sequences attend to. Waiting sequences join between steps.
The same calls at the same times give the same events.
"""

import collections
import enum
import heapq

import msgspec

from hemlockhoist.standins.engine_config import GENERATIONS, EngineConfig
from hemlockhoist.standins.prefix_cache import PrefixCache

__all__ = [
    "GENERATIONS",
    "EngineConfig",
    "EngineEvent",
    "EngineEventKind",
    "EngineLoad",
    "EngineModel",
]

_NS_PER_MS = 1_000_000
_NS_PER_US = 1_000
_PERMILLE = 1_000
_MAX_CACHE_CHANGES = 8_192


class EngineEventKind(enum.Enum):
    """What happened to a sequence."""

    FIRST_TOKEN = "first_token"
    TOKEN = "token"
    FINISHED = "finished"


class EngineEvent(msgspec.Struct, frozen=True):
    """One event of one sequence.

    Parameters
    ==========
    kind : EngineEventKind
    request_id : str
    at_ms : int
        End of the step, rounded up.
    output_tokens : int
        Generated so far.
    cached_tokens : int
        Prompt tokens that the prefix cache spared.
    """

    kind: EngineEventKind
    request_id: str
    at_ms: int
    output_tokens: int
    cached_tokens: int


class EngineLoad(msgspec.Struct, frozen=True):
    """What the engine holds: sequences in the batch, waiting, context reserved."""

    in_flight: int
    queued: int
    reserved_tokens: int


class _Sequence:
    __slots__ = (
        "cached_tokens",
        "first_step",
        "output_tokens",
        "prefilled_tokens",
        "prefix_hashes",
        "prompt_tokens",
        "request_id",
    )

    def __init__(self, request_id, prompt_tokens, output_tokens, prefix_hashes):
        self.request_id = request_id
        self.prompt_tokens = max(1, prompt_tokens)
        self.output_tokens = max(1, output_tokens)
        self.prefix_hashes = tuple(prefix_hashes)
        self.cached_tokens = 0
        self.prefilled_tokens = 0
        self.first_step = None

    @property
    def reserved_tokens(self):
        return self.prompt_tokens + self.output_tokens

    def generated(self, step):
        """Return the tokens generated when ``step`` has ended."""
        return 0 if self.first_step is None else step - self.first_step + 1


class EngineModel:
    """One engine: submit, advance, and read the events.

    Parameters
    ==========
    config : EngineConfig

    Examples
    ========
    >>> from hemlockhoist.standins.engine_model import EngineConfig, EngineModel
    >>> model = EngineModel.from_config(EngineConfig(report_tokens=False))
    >>> model.submit("a", prompt_tokens=100, output_tokens=3, prefix_hashes=(), now_ms=0)
    >>> [(event.kind.value, event.at_ms) for event in model.advance(1000)]
    [('first_token', 19), ('finished', 46)]
    """

    __slots__ = (
        "_cache",
        "_cache_changes",
        "_config",
        "_context_tokens",
        "_decoding",
        "_ends",
        "_events",
        "_now_ns",
        "_prefilling",
        "_reserved_tokens",
        "_slowdown_permille",
        "_step",
        "_step_end_ns",
        "_step_prefill",
        "_waiting",
        "cached_tokens",
        "prefilled_tokens",
    )

    def __init__(self, config):
        self._config = config
        self._cache = PrefixCache(config.cache_blocks)
        self._cache_changes = collections.deque(maxlen=_MAX_CACHE_CHANGES)
        self._waiting = {}
        self._prefilling = {}
        self._decoding = {}
        # (last step, request id) of decoding sequences; cancelled ones stay until met.
        self._ends = []
        self._events = []
        self._now_ns = 0
        self._step = 0
        self._step_end_ns = None
        self._step_prefill = ()
        self._context_tokens = 0
        self._reserved_tokens = 0
        self._slowdown_permille = _PERMILLE
        self.cached_tokens = 0
        self.prefilled_tokens = 0

    @classmethod
    def from_config(cls, config):
        """Return an idle engine with an empty prefix cache."""
        return cls(config)

    def submit(self, request_id, prompt_tokens, output_tokens, prefix_hashes, now_ms):
        """Queue a sequence; it joins the batch between two steps.

        Parameters
        ==========
        request_id : str
            Not in the engine already.
        prompt_tokens, output_tokens : int
        prefix_hashes : sequence of int
            Chained hashes of the prompt's whole leading blocks, shortest first.
        now_ms : int

        Raises
        ======
        ValueError
            When a sequence of that id is in the engine.
        """
        if self._find(request_id) is not None:
            raise ValueError(f"{request_id} is in the engine already")
        self._run_until(now_ms * _NS_PER_MS)
        sequence = _Sequence(request_id, prompt_tokens, output_tokens, prefix_hashes)
        self._waiting[request_id] = sequence
        if self._step_end_ns is None:
            self._begin_step()

    def cancel(self, request_id, now_ms):
        """Drop a sequence; return the tokens it had generated, or None if unknown."""
        self._run_until(now_ms * _NS_PER_MS)
        sequence = self._find(request_id)
        if sequence is None:
            return None
        if self._waiting.pop(request_id, None) is not None:
            return 0
        self._prefilling.pop(request_id, None)
        generated = sequence.generated(self._step - 1)
        if self._decoding.pop(request_id, None) is not None:
            self._context_tokens -= sequence.prompt_tokens + generated
        self._reserved_tokens -= sequence.reserved_tokens
        return generated

    def advance(self, now_ms):
        """Run the steps that end by ``now_ms``; return the events since last time.

        Returns
        =======
        list of EngineEvent
            In the order of time.
        """
        self._run_until(now_ms * _NS_PER_MS)
        events, self._events = self._events, []
        return events

    def next_event_ms(self):
        """Return when to call ``advance`` next, or None while idle.

        Never later than the next event (within the millisecond that it is rounded up
        to); there may be no event yet when the time comes.
        """
        if self._events:
            return self._events[0].at_ms
        if self._step_end_ns is None:
            return None
        end_ns = self._step_end_ns
        if not self._config.report_tokens and self._is_steady():
            end_ns += self._steps_ns(self._last_step() - self._step)
        return _ceil_ms(end_ns)

    def load(self):
        """Return the present load."""
        in_flight = len(self._prefilling) + len(self._decoding)
        return EngineLoad(in_flight, len(self._waiting), self._reserved_tokens)

    def set_slowdown(self, permille):
        """Stretch the steps that begin from now on; 1000 is full speed."""
        self._slowdown_permille = permille

    def take_cache_changes(self):
        """Return ``(stored, removed)`` tuples of block hashes since the last call."""
        changes = list(self._cache_changes)
        self._cache_changes.clear()
        return changes

    def _find(self, request_id):
        for place in (self._waiting, self._prefilling, self._decoding):
            if request_id in place:
                return place[request_id]
        return None

    def _run_until(self, until_ns):
        while self._step_end_ns is not None and self._step_end_ns <= until_ns:
            self._now_ns = self._step_end_ns
            self._end_step()
            self._begin_step()
        self._now_ns = max(self._now_ns, until_ns)

    def _begin_step(self):
        while self._can_admit():
            self._admit()
        if not self._prefilling and not self._decoding:
            self._step_end_ns = None
            return
        self._step_prefill = self._plan_prefill()
        tokens = sum(count for _, count in self._step_prefill)
        self._step_end_ns = self._now_ns + self._step_ns(tokens, 0)

    def _end_step(self):
        """Hand out the step's tokens."""
        if self._config.report_tokens:
            for sequence in self._decoding.values():
                self._report(EngineEventKind.TOKEN, sequence)
        self._context_tokens += len(self._decoding)
        for sequence, tokens in self._step_prefill:
            if sequence.request_id in self._prefilling:
                self._prefill(sequence, tokens)
        while self._ends and self._ends[0][0] <= self._step:
            self._finish(heapq.heappop(self._ends))
        self._step += 1

    def _can_admit(self):
        if not self._waiting:
            return False
        running = len(self._prefilling) + len(self._decoding)
        if running == 0:
            return True
        sequence = next(iter(self._waiting.values()))
        reserved = self._reserved_tokens + sequence.reserved_tokens
        fits = reserved <= self._config.max_context_tokens
        return fits and running < self._config.max_running

    def _admit(self):
        sequence = self._waiting.pop(next(iter(self._waiting)))
        blocks = self._cache.match(sequence.prefix_hashes)
        # The last prompt token is always computed: it yields the first output token.
        longest = sequence.prompt_tokens - 1
        sequence.cached_tokens = min(longest, blocks * self._config.block_tokens)
        sequence.prefilled_tokens = sequence.cached_tokens
        self.cached_tokens += sequence.cached_tokens
        self._reserved_tokens += sequence.reserved_tokens
        self._prefilling[sequence.request_id] = sequence

    def _plan_prefill(self):
        """Return ``(sequence, tokens)`` pairs for this step, first come first."""
        budget = self._config.prefill_chunk_tokens
        plan = []
        for sequence in self._prefilling.values():
            if budget == 0:
                break
            missing = sequence.prompt_tokens - sequence.prefilled_tokens
            tokens = min(budget, missing)
            plan.append((sequence, tokens))
            budget -= tokens
        return plan

    def _prefill(self, sequence, tokens):
        sequence.prefilled_tokens += tokens
        self.prefilled_tokens += tokens
        if sequence.prefilled_tokens < sequence.prompt_tokens:
            return
        del self._prefilling[sequence.request_id]
        stored, removed = self._cache.store(sequence.prefix_hashes)
        if stored or removed:
            self._cache_changes.append((stored, removed))
        sequence.first_step = self._step
        self._decoding[sequence.request_id] = sequence
        self._context_tokens += sequence.prompt_tokens + 1
        last_step = self._step + sequence.output_tokens - 1
        heapq.heappush(self._ends, (last_step, sequence.request_id))
        self._report(EngineEventKind.FIRST_TOKEN, sequence)

    def _finish(self, end):
        last_step, request_id = end
        sequence = self._decoding.get(request_id)
        # A cancelled sequence's entry; its id may have been submitted anew since.
        if sequence is None or sequence.generated(last_step) != sequence.output_tokens:
            return
        del self._decoding[request_id]
        self._context_tokens -= sequence.reserved_tokens
        self._reserved_tokens -= sequence.reserved_tokens
        self._report(EngineEventKind.FINISHED, sequence)

    def _report(self, kind, sequence):
        event = EngineEvent(
            kind,
            sequence.request_id,
            _ceil_ms(self._now_ns),
            sequence.generated(self._step),
            sequence.cached_tokens,
        )
        self._events.append(event)

    def _is_steady(self):
        """Whether the batch stays as it is until a sequence ends."""
        return not self._prefilling and self._decoding and not self._can_admit()

    def _last_step(self):
        return self._ends[0][0] if self._ends else self._step

    def _step_ns(self, prefill_tokens, steps_ahead):
        config = self._config
        decoding = len(self._decoding)
        context = self._context_tokens + steps_ahead * decoding
        step_ns = (
            config.base_step_us * _NS_PER_US
            + decoding * config.step_us_per_sequence * _NS_PER_US
            + context * config.step_ns_per_context_token
            + prefill_tokens * config.prefill_us_per_token * _NS_PER_US
        )
        return step_ns * self._slowdown_permille // _PERMILLE

    def _steps_ns(self, count):
        """Return the time of the next ``count`` steps of an unchanged batch."""
        if count <= 0:
            return 0
        first_ns = self._step_ns(0, 1)
        last_ns = self._step_ns(0, count)
        return (first_ns + last_ns) * count // 2


def _ceil_ms(time_ns):
    return -(-time_ns // _NS_PER_MS)
