import unittest

import msgspec

from hemlockhoist.declarations import (
    DeclarationFaults,
    FleetException,
    check_declarations,
    decode_declarations,
)
from hemlockhoist.declarations.tests.samples import example, fleet

replace = msgspec.structs.replace


def fields_of(declarations):
    try:
        check_declarations(declarations)
    except DeclarationFaults as error:
        return {fault.field for fault in error.faults}
    return set()


class RecordCheckTests(unittest.TestCase):
    def test_valid_declarations_pass(self):
        """Declarations read from a file pass, and so do those created by a program."""
        check_declarations(example())
        check_declarations(fleet(20))

    def test_an_override_without_its_exception(self):
        """Guards against a limit that differs from the default without a reason.

        A script sends records of its own, in which one customer has a larger limit
        without an exception. They are rejected, as is a record without the value that
        its exception sets.
        """
        found = example()
        customers = list(found.customers)
        customers[0] = replace(customers[0], max_in_flight=500)
        increased = replace(found, customers=tuple(customers))
        self.assertEqual(fields_of(increased), {"customers[0].max_in_flight"})
        without = replace(found, exceptions=found.exceptions[:-1])
        self.assertEqual(len(fields_of(without)), 1)

    def test_bounds_and_references_hold_for_records_too(self):
        """Faults of bounds, references, reasons and fields are reported together."""
        found = example()
        bad = replace(
            found,
            tiers=(replace(found.tiers[0], deadline_ms=0), *found.tiers[1:]),
            customers=(replace(found.customers[0], highest_tier="none"),),
            exceptions=(
                FleetException(kind="x", name="n", field="f", value=1, reason=""),
                FleetException(
                    kind="pool", name="assistant", field="a.b", value={}, reason="r" * 9
                ),
            ),
        )
        self.assertLessEqual(
            {
                "tiers[0].deadline_ms",
                "customers[0].highest_tier",
                "exceptions[0].kind",
                "exceptions[0].reason",
                "exceptions[1].field",
                "exceptions[1].reason",
            },
            fields_of(bad),
        )

    def test_empty_declarations_are_refused(self):
        """Declarations without a tier are invalid, as no request could be served."""
        self.assertEqual(fields_of(decode_declarations(b"{}")), {"tiers"})
