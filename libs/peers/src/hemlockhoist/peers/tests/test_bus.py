import asyncio
import contextlib
import doctest
import itertools
import socket
import unittest
import unittest.mock

from hemlockhoist.base import Clock, PeerError
from hemlockhoist.messages import Codec, Envelope, GrantCancel
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


class InboxTests(unittest.TestCase):
    def test_an_envelope_is_accepted_once(self):
        """The same envelope, delivered twice, is refused the second time."""
        box = Inbox("b")
        box.accept(_envelope(1), 10)
        with self.assertRaises(PeerError):
            box.accept(_envelope(1), 11)

    def test_delayed_frame_of_an_ended_incarnation_is_refused(self):
        """A host restarts, and a frame of its former process arrives afterwards.

        Taken for a newcomer, the former process would be heard again, and each
        switch between the two would let all their frames in a second time.
        """
        box = Inbox("b")
        box.accept(_envelope(1, incarnation="1"), 10)
        box.accept(_envelope(1, incarnation="2"), 20)
        with self.assertRaises(PeerError):
            box.accept(_envelope(2, incarnation="1"), 30)
        box.accept(_envelope(2, incarnation="2"), 40)

    def test_an_envelope_for_another_host_is_refused(self):
        """A frame recorded on one link is of no use on another."""
        with self.assertRaises(PeerError):
            Inbox("b").accept(_envelope(1, receiver="c"), 10)

    def test_a_frozen_receiver_sees_that_what_it_reads_is_old(self):
        """The receiver was stopped for 4 s while a grant waited in its socket.

        When it goes on, the grant looks as if it had just come. Its lateness has
        to show, or the host would dispatch under a grant that ended long ago.
        """
        box = Inbox("b")
        box.accept(_envelope(1, sent_ms=1000), 501_000)
        self.assertEqual(box.accept(_envelope(2, sent_ms=1100), 505_100), 4000)

    def test_docstring_examples_run(self):
        """The examples in the docstrings give what they show."""
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

    async def test_a_message_to_oneself_needs_no_link(self):
        """A host that is its own home takes the same path as any other."""
        self.a.send(self.a.address, _message(1))
        sender, _ = await asyncio.wait_for(self.received.get(), WAIT_S)
        self.assertEqual(sender, self.a.address)

    async def test_a_host_with_another_key_is_not_heard(self):
        """Frames under another peer key are counted and dropped; others pass."""
        stranger = self._bus(b"other")
        await stranger.start()
        stranger.send(self.b.address, _message(1))
        while not self.b.rejected_count:
            await asyncio.sleep(0.01)
        await stranger.close()
        self.a.send(self.b.address, _message(2))
        sender, message = await asyncio.wait_for(self.received.get(), WAIT_S)
        self.assertEqual((sender, message), (self.a.address, _message(2)))

    async def test_garbage_ends_neither_the_task_nor_the_host(self):
        """Truncated and random frames are dropped; the next message arrives."""
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

    async def test_frame_longer_than_any_ends_its_connection_alone(self):
        """A host is told to keep four gigabytes, and has 64 MB for control."""
        raw = await self._send_raw(b"\xff\xff\xff\xff", close=False)
        await self._wait_rejected(1)
        async with asyncio.timeout(WAIT_S):
            self.assertEqual(await raw.read(), b"")
        self.a.send(self.b.address, _message(2))
        await asyncio.wait_for(self.received.get(), WAIT_S)

    async def _send_raw(self, data, close=True):
        """Send bytes on a connection of its own; return what reads its end."""
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

    async def test_message_that_can_not_be_encoded_does_not_end_the_link(self):
        """A booking is repeated at a second host, which asks the first for its answer.

        The first host's reply held a header name of the HTTP library's own string
        type. Encoding it raised, the task of the link ended, and from then on that
        peer heard nothing: each repeat was told "outcome unknown" after 2 s.
        """

        class OwnStr(str):
            pass

        self.a.send(self.b.address, GrantCancel(pool=OwnStr("x"), request_id="1"))
        await asyncio.sleep(0.05)
        self.a.send(self.b.address, _message(2))
        _, message = await asyncio.wait_for(self.received.get(), WAIT_S)
        self.assertEqual(message, _message(2))

    async def test_message_that_arrives_with_the_stop_keeps_the_host_from_ending(self):
        """A stopping host's receiving task misses its cancellation while messages come,
        and the host is killed by its supervisor."""
        for round_ in range(20):
            peer = self._bus(b"k")
            await peer.start()
            for number in range(50):
                self.a.send(peer.address, _message(number))
            # A different moment of the messages' way each time.
            await asyncio.sleep(round_ / 2_000)
            await asyncio.wait_for(peer.close(), 2)

    async def test_peer_that_ended_is_told_and_reached_again_at_its_address(self):
        """A host restarts at its address, and is taken for lost by those who sent to
        it before."""
        broken = asyncio.Queue()
        sender = PeerBus(
            "1", "127.0.0.1:0", None, b"k", self.clock, self._take, broken.put_nowait
        )
        await sender.start()
        self.addAsyncCleanup(sender.close)
        address = self.b.address
        sender.send(address, _message(1))
        await asyncio.wait_for(self.received.get(), WAIT_S)
        await self.b.close()
        self.assertEqual(await asyncio.wait_for(broken.get(), WAIT_S), address)
        again = PeerBus("2", address, None, b"k", self.clock, self._take)
        await again.start()
        self.addAsyncCleanup(again.close)
        sender.send(address, _message(2))
        _, message = await asyncio.wait_for(self.received.get(), WAIT_S)
        self.assertEqual(message, _message(2))
        self.assertTrue(broken.empty())

    async def test_connection_that_is_closing_does_not_stop_the_host(self):
        """A host hangs with its processor full as a peer's connection ends."""
        self.a.send(self.b.address, _message(1))
        await asyncio.wait_for(self.received.get(), WAIT_S)
        is_closing = Connection.is_closing.fget
        asked = itertools.count()

        def is_closing_counted(connection):
            if next(asked) > 1_000:
                raise RecursionError("nothing else runs")
            return is_closing(connection)

        with unittest.mock.patch.object(
            Connection, "is_closing", property(is_closing_counted)
        ):
            link = self.a._links[self.b.address]
            link.send(_message(2))
            link._connection.close()
            _, message = await asyncio.wait_for(self.received.get(), WAIT_S)
        self.assertEqual(message, _message(2))
        self.assertLess(next(asked), 10)

    async def test_a_peer_that_is_not_there_costs_bounded_memory(self):
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
    async def test_peer_that_was_not_there_yet_is_dialled_again_soon(self):
        """After a loss of all hosts, five of eight make themselves home for a second.

        A host dials one that has no power yet. The packet is lost, the kernel sends it
        again after a second, and only then do the two hear of each other. Here the
        packet is lost at a listener whose queue is full.
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
                )
                link.start()
                link.send(_message(1))
                await asyncio.sleep(INITIAL_CONNECT_TIMEOUT_MS / 1_000 / 2)
            listener.setblocking(False)
            loop = asyncio.get_running_loop()
            accepted = []
            try:
                async with asyncio.timeout(0.6):
                    while not await self._is_link(loop, listener, accepted):
                        pass
            finally:
                await link.close()
                for found in accepted:
                    found.close()

    async def _is_link(self, loop, listener, accepted):
        """Accept a connection; return whether the message comes by it."""
        found, _ = await loop.sock_accept(listener)
        accepted.append(found)
        found.setblocking(False)
        try:
            return bool(await loop.sock_recv(found, 8))
        except ConnectionResetError:
            return False


class SilentConnectionTests(unittest.IsolatedAsyncioTestCase):
    async def test_renewed_link_reaches_a_peer_behind_a_silent_connection(self):
        """Requests of one host get no place, though every host looks well.

        The peer's machine lost its power and is back. This host's connection to it
        never broke; what is sent on it is lost, for as long as the kernel tries.
        """
        received = asyncio.Queue()
        accepted = []
        silent = await asyncio.start_server(
            lambda reader, writer: accepted.append(writer), "127.0.0.1", 0
        )
        port = silent.sockets[0].getsockname()[1]
        clock = Clock.from_running_loop()
        sender = PeerBus("1", "127.0.0.1:0", None, b"k", clock, lambda *message: None)
        await sender.start()
        sender.send(f"127.0.0.1:{port}", _message(1))
        while not accepted:
            await asyncio.sleep(0.01)
        silent.close()
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

    def test_another_run_of_a_sender_shows(self):
        box = Inbox("b")
        box.accept(_envelope(1, incarnation="1"), 10)
        self.assertFalse(box.is_new_incarnation("a"))
        box.accept(_envelope(1, incarnation="2"), 20)
        self.assertTrue(box.is_new_incarnation("a"))
        box.accept(_envelope(2, incarnation="2"), 30)
        self.assertFalse(box.is_new_incarnation("a"))
