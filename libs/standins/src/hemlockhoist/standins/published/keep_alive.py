"""How a stand-in replica treats connections that stay open after an answer."""

import asyncio

LATE_ANSWER = (
    b"HTTP/1.1 200 OK\r\nAttempt-Id: earlier\r\nResponse-Signature: receipt\r\n"
    b"Content-Length: 5\r\n\r\nlater"
)


class KeepAlive:
    """Settings of kept-alive connections, of which each test sets some.

    Parameters
    ==========
    announced_s : int
        The idle time that answers announce.

    Attributes
    ==========
    closes_after_s : float
        After how long an idle connection is closed; by default as announced.
    closes_on_request : bool
        Whether a connection is closed as a further request arrives on it, unread.
    late_answer_after_s : float or None
        After how long on an idle connection an answer follows that nobody asked for.
    answers_late : bool
        Whether this answer comes as a further request arrives, before its own answer.
    """

    def __init__(self, announced_s):
        self.announced_s = announced_s
        self.closes_after_s = announced_s
        self.closes_on_request = False
        self.late_answer_after_s = None
        self.answers_late = False

    @property
    def header(self):
        """The header line that announces the idle time."""
        return f"Keep-Alive: timeout={self.announced_s}\r\n"

    async def wait_for_request(self, reader, writer):
        """Wait on an idle connection; return the begin of a further request, or b""."""
        if self.late_answer_after_s is not None:
            await asyncio.sleep(self.late_answer_after_s)
            writer.write(LATE_ANSWER)
        try:
            async with asyncio.timeout(self.closes_after_s):
                begun = await reader.read(1)
        except TimeoutError:
            return b""
        if self.answers_late:
            writer.write(LATE_ANSWER)
        return b"" if self.closes_on_request else begun
