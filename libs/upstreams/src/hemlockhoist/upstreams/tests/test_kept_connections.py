import doctest
import unittest

from hypothesis import example, given
from hypothesis import strategies as st
from multidict import CIMultiDict

from hemlockhoist.upstreams import keep_alive, kept_connections
from hemlockhoist.upstreams.keep_alive import MAX_IDLE_MS, ResponseExtent, idle_ms
from hemlockhoist.upstreams.kept_connections import (
    MAX_NAMED,
    MAX_SUSPENDED,
    SUSPENSION_MS,
    KeptConnections,
)


class FakeConnection:
    def __init__(self):
        self.is_closed = False

    def close(self):
        self.is_closed = True


class KeptConnectionsTests(unittest.TestCase):
    def setUp(self):
        self.kept = KeptConnections(max_count=5, max_per_upstream=2)

    def keep(self, name, until_ms=1_000, address="a:1"):
        connection = FakeConnection()
        self.kept.keep(connection, "halls", name, address, until_ms)
        return connection

    def test_suspension_closes_connections_and_ends(self):
        """Guards against an upstream without reuse for ever, or with too early reuse."""
        mixed, other = self.keep("u1"), self.keep("u2")
        self.kept.suspend("u1", "a:1", now_ms=10)
        self.assertEqual((mixed.is_closed, other.is_closed), (True, False))
        for name, address, now_ms, found in (
            ("u1", "a:1", 10, True),
            ("u1", "a:1", 10 + SUSPENSION_MS - 1, True),
            ("u1", "a:1", 10 + SUSPENSION_MS, False),
            ("u1", "a:2", 10, False),
            ("u2", "a:1", 10, False),
        ):
            self.assertIs(self.kept.is_suspended(name, address, now_ms), found)

    def test_suspensions_are_bounded(self):
        """Guards against memory that grows with each upstream that was ever suspended."""
        for number in range(MAX_SUSPENDED + 1):
            self.kept.suspend(f"u{number}", "a:1", now_ms=0)
        self.assertFalse(self.kept.is_suspended("u0", "a:1", now_ms=0))
        self.assertTrue(self.kept.is_suspended("u1", "a:1", now_ms=0))

    def test_last_used_is_taken_first(self):
        first, second = self.keep("u1"), self.keep("u1")
        self.assertIs(self.kept.take("u1", "a:1", 0), second)
        self.assertIs(self.kept.take("u1", "a:1", 0), first)
        self.assertIsNone(self.kept.take("u1", "a:1", 0))

    def test_number_is_bounded_per_upstream_and_in_total(self):
        """Guards against a small host that runs out of descriptors."""
        first = self.keep("u1")
        self.keep("u1")
        self.keep("u1")
        self.assertTrue(first.is_closed)
        oldest = self.kept.take("u1", "a:1", 0)
        self.kept.keep(oldest, "halls", "u0", "a:1", 1_000)
        for number in range(2, 7):
            self.keep(f"u{number}")
        self.assertEqual(len(self.kept), 5)

    def test_connection_past_its_time_or_to_another_address_is_closed(self):
        late, moved = self.keep("u1", until_ms=100), self.keep("u2", address="b:1")
        self.assertIsNone(self.kept.take("u1", "a:1", 100))
        self.assertIsNone(self.kept.take("u2", "a:1", 0))
        self.assertTrue(late.is_closed and moved.is_closed)
        expiring = self.keep("u3", until_ms=100)
        self.kept.expire(100)
        self.assertTrue(expiring.is_closed)

    def test_connections_to_upstreams_that_are_gone_or_moved_are_closed(self):
        """Guards against a request for one upstream that another one gets."""
        gone, moved, stays = self.keep("u1"), self.keep("u2"), self.keep("u3")
        self.kept.set_usable({"u2": "b:1", "u3": "a:1", "u4": "a:1"})
        self.assertTrue(gone.is_closed and moved.is_closed)
        self.assertIs(self.kept.take("u3", "a:1", 0), stays)

    def test_named_upstreams_are_bounded_and_of_the_pool(self):
        kept = KeptConnections(100)
        for number in range(20):
            kept.keep(FakeConnection(), "halls", f"u{number}", "a:1", 1_000)
        kept.keep(FakeConnection(), "chat", "other", "a:1", 1_000)
        found = kept.connected("halls", 0)
        self.assertEqual(found[:2], ("u19", "u18"))
        self.assertEqual(len(found), MAX_NAMED)
        self.assertEqual(kept.connected("halls", 1_000), ())

    def test_examples(self):
        for module in (kept_connections, keep_alive):
            self.assertEqual(doctest.testmod(module).failed, 0)


class KeepAliveHeaderTests(unittest.TestCase):
    @given(st.text())
    @example("timeout=99999999999")
    @example("timeout=٣")
    @example("timeout=-1")
    def test_any_text_gives_a_time_in_bounds(self, text):
        """Guards against a garbled header that keeps a connection for ever."""
        self.assertTrue(0 <= idle_ms(text) <= MAX_IDLE_MS)

    @given(st.integers(0, 999_999), st.integers(1, 10**8), st.booleans())
    def test_announced_time_less_the_margin_is_used(self, seconds, requests, is_first):
        items = [f"timeout={seconds}", f"max={requests}"]
        text = ", ".join(items if is_first else reversed(items))
        expected = min(MAX_IDLE_MS, max(0, 1_000 * seconds - 500))
        self.assertEqual(idle_ms(text), expected)

    def test_contradictions_are_taken_as_the_shorter_time(self):
        self.assertEqual(idle_ms("timeout=9, Timeout=2"), 1_500)
        for text in ("", "timeout=5, max=0", "timeout=5, timeout=x", "timeout=5s"):
            self.assertEqual(idle_ms(text), 0, text)


class ResponseExtentTests(unittest.TestCase):
    def reusable_ms(self, head, body=b"", status=200, is_last=False, cut=None):
        """Return for how long a connection is kept after a response."""
        headers = CIMultiDict({"Attempt-Id": "a1", "Keep-Alive": "timeout=5", **head})
        extent = ResponseExtent("a1", "Attempt-Id")
        lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        data = f"HTTP/1.1 {status} X\r\n{lines}\r\n".encode() + body
        for part in (data[:cut], data[cut:]) if cut else (data,):
            extent.add(part)
        extent.add_head(status, headers, is_last)
        return extent.reusable_ms()

    def test_whole_responses_are_kept_wherever_they_are_split(self):
        for cut in range(1, 90):
            self.assertEqual(
                self.reusable_ms({"Content-Length": "2"}, b"ok", cut=cut), 4_500
            )
            chunked = {"Transfer-Encoding": "chunked"}
            body = b"2\r\nok\r\n0\r\n\r\n"
            self.assertEqual(self.reusable_ms(chunked, body, cut=cut), 4_500)

    def test_others_are_not(self):
        """Guards against a response that the next request gets a part of."""
        length, chunked = {"Content-Length": "2"}, {"Transfer-Encoding": "chunked"}
        cases = {
            "bytes left": (length, b"okH"),
            "bytes left after chunks": (chunked, b"2\r\nok\r\n0\r\n\r\nHTT"),
            "cut": (length, b"o"),
            "no end": ({}, b"ok"),
            "two ends": (length | chunked, b"ok"),
            "no id": (length | {"Attempt-Id": ""}, b"ok"),
            "another id": (length | {"Attempt-Id": "a2"}, b"ok"),
            "no time": (length | {"Keep-Alive": "max=5"}, b"ok"),
            "no body": (length, b"", 204),
            "last": (length, b"ok", 200, True),
        }
        for name, values in cases.items():
            with self.subTest(name):
                self.assertEqual(self.reusable_ms(*values), 0)
