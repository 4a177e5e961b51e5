"""End-to-end tests of second answers within bodies that another host has passed on."""

import asyncio
import unittest
from unittest import mock

from hemlockhoist.relays import RelayServer
from hemlockhoist.standins.published.raw import RawReplica, call_raw
from hemlockhoist.standins.published.tests.test_relays import CutSite
from hemlockhoist.standins.published.tests.test_second_plain_answers import (
    BEHIND,
    BODY,
    FOREIGN,
    KINDS,
    LENGTH,
    MIDDLE,
    UNFRAMED,
    second_answer,
)

LOOKUP, BOOKING = ("/check-free/1", "GET"), ("/book-hall/1", "POST")
PLACES = ((0, UNFRAMED), (MIDDLE, UNFRAMED), (BEHIND, UNFRAMED), (MIDDLE, LENGTH))


class Faults:
    """What the replicas of a test send.

    Parameters
    ==========
    kind : str
        One of ``KINDS``.
    at_byte : int
    framing : str
        Header lines of the first answer.

    Attributes
    ==========
    count : int
        How many further answers are followed by a second one.
    """

    __slots__ = ("at_byte", "count", "framing", "kind")

    def __init__(self, kind, at_byte, framing):
        self.kind = kind
        self.at_byte = at_byte
        self.framing = framing
        self.count = 0


class Sender(RawReplica):
    """A replica that sends as many second answers as its faults say."""

    def __init__(self, replica_id, faults):
        super().__init__(replica_id, self.answer)
        self.faults = faults

    async def answer(self, received, writer):
        def head(lines):
            return self.head(received, framing=lines)

        faults = self.faults
        if "learn" in received.target or not faults.count:
            writer.write(head(LENGTH) + BODY)
        else:
            faults.count -= 1
            begin, end = BODY[: faults.at_byte], BODY[faults.at_byte :]
            second = second_answer(faults.kind, head)
            for data in (head(faults.framing) + begin, second, end):
                writer.write(data)
                await writer.drain()
                await asyncio.sleep(0.005)
        await writer.drain()


class RelayedSecondAnswerTests(unittest.IsolatedAsyncioTestCase):
    async def call(self, cut, path, method):
        """Send a request to the host without links."""
        answer = await call_raw(cut.site, path, method=method)
        links = cut.site.hosts[0].context.upstreams.links
        self.assertTrue(links.is_pool_lost("reservas"))
        return answer

    async def check(self, faults):
        replicas = {
            name: [Sender(f"{name}-{n}", faults) for n in range(2)]
            for name in ("reservas", "asistente")
        }
        async with CutSite(hosts=2, replicas=replicas) as cut:
            await cut.cut()
            faults.count = 1
            answer = await self.call(cut, *LOOKUP)
            self.assertEqual((answer.status, answer.body), (200, BODY))
            faults.count = 1
            answer = await self.call(cut, *BOOKING)
            self.assertEqual(answer.status, 502)
            self.assertIsNone(answer.header("Not-Executed"))
            self.assertNotIn(FOREIGN, answer.body)
            self.assertEqual(len(cut.ran(BOOKING[0])), 1)

    async def check_all(self):
        # A site each, as one limits its retries.
        for kind in KINDS:
            for at_byte, framing in PLACES:
                with self.subTest(kind=kind, at_byte=at_byte, framing=framing):
                    await self.check(Faults(kind, at_byte, framing))

    async def test_second_answer_is_found_over_a_relay(self):
        """Guards against two answers that a caller gets as one over another host."""
        await self.check_all()

    async def test_second_answer_is_found_that_the_relaying_host_passed_on(self):
        """Guards against a relaying host of a release that does not look for one."""
        with mock.patch.object(RelayServer, "_pass_on", _pass_on_unchecked):
            await self.check_all()


class _Unchecked:
    """An upstream's response, read without a look at its bytes."""

    def __init__(self, response):
        self._response = response

    def __getattr__(self, name):
        return getattr(self._response, name)

    async def chunks(self):
        while data := await self._response._response.content.readany():
            yield data


_pass_on = RelayServer._pass_on


async def _pass_on_unchecked(server, offer, answer, response):
    await _pass_on(server, offer, answer, _Unchecked(response))
