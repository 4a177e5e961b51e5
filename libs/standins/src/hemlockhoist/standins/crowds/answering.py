"""Answer without end: ``python -m hemlockhoist.standins.crowds.answering NAME``.

A process of its own, so that what it sends does not hold up the checks of a test. It
prints its address. With the address of a store and the path of a file, it passes calls
on to the store for as long as that file does not exist.
"""

import asyncio
import contextlib
import pathlib
import re
import sys

import uvloop

from hemlockhoist.standins.crowds.answered import STATUS, Answered, bytes_of

_ATTEMPT = re.compile(rb"attempt-id: [^\r]*\r\n", re.IGNORECASE)
_READ_BYTES = 65_536
_CHECK_INTERVAL_S = 0.05
_ENDED = (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError)


class Answering:
    """Serves connections.

    Parameters
    ==========
    kind : Answered
    store : str, optional
        ``IP:port``.
    flag : str, optional
        Path of the file that ends the passing on.
    """

    def __init__(self, kind, store="", flag=""):
        self._sent = bytes_of(kind)
        self._store = store
        self._flag = pathlib.Path(flag)

    async def serve(self, reader, writer):
        """Serve one connection until it ends."""
        with contextlib.suppress(*_ENDED):
            if self._store and not self._flag.exists():
                await self._pass_on(reader, writer)
            else:
                await self._answer(reader, writer)
        writer.transport.abort()

    async def _answer(self, reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        begin, part = (
            _signed(data, head) for data in (self._sent.begin, self._sent.part)
        )
        writer.write(begin)
        while True:
            writer.write(part)
            await writer.drain()
            await asyncio.sleep(0)

    async def _pass_on(self, reader, writer):
        ip, _, port = self._store.rpartition(":")
        store_reader, store_writer = await asyncio.open_connection(ip, int(port))
        tasks = [
            asyncio.create_task(_copy(reader, store_writer)),
            asyncio.create_task(_copy(store_reader, writer)),
        ]
        while not self._flag.exists() and not any(task.done() for task in tasks):
            await asyncio.wait(tasks, timeout=_CHECK_INTERVAL_S)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        store_writer.transport.abort()


def _signed(data, head):
    """Return an answer with the fields that belong to the head of a request."""
    attempt = _ATTEMPT.search(head)
    fields = b"Response-Signature: receipt\r\n" + (attempt[0] if attempt else b"")
    return data.replace(STATUS, STATUS + fields)


async def _copy(reader, writer):
    while data := await reader.read(_READ_BYTES):
        writer.write(data)
        await writer.drain()


async def run(name, *store):
    """Listen until the process is ended."""
    answering = Answering(Answered[name], *store)
    server = await asyncio.start_server(answering.serve, "127.0.0.1", 0)
    ip, port = server.sockets[0].getsockname()
    print(f"{ip}:{port}", flush=True)
    await server.serve_forever()


if __name__ == "__main__":
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(run(*sys.argv[1:]))
