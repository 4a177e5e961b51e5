import doctest
import json
import pathlib
import unittest

from hypothesis import given
from hypothesis import strategies as st

from hemlockhoist.declarations import (
    DeclarationFaults,
    PoolKind,
    check_file,
    document,
    effective,
    parse_declarations,
    schema,
)

EXAMPLE = pathlib.Path(__file__).parents[6] / "examples" / "declarations.yaml"
TIER = "{name: a, rank: 0, deadline_ms: 100, first_token_target_ms: 50}"


def faults_of(text):
    return [(f.line, f.field, f.problem) for f in check_file(text.encode())]


class ExampleTests(unittest.TestCase):
    def test_example_is_valid(self):
        """The example file has no fault, and its exceptions are applied."""
        found = parse_declarations(EXAMPLE.read_bytes())
        self.assertEqual(len(found.customers), 5)
        self.assertEqual(found.customer("northern-university").max_in_flight, 192)
        self.assertEqual(found.customer("town-college").max_in_flight, 64)
        rules = found.pool("label-registry").version_rules
        self.assertEqual(rules.first_share_permille, 2)
        self.assertEqual(rules.unproven_share_permille, 50)

    def test_bookings_are_not_idempotent(self):
        """Availability lookups are idempotent, bookings are not."""
        pool = parse_declarations(EXAMPLE.read_bytes()).pool("reservations")
        self.assertIs(pool.kind, PoolKind.SERVICE)
        self.assertTrue(pool.is_idempotent("GET", "/availability/hall-4"))
        self.assertFalse(pool.is_idempotent("POST", "/bookings"))
        self.assertFalse(pool.is_idempotent("GET", "/bookings"))

    def test_docstring_examples_run(self):
        """The examples in the docstrings run and give the results shown."""
        for module in (document, effective, schema):
            self.assertEqual(doctest.testmod(module).failed, 0)

    def test_every_number_has_bounds(self):
        """Each integer field of a record has a row in the table of bounds."""
        for kind in schema.RECORD_TYPES:
            specs = {**schema.record_fields(kind), **schema.exception_fields(kind)}
            for spec in specs.values():
                if spec.type is int:
                    self.assertTrue(spec.has_own_bounds, f"{spec.owner}.{spec.name}")


class FaultTests(unittest.TestCase):
    def test_all_faults_are_reported_at_once(self):
        """Faults of all sections are reported together, with their lines and fields."""
        text = f"""tiers:
  - {TIER}
  - {{name: a, rank: 0, deadline_ms: 10s, first_token_target_ms: 9, max_queued: 1}}
customers:
  - {{name: no, highest_tier: zz, key_sha256: [abc]}}
pools:
  - {{name: x, kind: modl, stable_version: 1.0}}
  - 7
exceptions:
  - {{kind: pool, name: x, field: foo, value: 3}}
  - {{kind: pool, name: y, field: weight, value: 3, reason: It is for the test.}}
  - {{kind: tier, name: a, field: max_queued, value: -1, reason: short}}
nope: 3
"""
        found = {(line, field) for line, field, _ in faults_of(text)}
        self.assertEqual(
            found,
            {
                (3, "tiers[1].deadline_ms"),
                (3, "tiers[1].max_queued"),
                (3, "tiers[1].name"),
                (3, "tiers[1].rank"),
                (5, "customers[0].name"),
                (5, "customers[0].highest_tier"),
                (5, "customers[0].key_sha256[0]"),
                (7, "pools[0].kind"),
                (7, "pools[0].stable_version"),
                (8, "pools[1]"),
                (10, "exceptions[0].field"),
                (10, "exceptions[0].reason"),
                (11, "exceptions[1].field"),
                (11, "exceptions[1].name"),
                (12, "exceptions[2].value"),
                (12, "exceptions[2].reason"),
                (13, "nope"),
            },
        )

    def test_text_of_a_fault(self):
        """The text gives the file, line, field, problem and allowed values."""
        with self.assertRaises(DeclarationFaults) as caught:
            parse_declarations(f"tiers:\n- {TIER}\nfoo: 1\n".encode(), "fleet.yaml")
        self.assertIn(
            "fleet.yaml:3: foo: is an unknown section; allowed: a mapping of defaults,",
            str(caught.exception),
        )

    def test_key_of_two_customers(self):
        """Guards against counting requests against the limit of another customer.

        Two customers have the same key by mistake. The file is rejected, and the fault
        names both.
        """
        key = "0" * 64
        text = f"""tiers: [{TIER}]
customers:
- {{name: one, highest_tier: a, key_sha256: ['{key}']}}
- {{name: two, highest_tier: a, key_sha256: ['{key}']}}
"""
        ((line, field, problem),) = faults_of(text)
        self.assertEqual((line, field), (4, "customers[1].key_sha256"))
        self.assertIn("customers[0]", problem)

    def test_numbers_in_other_notations_of_yaml(self):
        """Guards against a limit that YAML reads as another number.

        An operator writes 010 or 1:30, which YAML 1.1 reads as 8 and 90. Both are
        rejected, as is a number with thousands of digits.
        """
        for value in ("010", "1:30", "0x10", "1e3", "yes", "9" * 5000, "''"):
            text = f"defaults: {{customer: {{weight: {value}}}}}\ntiers: [{TIER}]"
            fields = [field for _, field, _ in faults_of(text)]
            self.assertEqual(fields, ["defaults.customer.weight"], value)

    def test_a_field_that_is_given_twice(self):
        """Guards against a limit in the file that has no effect.

        It is given twice in one record, far apart. YAML uses the last one, and an
        operator may read the first. The file is rejected.
        """
        text = f"tiers: [{TIER}]\ndefaults:\n  tier:\n    max_queued: 1\n  tier: {{}}"
        ((line, field, problem),) = faults_of(text)
        self.assertEqual((line, field), (5, "defaults.tier"))
        self.assertIn("line 3", problem)

    def test_shares_in_the_wrong_order(self):
        """An exception that raises the first share above the maximum is a fault."""
        text = f"""tiers: [{TIER}]
pools: [{{name: p, kind: model, stable_version: v1}}]
exceptions:
- {{kind: pool, name: p, field: version_rules.first_share_permille, value: 60,
   reason: This pool has few requests.}}
"""
        ((line, field, _),) = faults_of(text)
        self.assertEqual(line, 4)
        self.assertTrue(field.endswith("first_share_permille"), field)

    def test_files_that_are_not_declarations(self):
        """Empty, binary, oversized, deeply nested and aliased files give one fault."""
        cases = {
            b"": "empty",
            b"# a comment": "empty",
            b"a: 1\n\xff": "UTF-8",
            b"\x00": "character",
            b"a: [": "not YAML",
            b"a: 1\n---\nb: 1": "not YAML",
            b"x" * 5_000_000: "bytes",
            b"[" * 100_000: "nest",
            b"[" * 20 + b"]" * 20: "levels deep",
            b"a: &x 1\nb: *x": "alias",
        }
        for data, word in cases.items():
            (fault,) = check_file(data)
            self.assertEqual(fault.field, "file")
            self.assertIn(word, fault.problem)

    @given(st.binary(max_size=60) | st.text(max_size=60).map(str.encode))
    def test_any_bytes_give_faults_and_no_other_error(self, data):
        """For arbitrary bytes, the check returns a list of faults."""
        self.assertTrue(check_file(data))

    @given(
        st.recursive(
            st.none() | st.booleans() | st.integers() | st.text(max_size=5),
            lambda inner: (
                st.lists(inner, max_size=3)
                | st.dictionaries(
                    st.sampled_from(
                        ["tiers", "pools", "name", "kind", "value", "defaults", "field"]
                    ),
                    inner,
                    max_size=4,
                )
            ),
            max_leaves=12,
        )
    )
    def test_any_tree_gives_faults_and_no_other_error(self, tree):
        """For arbitrary content of the sections, the check returns a list of faults."""
        for text in (json.dumps(tree), json.dumps({"exceptions": tree})):
            self.assertTrue(check_file(text.encode()))
