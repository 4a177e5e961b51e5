"""Parses chat completion requests and estimates their cost."""

import json

import msgspec
import xxhash

from hemlockhoist.base import BadRequest

# Approximate bytes per token in the languages of present callers. The estimate only
# ranks requests against each other; the engine reports its own count with the answer.
BYTES_PER_TOKEN = 4
# Engines cache prompt prefixes in blocks of tokens. Hashes of the first blocks are
# enough to distinguish shared system prompts and ongoing conversations.
BLOCK_TOKENS = 64
MAX_PREFIX_BLOCKS = 32
MAX_TOKENS_LIMIT = 1_000_000
# Blocks of a message by which parts of prompts that crash engines are recognised: a
# document is found again at the begin of a message, whatever is asked about it.
PART_BYTES = 1_024


class ChatMessage(msgspec.Struct, frozen=True):
    """One message of a conversation; content parts are not interpreted."""

    role: str
    content: str | list | None = None


class ChatRequest(msgspec.Struct, frozen=True):
    """The fields of a chat completion request that scheduling depends on.

    All other fields are forwarded to the engine unchanged.
    """

    model: str
    messages: list[ChatMessage]
    stream: bool = False
    max_tokens: int | None = None
    max_completion_tokens: int | None = None

    def prompt_bytes(self):
        """Return the prompt as bytes, the input of ``prefix_hashes``."""
        lines = [f"{item.role}:{_content_text(item.content)}" for item in self.messages]
        return "\n".join(lines).encode()

    def part_names(self):
        """Return the blocks of each message, whatever stands before the message."""
        names = []
        for item in self.messages:
            text = f"{item.role}:{_content_text(item.content)}"
            starts = range(0, len(text), PART_BYTES)
            names += [text[start : start + PART_BYTES] for start in starts]
        return names

    def output_tokens(self, default):
        """Return the limit on output tokens, ``default`` if the request sets none."""
        limit = self.max_completion_tokens or self.max_tokens
        return default if limit is None else limit


def _content_text(content):
    return content if isinstance(content, str) else json.dumps(content)


_decoder = msgspec.json.Decoder(ChatRequest)


def parse_chat(body):
    """Parse the JSON body of a chat completion request.

    Parameters
    ==========
    body : bytes

    Raises
    ======
    BadRequest
        With the name of the invalid field.

    Examples
    ========
    >>> from hemlockhoist.host.completions import parse_chat
    >>> parse_chat(b'{"model": "m", "messages": []}')
    Traceback (most recent call last):
    ...
    hemlockhoist.base.errors.BadRequest: messages: at least one is required
    """
    try:
        chat = _decoder.decode(body)
    except (msgspec.MsgspecError, UnicodeError, RecursionError) as error:
        raise BadRequest(str(error)) from error
    if not chat.messages:
        raise BadRequest("messages: at least one is required")
    for name in ("max_tokens", "max_completion_tokens"):
        value = getattr(chat, name)
        if value is not None and not 0 < value <= MAX_TOKENS_LIMIT:
            raise BadRequest(f"{name}: must be from 1 to {MAX_TOKENS_LIMIT}")
    return chat


def prompt_tokens(prompt):
    """Return the estimated number of tokens of a prompt."""
    return max(1, len(prompt) // BYTES_PER_TOKEN)


def prefix_hashes(prompt):
    """Return the chained hashes of a prompt's leading blocks, shortest prefix first.

    Parameters
    ==========
    prompt : bytes

    Returns
    =======
    tuple of int
    """
    size = BLOCK_TOKENS * BYTES_PER_TOKEN
    digest = xxhash.xxh64()
    hashes = []
    for start in range(0, min(len(prompt) // size, MAX_PREFIX_BLOCKS) * size, size):
        digest.update(prompt[start : start + size])
        hashes.append(digest.intdigest())
    return tuple(hashes)
