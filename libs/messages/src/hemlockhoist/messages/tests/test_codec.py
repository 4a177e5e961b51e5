import doctest
import unittest

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from hemlockhoist.base import PeerError, ResultCode
from hemlockhoist.messages import (
    MESSAGE_TYPES,
    WIRE_VERSION,
    AnnouncedRetry,
    Codec,
    Envelope,
    GrantCancel,
    HeldGrants,
    StoredAnswer,
    codec,
)


def _envelope(sender="a", incarnation="1"):
    return Envelope(
        sender=sender,
        incarnation=incarnation,
        receiver="b",
        sequence=1,
        sent_ms=5,
        messages=[GrantCancel(pool="chat", request_id="r")],
    )


def _frame(key=b"k"):
    return Codec(key).encode(_envelope())


class CodecTests(unittest.TestCase):
    def _code(self, frame):
        with self.assertRaises(PeerError) as caught:
            Codec(b"k").decode(frame, "b")
        return caught.exception.code

    def test_frame_under_another_key_is_rejected(self):
        """Frames of a host with another peer key are unauthentic."""
        self.assertIs(self._code(_frame(b"other")), ResultCode.PEER_UNAUTHENTIC)

    def test_frame_of_another_wire_version_is_reported_as_such(self):
        """The version is checked before the digest, so the log names the real cause."""
        frame = bytes([WIRE_VERSION + 1]) + _frame()[1:]
        self.assertIs(self._code(frame), ResultCode.PEER_VERSION)

    def test_announced_retries_are_encoded_as_by_earlier_releases(self):
        """Guards against reservations that are lost while hosts are being updated."""
        retry = AnnouncedRetry(
            customer="c",
            route="r",
            tier_rank=1,
            prompt_tokens=2,
            output_tokens=3,
            reserved_ms=4,
            remaining_ms=5,
            weight=6,
        )
        report = HeldGrants(
            pool="chat", home_incarnation="h", grants=(), announced_retries=(retry,)
        )
        encoded = msgspec.msgpack.encode(report).hex()
        fields = "16a463686174a168909000a0909090909198a163a172010203040506"
        # Earlier releases ignore the further field.
        self.assertEqual(encoded, f"9d{fields}90")
        earlier = msgspec.msgpack.decode(bytes.fromhex(f"9c{fields}"), type=HeldGrants)
        self.assertEqual(earlier, report)

    def test_stored_answers_of_neighbouring_releases_are_read(self):
        """Guards against certainty about the end of an answer that nobody has stated."""

        class EarlierAnswer(msgspec.Struct, kw_only=True):
            status: int
            headers: tuple[tuple[str, str], ...] = ()
            body: bytes = b""

        stored = StoredAnswer(status=200, body=b"booked", is_end_certain=True)
        encoded = msgspec.msgpack.encode(stored)
        self.assertEqual(msgspec.msgpack.decode(encoded, type=StoredAnswer), stored)
        earlier = msgspec.msgpack.decode(encoded, type=EarlierAnswer)
        self.assertEqual((earlier.status, earlier.body), (200, b"booked"))
        encoded = msgspec.msgpack.encode(earlier)
        read = msgspec.msgpack.decode(encoded, type=StoredAnswer)
        self.assertEqual((read.body, read.is_end_certain), (b"booked", False))

    @given(st.integers(min_value=0, max_value=len(_frame()) - 1))
    def test_truncated_frame_is_rejected(self, length):
        """No proper prefix of a frame is accepted as a frame."""
        code = self._code(_frame()[:length])
        self.assertIn(code, (ResultCode.PEER_MALFORMED, ResultCode.PEER_UNAUTHENTIC))

    @given(st.binary(max_size=200))
    def test_arbitrary_bytes_raise_only_peer_errors(self, frame):
        """Invalid input from the network raises an error with a result code."""
        with self.assertRaises(PeerError):
            Codec(b"k").decode(frame, "b")

    def test_frame_for_another_host_is_rejected(self):
        """A captured frame cannot be sent to a host other than its receiver."""
        with self.assertRaises(PeerError) as caught:
            Codec(b"k").decode(_frame(), "c")
        self.assertIs(caught.exception.code, ResultCode.PEER_UNAUTHENTIC)

    @given(
        st.sampled_from(["10.1.0.35:7600", "[::1]:7600", "h1", "1.2.3.4:007", ""]),
        st.sampled_from(["00ff12", "1", "", "XY", "0F"]),
    )
    def test_names_round_trip_unchanged(self, sender, incarnation):
        """Packing must not alter a name that only resembles an address."""
        envelope = _envelope(sender, incarnation)
        codec_ = Codec(b"k")
        self.assertEqual(codec_.decode(codec_.encode(envelope), "b"), envelope)

    def test_sender_that_is_not_an_address_is_rejected(self):
        made = Codec(b"k")
        wire = codec._WireEnvelope(
            sender=b"\x00123", incarnation=b"\x011", sequence=1, sent_ms=1, messages=[]
        )
        body = msgspec.msgpack.encode(wire)
        frame = bytes([WIRE_VERSION]) + made._digest("b", body) + body
        with self.assertRaises(PeerError) as caught:
            made.decode(frame, "b")
        self.assertIs(caught.exception.code, ResultCode.PEER_MALFORMED)

    def test_message_numbers_are_unique(self):
        """With a shared number, a message would be decoded as another type."""
        numbers = [kind.__struct_config__.tag for kind in MESSAGE_TYPES]
        self.assertEqual(len(set(numbers)), len(numbers))

    def test_docstring_examples_run(self):
        """The examples in the docstrings produce the output shown."""
        self.assertEqual(doctest.testmod(codec).failed, 0)
