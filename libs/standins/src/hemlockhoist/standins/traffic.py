"""Generates mixed traffic of several callers: chats, lookups and bookings."""

import asyncio
import random

from hemlockhoist.standins.callers import Caller, CallerConfig

_MS_PER_S = 1000
_CHAT_SHARE = 0.6
_UNSTREAMED_SHARE = 0.15
_LOOKUP_SHARE = 0.2
_LONG_PROMPT_SHARE = 0.1
_SHORT_PROMPT_WORDS = 20
_LONG_PROMPT_WORDS = 1_500
_MAX_TOKENS = (8, 60)
_THINK_TIME_MS = (20, 200)
# One in this many prompts begins with the text that crashes engines, if there is one.
_GUILTY_EVERY = 9
_SYSTEM_PROMPT = "You answer questions about halls and labels. " * 12


# Customer, caller key, tier and first-token target in milliseconds, as declared in the
# example declarations.
EXAMPLE_CALLERS = (
    ("northern-university", "demo-key-large", "interactive", 310),
    ("northern-university", "demo-key-large", "standard", 1_000),
    ("town-college", "demo-key-small", "standard", 1_000),
)


def example_callers(addresses):
    """Return a ``CallerConfig`` for each caller of the example declarations.

    Parameters
    ==========
    addresses : tuple of str
        Hosts to contact first.
    """
    return [
        CallerConfig(
            seeds=addresses,
            key=key,
            customer=customer,
            tier=tier,
            first_token_target_ms=target_ms,
            seed=number,
        )
        for number, (customer, key, tier, target_ms) in enumerate(EXAMPLE_CALLERS)
    ]


class Traffic:
    """Sends requests with several concurrent workers per caller until stopped.

    Parameters
    ==========
    callers : sequence of Caller
    model, service : str
    workers : int
        Number per caller.
    rng : random.Random

    Attributes
    ==========
    guilty_text : str
        Text that some of the prompts begin with, as it crashes engines; empty for none.
    repeats_guilty : bool
        Whether such a chat is always the same one, sent again.
    """

    __slots__ = (
        "_callers",
        "_chat_count",
        "_model",
        "_rng",
        "_service",
        "_stopped",
        "_tasks",
        "_workers",
        "guilty_text",
        "repeats_guilty",
    )

    def __init__(self, callers, model, service, workers, rng):
        self._callers = callers
        self._model = model
        self._service = service
        self._workers = workers
        self._rng = rng
        self._stopped = False
        self._tasks = []
        self._chat_count = 0
        self.guilty_text = ""
        self.repeats_guilty = False

    @classmethod
    def from_config(cls, configs, model, service, workers=4, seed=1):
        """Return traffic that has not been started; needs a running event loop.

        Parameters
        ==========
        configs : sequence of CallerConfig
        """
        callers = [Caller.from_config(config) for config in configs]
        return cls(callers, model, service, workers, random.Random(seed))

    @property
    def records(self):
        """The records of all callers."""
        return [record for caller in self._callers for record in caller.records]

    async def start(self):
        """Start the callers and their workers."""
        for caller in self._callers:
            await caller.start()
            self._tasks += [
                asyncio.create_task(self._run_worker(caller))
                for _ in range(self._workers)
            ]

    async def finish(self):
        """Send no new requests, and wait until those in progress have ended."""
        self._stopped = True
        await asyncio.gather(*self._tasks)

    async def close(self):
        """Cancel the workers and close the callers."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for caller in self._callers:
            await caller.close()

    async def _run_worker(self, caller):
        while not self._stopped:
            await self._send_request(caller)
            await asyncio.sleep(self._rng.randint(*_THINK_TIME_MS) / _MS_PER_S)

    async def _send_request(self, caller):
        draw = self._rng.random()
        if draw < _CHAT_SHARE:
            stream = self._rng.random() >= _UNSTREAMED_SHARE
            max_tokens, prompt = self._rng.randint(*_MAX_TOKENS), self._prompt()
            if self.repeats_guilty and prompt == self.guilty_text:
                max_tokens = _MAX_TOKENS[0]
            await caller.chat(self._model, prompt, max_tokens, stream)
        elif draw < _CHAT_SHARE + _LOOKUP_SHARE:
            hall = self._rng.randint(1, 20)
            await caller.lookup(self._service, f"/availability?hall={hall}")
        else:
            body = f'{{"hall": {self._rng.randint(1, 20)}}}'.encode()
            await caller.book(self._service, "/bookings", body)

    def _prompt(self):
        words = _SHORT_PROMPT_WORDS
        if self._rng.random() < _LONG_PROMPT_SHARE:
            words = _LONG_PROMPT_WORDS
        own = " ".join(f"{self._rng.getrandbits(16):04x}" for _ in range(words))
        self._chat_count += 1
        if self.guilty_text and self._chat_count % _GUILTY_EVERY == 0:
            return self.guilty_text + ("" if self.repeats_guilty else own)
        return _SYSTEM_PROMPT + own
