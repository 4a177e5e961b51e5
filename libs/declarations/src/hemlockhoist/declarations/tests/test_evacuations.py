import unittest

from hemlockhoist.declarations import (
    DeclarationFaults,
    check_declarations,
    check_file,
    diff,
    diff_text,
    from_sections,
    parse_declarations,
    sections,
)

TIERS = """
tiers:
  - {name: chat, rank: 0, deadline_ms: 20000, first_token_target_ms: 310}
"""
EVACUATED = """
exceptions:
  - kind: failure_domain
    name: coast-a
    field: evacuated
    value: true
    reason: The power of its hall is replaced until Friday.
"""


def parsed(text):
    return parse_declarations((TIERS + text).encode())


class EvacuationTests(unittest.TestCase):
    def test_evacuation_is_an_exception_with_its_reason(self):
        found = parsed(EVACUATED)
        reason = "The power of its hall is replaced until Friday."
        self.assertEqual(found.evacuations(), {"coast-a": reason})
        check_declarations(found)
        self.assertEqual(from_sections(sections(found)), found)
        shown = diff_text(diff(parsed(""), found))
        self.assertIn("+ exception failure_domain coast-a evacuated: true", shown)
        self.assertIn(reason, shown)

    def test_domain_that_is_in_use_needs_no_exception(self):
        kept = parsed(EVACUATED.replace("value: true", "value: false"))
        self.assertEqual(kept.evacuations(), {})

    def test_invalid_exceptions_are_faults(self):
        """Guards against evacuating a domain, or failing to, because of a typo."""
        for old, new in (
            ("value: true", "value: yes"),
            ("field: evacuated", "field: drained"),
            ("reason: The power of its hall is replaced until Friday.", "reason: no"),
            ("kind: failure_domain", "kind: zone"),
        ):
            with self.subTest(new):
                text = TIERS + EVACUATED.replace(old, new)
                self.assertTrue(check_file(text.encode()))

    def test_exception_received_as_a_record_is_checked(self):
        found = parsed(EVACUATED)
        (item,) = found.exceptions
        wrong = type(item)(
            kind=item.kind,
            name=item.name,
            field=item.field,
            value="yes",
            reason=item.reason,
        )
        broken = type(found)(tiers=found.tiers, exceptions=(wrong,))
        with self.assertRaises(DeclarationFaults):
            check_declarations(broken)
