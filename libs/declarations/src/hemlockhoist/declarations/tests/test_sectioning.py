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


def renamed(declarations, version):
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
    def test_a_row_gives_back_what_was_written(self, declarations):
        """Encoding and decoding keeps the content, in canonical order."""
        row = encode_declarations(declarations)
        self.assertEqual(decode_declarations(row), canonical(declarations))
        self.assertEqual(encode_declarations(decode_declarations(row)), row)

    def test_what_is_no_row_is_one_error(self):
        """Truncated, wrong or binary rows raise DeclarationError."""
        row = encode_declarations(example())
        for data in (b"", row[:-5], b"[]", b'{"tiers": 3}', b"\xff\xfe"):
            with self.assertRaises(DeclarationError):
                decode_declarations(data)


class SectionTests(unittest.TestCase):
    @given(any_declarations(), any_declarations())
    def test_merged_sections_are_the_new_declarations(self, old, new):
        """Whatever changed, old plus delta reads as new, with any reader."""
        new = renamed(new, 2)
        reader = SectionReader()
        reader.read(sections(old))
        merged = merge_sections(
            sections(old), changed_sections(sections(old), sections(new))
        )
        self.assertEqual(merged, sections(new))
        self.assertEqual(reader.read(merged), canonical(new))
        self.assertEqual(from_sections(merged), canonical(new))

    def test_one_customer_ships_one_bucket(self):
        """At 1,700 customers a changed limit ships one section below 4 KB."""
        old = fleet()
        delta = changed_sections(sections(old), sections(with_limit(old, 7, 9)))
        self.assertEqual(len(delta.changed), 1)
        self.assertLess(len(msgspec.msgpack.encode(delta)), 4_096)

    def test_a_default_ships_the_head_only(self):
        """A changed default reaches 1,700 customers by one section."""
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
        """A holder of nothing lacks every section."""
        whole = sections(example())
        self.assertEqual(missing_sections({}, whole).changed, whole.items)

    def test_an_old_delta_does_not_revert(self):
        """
        Two peers pass changes on, and an older one arrives last. A host that took
        it would run the configuration of before the change, after it had said that
        the new one was in force. It is refused.
        """
        old = renamed(example(), 4)
        new = with_limit(old, 0, 7)
        late = changed_sections(sections(new), sections(renamed(old, 5)))
        with self.assertRaises(SectionMismatch):
            merge_sections(sections(new), late)

    def test_a_delta_for_other_sections(self):
        """
        A host misses one change and gets the delta of the next. Taking it would mix
        two versions under the number of the later. The digest of the whole differs,
        and the host asks for what it lacks instead.
        """
        first = fleet(20)
        second = with_limit(first, 3, 9)
        third = with_limit(second, 4, 9)
        delta = changed_sections(sections(second), sections(third))
        with self.assertRaises(SectionMismatch):
            merge_sections(sections(first), delta)

    def test_damaged_or_unreadable_sections(self):
        """A section that was changed on its way, or is no JSON, is one error."""
        old = example()
        delta = changed_sections(sections(old), sections(with_limit(old, 0, 9)))
        damaged = msgspec.structs.replace(delta.changed[0], body=b"[]")
        with self.assertRaises(SectionMismatch):
            merge_sections(
                sections(old), msgspec.structs.replace(delta, changed=(damaged,))
            )
        whole = sections(old)
        for body in (b"", b"[]", b'{"defaults": 3}', b'{"defaults": {}, "tiers": [1]}'):
            items = tuple(
                msgspec.structs.replace(item, body=body)
                if item.name == "head"
                else item
                for item in whole.items
            )
            with self.assertRaises(DeclarationError):
                from_sections(msgspec.structs.replace(whole, items=items))
