"""Run a crowd: ``python -m hemlockhoist.standins.crowds IP:PORT NAME COUNT SECONDS``.

A process of its own, so that what it sends does not hold up the checks of a test.
"""

import asyncio
import sys

import uvloop

from hemlockhoist.standins.crowds.sent import Sent

RECONNECT_DELAY_S = 0.05


class CrowdClient(asyncio.Protocol):
    """One connection, which sends as fast as it can and reads no answers.

    Parameters
    ==========
    sent : hemlockhoist.standins.crowds.sent.Bytes
    lost : asyncio.Future
        Gets a result when the connection has ended.
    """

    def __init__(self, sent, lost):
        self._sent = sent
        self._lost = lost
        self._transport = None
        self._is_paused = False

    def connection_made(self, transport):
        """Send what comes first, and go on."""
        self._transport = transport
        transport.pause_reading()
        if self._sent.begin:
            transport.write(self._sent.begin)
        self._send()

    def stop(self):
        """Send nothing more."""
        self._transport = None

    def connection_lost(self, exc):
        """Report the end of the connection."""
        self._transport = None
        if not self._lost.done():
            self._lost.set_result(None)

    def pause_writing(self):
        """Wait until the other side has read."""
        self._is_paused = True

    def resume_writing(self):
        """Go on."""
        self._is_paused = False
        self._send()

    def _send(self):
        if self._transport is None or self._transport.is_closing():
            return
        if self._is_paused or not self._sent.part:
            return
        self._transport.write(self._sent.part)
        asyncio.get_running_loop().call_soon(self._send)


async def stay_connected(address, sent):
    """Keep one connection open, and open another one whenever it is closed."""
    ip, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    while True:
        lost = loop.create_future()
        try:
            transport, client = await loop.create_connection(
                lambda lost=lost: CrowdClient(sent, lost), ip, int(port)
            )
        except OSError:
            await asyncio.sleep(RECONNECT_DELAY_S)
            continue
        try:
            await lost
        finally:
            client.stop()
            transport.abort()
        await asyncio.sleep(RECONNECT_DELAY_S)


async def run(address, sent, count, seconds):
    """Run a crowd for some time."""
    tasks = [asyncio.create_task(stay_connected(address, sent)) for _ in range(count)]
    print("connecting", flush=True)
    await asyncio.sleep(seconds)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


def main():
    """Run the crowd that the command line names."""
    _, address, name, count, seconds = sys.argv
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(run(address, Sent[name].value, int(count), float(seconds)))


if __name__ == "__main__":
    main()
