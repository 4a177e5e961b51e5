"""Speeds and limits of model engines for four hardware generations."""

import msgspec


class EngineConfig(msgspec.Struct, frozen=True, kw_only=True):
    """Speeds and limits of one engine.

    Parameters
    ==========
    generation : str
        Name of the hardware generation, for display.
    max_running : int
        Maximum number of sequences in a batch.
    max_context_tokens : int
        Size of the KV cache for running sequences, prompt and output together.
    prefill_chunk_tokens : int
        Maximum number of prompt tokens in one step.
    base_step_us, step_us_per_sequence, step_ns_per_context_token : int
        Components of the duration of a decode step.
    prefill_us_per_token : int
        Added to the step for each prompt token that is not in the prefix cache.
    cache_blocks, block_tokens : int
        Size of the prefix cache in blocks, and of a block in tokens.
    report_tokens : bool
        Whether ``advance`` reports each token. If false, it reports only the first
        token and the end, and its cost per step does not depend on the batch size.
    """

    generation: str = "g3"
    max_running: int = 32
    max_context_tokens: int = 200_000
    prefill_chunk_tokens: int = 512
    base_step_us: int = 13_000
    step_us_per_sequence: int = 200
    step_ns_per_context_token: int = 60
    prefill_us_per_token: int = 60
    cache_blocks: int = 2_048
    block_tokens: int = 64
    report_tokens: bool = True


# Each generation is about one and a half times as fast as the previous one.
GENERATIONS = {
    "g1": EngineConfig(
        generation="g1",
        max_running=16,
        prefill_chunk_tokens=128,
        base_step_us=30_000,
        step_us_per_sequence=500,
        step_ns_per_context_token=150,
        prefill_us_per_token=250,
        cache_blocks=512,
    ),
    "g2": EngineConfig(
        generation="g2",
        max_running=24,
        prefill_chunk_tokens=256,
        base_step_us=20_000,
        step_us_per_sequence=350,
        step_ns_per_context_token=100,
        prefill_us_per_token=120,
        cache_blocks=1_024,
    ),
    "g3": EngineConfig(),
    "g4": EngineConfig(
        generation="g4",
        max_running=48,
        prefill_chunk_tokens=1_024,
        base_step_us=8_000,
        step_us_per_sequence=120,
        step_ns_per_context_token=40,
        prefill_us_per_token=30,
        cache_blocks=4_096,
    ),
}
