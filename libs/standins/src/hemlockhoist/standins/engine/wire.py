"""Bodies of the chat completion protocol, streaming and non-streaming."""

import msgspec

DONE = b"data: [DONE]\n\n"
_encode = msgspec.json.encode


def usage(stream):
    """Return the token usage of a response."""
    return {
        "prompt_tokens": stream.prompt_tokens,
        "completion_tokens": stream.produced,
        "total_tokens": stream.prompt_tokens + stream.produced,
        "prompt_tokens_details": {"cached_tokens": stream.cached_tokens},
    }


def piece_event(stream, offset):
    """Return the server-sent event of one piece, with its offset as the event id."""
    return _event(stream, offset, {"content": stream.pieces[offset]}, None)


def end_events(stream):
    """Return the final events of a response: finish reason with usage, ``[DONE]``."""
    last = _event(stream, len(stream.pieces), {}, "stop", usage=usage(stream))
    return [last, DONE]


def completion(stream):
    """Return the body of a non-streaming response."""
    message = {"role": "assistant", "content": "".join(stream.pieces)}
    choice = {"index": 0, "message": message, "finish_reason": "stop"}
    return {
        "id": stream.request_id,
        "object": "chat.completion",
        "model": stream.model,
        "choices": [choice],
        "usage": usage(stream),
    }


def _event(stream, offset, delta, finish_reason, **more):
    choice = {"index": 0, "delta": delta, "finish_reason": finish_reason}
    chunk = {
        "id": stream.request_id,
        "object": "chat.completion.chunk",
        "model": stream.model,
        "choices": [choice],
        **more,
    }
    return b"id: %d\ndata: %s\n\n" % (offset, _encode(chunk))
