"""Generates the answers of the model engine's stand-in and counts prompt tokens.

An answer depends only on the prompt and ``max_tokens``, so that a test can check
whether a caller received the complete answer to its own request.
"""

import xxhash

_BYTES_PER_TOKEN = 4
_PIECE_DIGITS = 6


def prompt_text(messages):
    """Return the prompt text of a list of chat messages.

    Parameters
    ==========
    messages : sequence of dict
        Each has ``role`` and ``content``.
    """
    return "\n".join(f"{item['role']}: {item['content']}" for item in messages)


def count_tokens(text):
    """Return the number of tokens of a text, as the stand-in counts them."""
    return len(text.encode()) // _BYTES_PER_TOKEN + 1


def block_hashes(text, block_tokens=64):
    """Return the chained hashes of a prompt's complete blocks.

    Each hash is the XXH64 of the block's bytes, seeded with the previous hash.

    Parameters
    ==========
    text : str
    block_tokens : int

    Returns
    =======
    tuple of int
        Hashes of ever longer prefixes; a last, partial block has none.
    """
    body = text.encode()
    size = block_tokens * _BYTES_PER_TOKEN
    hashes = []
    previous = 0
    for start in range(0, len(body) - size + 1, size):
        previous = xxhash.xxh64_intdigest(body[start : start + size], seed=previous)
        hashes.append(previous)
    return tuple(hashes)


def answer_pieces(prompt, max_tokens):
    """Return the pieces of the answer, one per token.

    Parameters
    ==========
    prompt : str
        As returned by ``prompt_text``.
    max_tokens : int
    """
    seed = xxhash.xxh64_intdigest(prompt.encode())
    return tuple(_piece(index, max_tokens, seed) for index in range(max_tokens))


def _piece(index, max_tokens, seed):
    digest = xxhash.xxh64_hexdigest(f"{index}/{max_tokens}".encode(), seed=seed)
    return digest[:_PIECE_DIGITS] + " "


def expected_answer(prompt, max_tokens):
    """Return the complete answer to a prompt.

    Examples
    ========
    >>> from hemlockhoist.standins.answers import expected_answer, prompt_text
    >>> prompt = prompt_text([{"role": "user", "content": "Is hall 3 free?"}])
    >>> len(expected_answer(prompt, 5).split())
    5
    """
    return "".join(answer_pieces(prompt, max_tokens))
