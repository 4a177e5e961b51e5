import random
import unittest

from hemlockhoist.decisions.entry import TableCopy
from hemlockhoist.decisions.entry.copies import MAX_DELETED
from hemlockhoist.store import Reading, StoreRow


def reading(version, **rows):
    """Return a reading; a row is given by its version, negative if it was deleted."""
    found = (
        StoreRow(
            key=key,
            value=None if number < 0 else b"%d" % number,
            version=abs(number),
        )
        for key, number in rows.items()
    )
    return Reading(rows=tuple(found), version=version, store_ms=version, sent_ms=0)


def changes(copy, since_version):
    found = copy.changes(since_version)
    if found is None:
        return None
    return {
        row.key: -row.version if row.value is None else row.version for row in found
    }


class ReplaceTests(unittest.TestCase):
    def setUp(self):
        self.copy = TableCopy()
        self.copy.replace(reading(10, a=3, b=7, c=9))

    def test_changes_over_a_full_reading_are_known(self):
        """Guards against hosts that all read everything as the history is dropped."""
        self.copy.replace(reading(30, a=3, c=25, d=28))
        self.assertEqual(changes(self.copy, 10), {"c": 25, "d": 28, "b": -30})
        self.assertEqual(changes(self.copy, None), {"a": 3, "c": 25, "d": 28})
        self.assertEqual((self.copy.version, self.copy.changed_version), (30, 30))

    def test_deletions_before_the_first_reading_are_not_known(self):
        self.copy.replace(reading(30, a=3))
        self.assertIsNone(changes(self.copy, 9))

    def test_row_that_was_deleted_and_written_again_is_a_change(self):
        self.copy.apply(reading(12, b=-12))
        self.copy.replace(reading(30, a=3, b=20, c=9))
        self.assertEqual(changes(self.copy, 10), {"b": 20})
        self.assertEqual(changes(self.copy, 20), {})

    def test_older_reading_is_ignored(self):
        self.copy.replace(reading(9, a=3))
        self.assertEqual(changes(self.copy, None), {"a": 3, "b": 7, "c": 9})

    def test_deletions_kept_are_bounded(self):
        many = {f"k{number}": 11 for number in range(2 * MAX_DELETED)}
        self.copy.apply(reading(11, **many))
        self.copy.replace(reading(30, a=3))
        self.assertIsNone(changes(self.copy, 11))
        self.assertEqual(changes(self.copy, 30), {})

    def test_follower_of_changes_has_the_rows_of_a_full_reading(self):
        rng = random.Random(4)
        followed = dict(changes(self.copy, None))
        table, known = dict(followed), 10
        for version in range(11, 400):
            key = rng.choice("abcdefgh")
            if rng.random() < 0.4:
                table.pop(key, None)
            else:
                table[key] = version
            if rng.random() < 0.3:
                self.copy.replace(reading(version, **table))
            if rng.random() < 0.3:
                for name, number in changes(self.copy, known).items():
                    followed.pop(name, None)
                    if number > 0:
                        followed[name] = number
                known = self.copy.version
                self.assertEqual(followed, changes(self.copy, None))
