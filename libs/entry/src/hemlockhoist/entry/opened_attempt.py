"""An attempt together with the upstream's response to it."""

import contextlib


class OpenedAttempt:
    """One attempt, and its response, which stays open until the attempt is closed.

    Parameters
    ==========
    attempt : Attempt

    Attributes
    ==========
    attempt : Attempt
    response : UpstreamResponse
        None before the upstream has begun to answer.
    head : ResponseHead
        None likewise.
    end : AttemptEnd
        How the attempt ended without a usable answer; None if it has not.
    body : bytes
        The whole body of the response; None as long as it has not been read.
    read_ahead : ReadAhead
        The body of a stream of which a part has been read; None for others.
    """

    __slots__ = (
        "_stack",
        "attempt",
        "body",
        "end",
        "head",
        "read_ahead",
        "response",
    )

    def __init__(self, attempt):
        self._stack = contextlib.AsyncExitStack()
        self.attempt = attempt
        self.end = None
        self.head = None
        self.response = None
        self.body = None
        self.read_ahead = None

    async def open(self, dispatch):
        """Send the request and wait for the head of its response.

        Parameters
        ==========
        dispatch : async context manager
            Yields an ``UpstreamResponse``.
        """
        self.response = await self._stack.enter_async_context(dispatch)

    async def close(self):
        """Close the response, if there is one."""
        await self._stack.aclose()

    async def __aenter__(self):
        return self

    async def __aexit__(self, *exc_info):
        await self.close()
