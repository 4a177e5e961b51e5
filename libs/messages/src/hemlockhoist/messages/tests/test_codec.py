import doctest
import unittest

from hypothesis import given
from hypothesis import strategies as st

from hemlockhoist.base import PeerError, ResultCode
from hemlockhoist.messages import WIRE_VERSION, Codec, Envelope, GrantCancel, codec


def _frame(key=b"k"):
    envelope = Envelope(
        sender="a",
        incarnation="1",
        receiver="b",
        sequence=1,
        sent_ms=5,
        messages=[GrantCancel(pool="chat", request_id="r")],
    )
    return Codec(key).encode(envelope)


class CodecTests(unittest.TestCase):
    def _code(self, frame):
        with self.assertRaises(PeerError) as caught:
            Codec(b"k").decode(frame)
        return caught.exception.code

    def test_a_frame_under_another_key_is_refused(self):
        """A host with another peer key is not believed."""
        self.assertIs(self._code(_frame(b"other")), ResultCode.PEER_UNAUTHENTIC)

    def test_a_frame_of_another_wire_version_is_refused_by_that_name(self):
        """The version is looked at first, so the log names the real cause."""
        frame = bytes([WIRE_VERSION + 1]) + _frame()[1:]
        self.assertIs(self._code(frame), ResultCode.PEER_VERSION)

    @given(st.integers(min_value=0, max_value=len(_frame()) - 1))
    def test_a_truncated_frame_is_refused(self, length):
        """No prefix of a frame is taken for a frame."""
        code = self._code(_frame()[:length])
        self.assertIn(code, (ResultCode.PEER_MALFORMED, ResultCode.PEER_UNAUTHENTIC))

    @given(st.binary(max_size=200))
    def test_arbitrary_bytes_raise_only_peer_errors(self, frame):
        """Garbage from the network ends in a numbered error."""
        with self.assertRaises(PeerError):
            Codec(b"k").decode(frame)

    def test_docstring_examples_run(self):
        """The examples in the docstrings give what they show."""
        self.assertEqual(doctest.testmod(codec).failed, 0)
