import asyncio
import contextlib
import doctest
import itertools
import socket
import types
import unittest
import unittest.mock

import msgspec

from hemlockhoist.base import Clock, PeerError
from hemlockhoist.messages import (
    Codec,
    Envelope,
    GrantCancel,
    PlacementQuery,
    RequestBrief,
    StoreNews,
)
from hemlockhoist.peers import Inbox, PeerBus, frames, inbox
from hemlockhoist.peers.connection import Connection
from hemlockhoist.peers.frames import encode_frame
from hemlockhoist.peers.link import INITIAL_CONNECT_TIMEOUT_MS, PeerLink

WAIT_S = 5


def _message(number):
    return GrantCancel(pool="chat", request_id=str(number))


def _envelope(sequence, sent_ms=0, receiver="b", incarnation="1"):
    return Envelope(
        sender="a",
        incarnation=incarnation,
        receiver=receiver,
        sequence=sequence,
        sent_ms=sent_ms,
        messages=[],
    )


def _earlier_decoder():
    """Return the decoder of a host that only knows the type of ``_message``."""
    fields = [
        ("sender", bytes),
        ("incarnation", bytes),
        ("sequence", int),
        ("sent_ms", int),
        ("messages", list[GrantCancel]),
        ("news", StoreNews | None, None),
    ]
    kind = msgspec.defstruct("EarlierEnvelope", fields, array_like=True)
    return msgspec.msgpack.Decoder(kind)


class InboxTests(unittest.TestCase):
    def test_envelope_that_arrives_late_is_accepted_once(self):
        """Guards against messages lost as they were sent on the previous connection."""
        box = Inbox("b")
        for sequence in (1, 4, 3, 2):
            box.accept(_envelope(sequence), 10)
        for sequence in (1, 2, 3, 4):
            with self.subTest(sequence=sequence), self.assertRaises(PeerError):
                box.accept(_envelope(sequence), 10)

    def test_envelope_is_accepted_once(self):
        """The second delivery of the same envelope is rejected."""
        box = Inbox("b")
        box.accept(_envelope(1), 10)
        with self.assertRaises(PeerError):
            box.accept(_envelope(1), 11)

    def test_delayed_frame_of_a_past_incarnation_is_rejected(self):
        """Guards against accepting frames again after a host restarted.

        If a frame of the host's previous process were treated as a new incarnation,
        each switch between the two would reset the sequence numbers, and all their
        frames would be accepted again.
        """
        box = Inbox("b")
        box.accept(_envelope(1, incarnation="1"), 10)
        box.accept(_envelope(1, incarnation="2"), 20)
        with self.assertRaises(PeerError):
            box.accept(_envelope(2, incarnation="1"), 30)
        box.accept(_envelope(2, incarnation="2"), 40)

    def test_envelope_for_another_host_is_rejected(self):
        """A frame captured on one link cannot be replayed on another."""
        with self.assertRaises(PeerError):
            Inbox("b").accept(_envelope(1, receiver="c"), 10)

    def test_suspended_receiver_measures_the_delay_of_what_it_reads(self):
        """Guards against a dispatch under a grant that expired during a suspension.

        The receiver was suspended for 4 s while a grant waited in its socket buffer.
        When it resumes, the grant seems to have just arrived.
        """
        box = Inbox("b")
        box.accept(_envelope(1, sent_ms=1000), 501_000)
        self.assertEqual(box.accept(_envelope(2, sent_ms=1100), 505_100), 4000)

    def test_docstring_examples_run(self):
        """The examples in the docstrings produce the output shown."""
        for module in (frames, inbox):
            self.assertEqual(doctest.testmod(module).failed, 0)


class BusTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.received = asyncio.Queue()
        self.clock = Clock.from_running_loop()
        self.a = self._bus(b"k")
        self.b = self._bus(b"k")
        await self.a.start()
        await self.b.start()

    async def asyncTearDown(self):
        await self.a.close()
        await self.b.close()

    def _bus(self, key):
        return PeerBus("1", "127.0.0.1:0", None, key, self.clock, self._take)

    def _take(self, sender, message, late_ms):
        self.received.put_nowait((sender, message))

    async def test_messages_arrive_in_order(self):
        """Messages of one sender arrive once each, in the order of sending."""
        for number in range(600):
            self.a.send(self.b.address, _message(number))
        for number in range(600):
            sender, message = await asyncio.wait_for(self.received.get(), WAIT_S)
            self.assertEqual((sender, message), (self.a.address, _message(number)))

    async def test_messages_carry_what_their_sender_knows_of_the_store(self):
        """Guards against hosts that never hear that their routes are old."""
        known, heard = StoreNews(changed_version=7, read_ms=100), asyncio.Queue()
        stopped = types.SimpleNamespace(now_ms=lambda: 5_000)
        teller = PeerBus(
            "1", "127.0.0.1:0", None, b"k", stopped, self._take, news=lambda: known
        )
        await teller.start()
        self.addAsyncCleanup(teller.close)
        self.b._on_news = lambda sender, news: heard.put_nowait((sender, news))
        for number in range(3):
            teller.send(self.b.address, _message(number))
            await asyncio.wait_for(self.received.get(), WAIT_S)
        self.assertEqual(heard.get_nowait(), (teller.address, known))
        # Told once, and again as soon as there is a newer change.
        self.assertTrue(heard.empty())
        known = StoreNews(changed_version=8, read_ms=200)
        teller.send(self.b.address, _message(4))
        await asyncio.wait_for(self.received.get(), WAIT_S)
        self.assertEqual(heard.get_nowait(), (teller.address, known))

    async def test_peer_of_an_earlier_release_loses_only_the_unknown_message(self):
        """Guards against an operator's query that costs callers their requests.

        Hosts of the release before reject a frame with a placement query as a whole,
        with up to 255 other messages and the news of the store.
        """
        known, heard = StoreNews(changed_version=7, read_ms=100), []
        sender = PeerBus(
            "1", "127.0.0.1:0", None, b"k", self.clock, self._take, news=lambda: known
        )
        await sender.start()
        self.addAsyncCleanup(sender.close)
        self.b._codec._decoder = _earlier_decoder()
        self.b._on_news = lambda host, news: heard.append(news)
        brief = RequestBrief(
            request_id="q",
            route="r",
            customer="c",
            tier_rank=0,
            deadline_in_ms=1,
            first_token_in_ms=1,
        )
        query = PlacementQuery(pool="chat", query_id="q", brief=brief)
        sender.send(self.b.address, query)
        for number in range(3):
            sender.send(self.b.address, _message(number))
            sender.send(self.b.address, query)
        for number in range(3):
            _, message = await asyncio.wait_for(self.received.get(), WAIT_S)
            self.assertEqual(message, _message(number))
        await self._wait_rejected(4)
        self.assertEqual(heard, [known])

    async def test_message_to_the_host_itself_needs_no_link(self):
        """A host that is its own home sends messages like any other host."""
        self.a.send(self.a.address, _message(1))
        sender, _ = await asyncio.wait_for(self.received.get(), WAIT_S)
        self.assertEqual(sender, self.a.address)

    async def test_frames_of_a_host_with_another_key_are_rejected(self):
        """Frames under another peer key are counted and dropped; others pass."""
        foreign = self._bus(b"other")
        await foreign.start()
        foreign.send(self.b.address, _message(1))
        while not self.b.rejected_count:
            await asyncio.sleep(0.01)
        await foreign.close()
        self.a.send(self.b.address, _message(2))
        sender, message = await asyncio.wait_for(self.received.get(), WAIT_S)
        self.assertEqual((sender, message), (self.a.address, _message(2)))

    async def test_invalid_frames_end_neither_the_task_nor_the_host(self):
        """Truncated and random frames are dropped, and the next message arrives."""
        for frame in (
            b"",
            b"\x01",
            b"\xff" * 100,
            Codec(b"k").encode(_envelope(9))[:-3],
        ):
            await self._send_raw(encode_frame(frame))
        await self._wait_rejected(4)
        self.a.send(self.b.address, _message(2))
        await asyncio.wait_for(self.received.get(), WAIT_S)

    async def test_frame_over_the_maximum_length_closes_only_its_connection(self):
        """A length prefix of 4 GB must not be buffered by a host with 64 MB."""
        raw = await self._send_raw(b"\xff\xff\xff\xff", close=False)
        await self._wait_rejected(1)
        async with asyncio.timeout(WAIT_S):
            self.assertEqual(await raw.read(), b"")
        self.a.send(self.b.address, _message(2))
        await asyncio.wait_for(self.received.get(), WAIT_S)

    async def _send_raw(self, data, close=True):
        """Send bytes on a new connection, and return the reader of the connection."""
        ip, _, port = self.b.address.rpartition(":")
        reader, writer = await asyncio.open_connection(ip, int(port))
        self.addCleanup(writer.close)
        writer.write(data)
        await writer.drain()
        if close:
            writer.close()
        return reader

    async def _wait_rejected(self, count):
        async with asyncio.timeout(WAIT_S):
            while self.b.rejected_count < count:
                await asyncio.sleep(0.01)

    async def test_message_that_cannot_be_encoded_does_not_end_the_link(self):
        """An exception while encoding must not end the link's sending task.

        The reply to a key lookup contained a header name of the HTTP library's own
        string type, which cannot be encoded. The task ended, the peer received nothing
        more, and each repeated call got "outcome unknown" after 2 s.
        """

        class StrSubclass(str):
            pass

        self.a.send(self.b.address, GrantCancel(pool=StrSubclass("x"), request_id="1"))
        await asyncio.sleep(0.05)
        self.a.send(self.b.address, _message(2))
        _, message = await asyncio.wait_for(self.received.get(), WAIT_S)
        self.assertEqual(message, _message(2))

    async def test_messages_that_arrive_during_the_stop_do_not_block_it(self):
        """Guards against a stopping host that runs until its supervisor kills it.

        A receiving task can miss its cancellation while messages arrive.
        """
        for round_ in range(20):
            peer = self._bus(b"k")
            await peer.start()
            for number in range(50):
                self.a.send(peer.address, _message(number))
            # Stops at a different point of the transmission in each round.
            await asyncio.sleep(round_ / 2_000)
            await asyncio.wait_for(peer.close(), 2)

    async def test_lost_connection_is_reported_and_restarted_peer_is_reached(self):
        """A host that restarts at its address must be reachable for earlier senders."""
        lost = asyncio.Queue()
        sender = PeerBus(
            "1", "127.0.0.1:0", None, b"k", self.clock, self._take, lost.put_nowait
        )
        await sender.start()
        self.addAsyncCleanup(sender.close)
        address = self.b.address
        sender.send(address, _message(1))
        await asyncio.wait_for(self.received.get(), WAIT_S)
        await self.b.close()
        self.assertEqual(await asyncio.wait_for(lost.get(), WAIT_S), address)
        restarted = PeerBus("2", address, None, b"k", self.clock, self._take)
        await restarted.start()
        self.addAsyncCleanup(restarted.close)
        sender.send(address, _message(2))
        _, message = await asyncio.wait_for(self.received.get(), WAIT_S)
        self.assertEqual(message, _message(2))
        self.assertTrue(lost.empty())

    async def test_closing_connection_does_not_block_the_event_loop(self):
        """Guards against a busy loop over an ended connection, which blocks a host."""
        self.a.send(self.b.address, _message(1))
        await asyncio.wait_for(self.received.get(), WAIT_S)
        is_closing = Connection.is_closing.fget
        calls = itertools.count()

        def is_closing_counted(connection):
            if next(calls) > 1_000:
                raise RecursionError("the event loop is blocked")
            return is_closing(connection)

        with unittest.mock.patch.object(
            Connection, "is_closing", property(is_closing_counted)
        ):
            link = self.a._links[self.b.address]
            link.send(_message(2))
            link._connection.close()
            _, message = await asyncio.wait_for(self.received.get(), WAIT_S)
        self.assertEqual(message, _message(2))
        self.assertLess(next(calls), 10)

    async def test_unreachable_peer_uses_bounded_memory(self):
        """Messages to an unreachable peer are dropped, the oldest first."""
        with socket.socket() as taken:
            taken.bind(("127.0.0.1", 0))
            address = f"127.0.0.1:{taken.getsockname()[1]}"
            for number in range(10_000):
                self.a.send(address, _message(number))
            link = self.a._links[address]
            self.assertLessEqual(len(link._queue), 4096)
            self.assertGreater(link.dropped_count, 0)


class LostPacketTests(unittest.IsolatedAsyncioTestCase):
    async def test_connecting_is_retried_before_the_kernel_retransmits(self):
        """Guards against several homes in the second after all hosts lost power.

        Five of eight hosts made themselves home. A host connects to one that has no
        power yet. The packet is lost, the kernel retransmits it after a second, and
        only then do the two learn of each other. Here the packet is lost at a listener
        whose queue is full.
        """
        with socket.create_server(("127.0.0.1", 0), backlog=0) as listener:
            address = listener.getsockname()
            with contextlib.ExitStack() as stack:
                for _ in range(2):
                    filler = stack.enter_context(socket.socket())
                    filler.setblocking(False)
                    filler.connect_ex(address)
                link = PeerLink(
                    Codec(b"k"),
                    Clock(asyncio.get_running_loop()),
                    "a",
                    "1",
                    f"127.0.0.1:{address[1]}",
                    lambda peer: None,
                    lambda: None,
                )
                link.start()
                link.send(_message(1))
                await asyncio.sleep(INITIAL_CONNECT_TIMEOUT_MS / 1_000 / 2)
            listener.setblocking(False)
            loop = asyncio.get_running_loop()
            accepted = []
            try:
                async with asyncio.timeout(0.6):
                    while not await self._accept_link(loop, listener, accepted):
                        pass
            finally:
                await link.close()
                for found in accepted:
                    found.close()

    async def _accept_link(self, loop, listener, accepted):
        """Accept a connection and return whether the message arrives on it."""
        found, _ = await loop.sock_accept(listener)
        accepted.append(found)
        found.setblocking(False)
        try:
            return bool(await loop.sock_recv(found, 8))
        except ConnectionResetError:
            return False


class UnresponsiveConnectionTests(unittest.IsolatedAsyncioTestCase):
    async def test_reconnecting_reaches_a_peer_behind_a_dead_connection(self):
        """Guards against requests that get no slot although every host looks healthy.

        The peer's machine lost power and is back. The connection to it was never
        reset, and what is sent on it is lost for as long as the kernel retransmits.
        """
        received = asyncio.Queue()
        accepted = []
        unresponsive = await asyncio.start_server(
            lambda reader, writer: accepted.append(writer), "127.0.0.1", 0
        )
        port = unresponsive.sockets[0].getsockname()[1]
        clock = Clock.from_running_loop()
        sender = PeerBus("1", "127.0.0.1:0", None, b"k", clock, lambda *message: None)
        await sender.start()
        sender.send(f"127.0.0.1:{port}", _message(1))
        while not accepted:
            await asyncio.sleep(0.01)
        unresponsive.close()
        peer = PeerBus(
            "1",
            f"127.0.0.1:{port}",
            None,
            b"k",
            clock,
            lambda sender, message, late_ms: received.put_nowait(message),
        )
        await peer.start()
        sender.reconnect(peer.address)
        sender.send(peer.address, _message(2))
        message = await asyncio.wait_for(received.get(), WAIT_S)
        while message != _message(2):
            message = await asyncio.wait_for(received.get(), WAIT_S)
        await sender.close()
        await peer.close()
        for writer in accepted:
            writer.close()

    def test_new_incarnation_of_a_sender_is_detected(self):
        box = Inbox("b")
        box.accept(_envelope(1, incarnation="1"), 10)
        self.assertFalse(box.is_new_incarnation("a"))
        box.accept(_envelope(1, incarnation="2"), 20)
        self.assertTrue(box.is_new_incarnation("a"))
        box.accept(_envelope(2, incarnation="2"), 30)
        self.assertFalse(box.is_new_incarnation("a"))
