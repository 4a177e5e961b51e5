import doctest
import unittest

import msgspec

from hemlockhoist.base import PeerError
from hemlockhoist.messages import pack_value, packing, unpack_value
from hemlockhoist.messages.codec import MAX_FRAME_BYTES


def load_tests(loader, tests, pattern):
    tests.addTests(doctest.DocTestSuite(packing))
    return tests


def configuration(version, count=1_400):
    """Return an encoded configuration of many routes."""
    routes = [
        {"name": f"r-{n}", "host": f"h{n * 7919 % 9973}.example", "prefix": f"/{n}/"}
        | {"kind": "idempotent", "timeout_ms": 900, "service": "halls", "split": []}
        for n in range(count)
    ]
    return msgspec.json.encode({"version": version, "route_table": routes})


class PackingTests(unittest.TestCase):
    def test_large_value_takes_a_tenth(self):
        value = configuration(2)
        packed = pack_value(value)
        self.assertLess(len(packed), len(value) / 10)
        self.assertEqual(unpack_value(packed), value)

    def test_changed_value_takes_little_by_its_predecessor(self):
        """Guards against sending all routes to each host at each change."""
        base = configuration(2)
        for value in (configuration(3), configuration(3, 1_399), configuration(3, 9)):
            packed = pack_value(value, base)
            self.assertLess(len(packed), 300)
            self.assertEqual(unpack_value(packed, base), value)

    def test_value_with_another_predecessor_is_an_error_or_differs(self):
        packed = pack_value(configuration(3), configuration(2))
        with self.assertRaises(PeerError):
            unpack_value(packed)

    def test_unreadable_value_is_an_error(self):
        packed = pack_value(configuration(2))
        for broken in (b"", b"routes", packed[: len(packed) // 2], packed[9:]):
            with self.assertRaises(PeerError):
                unpack_value(broken)

    def test_value_that_unpacks_to_more_than_a_frame_is_an_error(self):
        """Guards against a small message that takes all memory of a host."""
        with self.assertRaises(PeerError):
            unpack_value(pack_value(bytes(MAX_FRAME_BYTES + 1)))
