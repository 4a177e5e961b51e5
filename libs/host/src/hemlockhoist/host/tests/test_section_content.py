import unittest

import msgspec

from hemlockhoist.declarations import canonical
from hemlockhoist.declarations.tests.samples import fleet
from hemlockhoist.host.section_content import MAX_MANIFESTS, SectionContent

replace = msgspec.structs.replace


def changed(declarations, limit):
    """Return the next version, in which one customer has another limit."""
    customer = replace(declarations.customers[3], max_in_flight=limit)
    customers = (*declarations.customers[:3], customer, *declarations.customers[4:])
    return replace(declarations, customers=customers, version=declarations.version + 1)


class SectionContentTests(unittest.TestCase):
    def setUp(self):
        self.sender, self.receiver = SectionContent(), SectionContent()
        self.first = canonical(fleet(300))
        self.second = changed(self.first, 9)
        # A host has packed or unpacked the previous version before the next one.
        self.sender.pack(self.first, 0, "a")

    def test_known_version_gets_a_delta(self):
        """One changed customer takes below 2 KB and decodes to the new version."""
        content = self.sender.pack(self.second, 1, "a")
        self.assertIsNone(content.declarations)
        self.assertLess(len(msgspec.msgpack.encode(content)), 2_048)
        unpacked = self.receiver.unpack(content, self.first)
        self.assertEqual(unpacked, self.second)
        third = changed(unpacked, 10)
        following = self.receiver.pack(third, 2, "b")
        self.assertEqual(self.sender.unpack(following, self.second), third)

    def test_unknown_version_gets_full_content(self):
        """A new host, or one far behind, gets the full declarations."""
        for have_version in (0, 77):
            content = self.sender.pack(self.second, have_version, "a")
            self.assertEqual(content.declarations, self.second)
            self.assertEqual(self.receiver.unpack(content, self.first), self.second)

    def test_host_that_received_full_content_sends_deltas(self):
        """Guards against hosts that keep sending each other full content.

        A host joined and received full content. At the next change it sent full content
        to its peers, as they did in turn, and no delta was ever sent.
        """
        full = self.sender.pack(self.second, 0, "a")
        self.receiver.unpack(full, self.first)
        third = changed(self.second, 10)
        self.assertIsNone(self.receiver.pack(third, 2, "b").declarations)

    def test_delta_for_other_content_of_the_same_version_is_rejected(self):
        """A host has other declarations under the version that a delta is based on.

        Merging would put declarations in force that nobody declared, on one host only.
        The delta is rejected, and full content is requested.
        """
        content = self.sender.pack(self.second, 1, "a")
        other = replace(self.first, pools=())
        self.assertIsNone(self.receiver.unpack(content, other))

    def test_malformed_delta_is_rejected(self):
        """Truncated or foreign bytes, or a different version number, are rejected."""
        content = self.sender.pack(self.second, 1, "a")
        for changes in (b"", content.changes[:-9], b"\xc1", b"\x90"):
            bad = replace(content, changes=changes)
            self.assertIsNone(self.receiver.unpack(bad, self.first))
        bad = replace(content, version=9)
        self.assertIsNone(self.receiver.unpack(bad, self.first))
        self.assertEqual(self.receiver.unpack(content, self.first), self.second)

    def test_number_of_manifests_is_bounded(self):
        """Only manifests of the latest versions are kept; others get full content."""
        latest = self.first
        for limit in range(MAX_MANIFESTS + 5):
            latest = changed(latest, limit + 1)
            self.sender.pack(latest, latest.version - 1, "a")
        self.assertIsNotNone(self.sender.pack(latest, 1, "a").declarations)
        oldest_kept = latest.version - MAX_MANIFESTS + 1
        self.assertIsNone(self.sender.pack(latest, oldest_kept, "a").declarations)
