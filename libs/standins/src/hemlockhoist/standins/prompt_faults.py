"""Prompts that crash the engines which answer them, in the soak of processes."""

import asyncio
import contextlib

from hemlockhoist.standins.link_faults import MODEL

# As long as a block by which hosts recognise a part of a prompt, and longer.
DOCUMENT_BYTES = 1_200
DOWN_MS = (1_500, 3_000)
PAUSE_S = (1.0, 3.0)
SPAN_S = (6.0, 9.0)
# Five crashes, after which the part has to be known, and three more. For a chat that
# is sent again by several callers, copies that are on their way as it first crashes one.
ALLOWED_CRASHES = 8
# Fraction of the texts that are one chat, sent again.
REPEATED_SHARE = 0.5
MAX_PIECES = 3


class PromptFaults:
    """Lets all engines crash on one text of prompts after the other.

    Parameters
    ==========
    faults : ProcessFaults
        Keeps the text in force beside its own faults.
    traffic : Traffic
        Sends prompts with the text.
    rng : random.Random
        Of these faults only, so that they change no other draw.

    Attributes
    ==========
    span_count : int
        Number of texts so far.
    """

    __slots__ = ("_faults", "_rng", "_task", "_traffic", "span_count")

    def __init__(self, faults, traffic, rng):
        self._faults = faults
        self._traffic = traffic
        self._rng = rng
        self._task = None
        self.span_count = 0

    async def start(self):
        """Begin to crash engines."""
        self._task = asyncio.create_task(self._repeat())

    async def close(self):
        """Send no more prompts that crash engines; they still would."""
        self._task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self._task
        self._traffic.guilty_text = ""

    async def _repeat(self):
        while True:
            await asyncio.sleep(self._rng.uniform(*PAUSE_S))
            self.span_count += 1
            text = f"guilty document {self.span_count} ".ljust(DOCUMENT_BYTES, "x")
            crash = {"crash_text": text, "crash_down_ms": self._rng.randint(*DOWN_MS)}
            self._traffic.repeats_guilty = self._rng.random() < REPEATED_SHARE
            if self._traffic.repeats_guilty:
                crash["crash_after_pieces"] = self._rng.randint(0, MAX_PIECES)
            await self._faults.set_lasting_faults(MODEL, crash)
            self._traffic.guilty_text = text
            await asyncio.sleep(self._rng.uniform(*SPAN_S))
            self._traffic.guilty_text = ""


def find_crash_findings(reports, span_count):
    """Return a finding if engines crashed more often than is allowed.

    Parameters
    ==========
    reports : iterable of dict
        As returned by ``GET /-/runs``.
    span_count : int

    Returns
    =======
    list of str
    """
    count = sum(report.get("crashes", 0) for report in reports)
    if count <= ALLOWED_CRASHES * span_count:
        return []
    return [f"engines crashed {count} times on {span_count} texts of prompts"]
