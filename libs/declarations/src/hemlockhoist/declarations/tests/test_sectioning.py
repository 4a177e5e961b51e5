import unittest

import msgspec
from hypothesis import given

from hemlockhoist.base import DeclarationError
from hemlockhoist.declarations import (
    CustomerDefaults,
    SectionMismatch,
    SectionReader,
    canonical,
    changed_sections,
    decode_declarations,
    encode_declarations,
    from_sections,
    merge_sections,
    missing_sections,
    sections,
)
from hemlockhoist.declarations.tests.samples import any_declarations, example, fleet


def with_version(declarations, version):
    return msgspec.structs.replace(declarations, version=version)


def with_limit(declarations, position, limit):
    customers = list(declarations.customers)
    changed = msgspec.structs.replace(customers[position], max_in_flight=limit)
    customers[position] = changed
    version = declarations.version + 1
    return msgspec.structs.replace(
        declarations, customers=tuple(customers), version=version
    )


class CodecTests(unittest.TestCase):
    @given(any_declarations())
    def test_encoding_round_trip(self, declarations):
        """Encoding and decoding preserves the content, in canonical order."""
        row = encode_declarations(declarations)
        self.assertEqual(decode_declarations(row), canonical(declarations))
        self.assertEqual(encode_declarations(decode_declarations(row)), row)

    def test_invalid_rows_raise_one_error(self):
        """Truncated, wrong and binary rows raise DeclarationError."""
        row = encode_declarations(example())
        for data in (b"", row[:-5], b"[]", b'{"tiers": 3}', b"\xff\xfe"):
            with self.assertRaises(DeclarationError):
                decode_declarations(data)


class SectionTests(unittest.TestCase):
    @given(any_declarations(), any_declarations())
    def test_merged_sections_are_the_new_declarations(self, old, new):
        """Applying the delta to old gives new, also with a reader that has read old."""
        new = with_version(new, 2)
        reader = SectionReader()
        reader.read(sections(old))
        merged = merge_sections(
            sections(old), changed_sections(sections(old), sections(new))
        )
        self.assertEqual(merged, sections(new))
        self.assertEqual(reader.read(merged), canonical(new))
        self.assertEqual(from_sections(merged), canonical(new))

    def test_change_of_one_customer_transfers_one_bucket(self):
        """With 1,700 customers, a changed limit transfers one section below 4 KB."""
        old = fleet()
        delta = changed_sections(sections(old), sections(with_limit(old, 7, 9)))
        self.assertEqual(len(delta.changed), 1)
        self.assertLess(len(msgspec.msgpack.encode(delta)), 4_096)

    def test_change_of_a_default_transfers_the_head_only(self):
        """A changed default is applied to 1,700 customers by one section."""
        old = fleet()
        new = msgspec.structs.replace(
            old,
            version=2,
            defaults=msgspec.structs.replace(
                old.defaults, customer=CustomerDefaults(max_in_flight=32)
            ),
            customers=tuple(
                msgspec.structs.replace(item, max_in_flight=32)
                for item in old.customers
            ),
        )
        delta = changed_sections(sections(old), sections(new))
        self.assertEqual([item.name for item in delta.changed], ["head"])
        reader = SectionReader()
        reader.read(sections(old))
        merged = merge_sections(sections(old), delta)
        self.assertEqual(reader.read(merged), canonical(new))

    def test_a_new_host_gets_everything(self):
        """The delta from an empty manifest contains every section."""
        all_sections = sections(example())
        self.assertEqual(missing_sections({}, all_sections).changed, all_sections.items)

    def test_an_old_delta_does_not_revert(self):
        """Guards against returning to an earlier configuration.

        Two peers relay changes, and an older one arrives last, after the host has
        reported that the new one is in force. The older delta is rejected.
        """
        old = with_version(example(), 4)
        new = with_limit(old, 0, 7)
        outdated_delta = changed_sections(sections(new), sections(with_version(old, 5)))
        with self.assertRaises(SectionMismatch):
            merge_sections(sections(new), outdated_delta)

    def test_a_delta_for_other_sections(self):
        """Guards against a mixture of two versions under the number of the later.

        A host misses one change and receives the delta of the next. The digest of the
        result differs, and the host requests the missing sections instead.
        """
        first = fleet(20)
        second = with_limit(first, 3, 9)
        third = with_limit(second, 4, 9)
        delta = changed_sections(sections(second), sections(third))
        with self.assertRaises(SectionMismatch):
            merge_sections(sections(first), delta)

    def test_corrupted_or_invalid_sections(self):
        """A section that was altered in transit, or is not valid JSON, is an error."""
        old = example()
        delta = changed_sections(sections(old), sections(with_limit(old, 0, 9)))
        corrupted = msgspec.structs.replace(delta.changed[0], body=b"[]")
        with self.assertRaises(SectionMismatch):
            merge_sections(
                sections(old), msgspec.structs.replace(delta, changed=(corrupted,))
            )
        all_sections = sections(old)
        for body in (b"", b"[]", b'{"defaults": 3}', b'{"defaults": {}, "tiers": [1]}'):
            items = tuple(
                msgspec.structs.replace(item, body=body)
                if item.name == "head"
                else item
                for item in all_sections.items
            )
            with self.assertRaises(DeclarationError):
                from_sections(msgspec.structs.replace(all_sections, items=items))
