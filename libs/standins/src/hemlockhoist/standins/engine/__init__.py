"""Simulated model engine with an HTTP API, resumable streams and fault injection."""

from hemlockhoist.standins.answers import (
    answer_pieces,
    block_hashes,
    count_tokens,
    expected_answer,
    prompt_text,
)
from hemlockhoist.standins.engine.app import EngineStandin
from hemlockhoist.standins.engine.faults import EngineFaults

__all__ = [
    "EngineFaults",
    "EngineStandin",
    "answer_pieces",
    "block_hashes",
    "count_tokens",
    "expected_answer",
    "prompt_text",
]
