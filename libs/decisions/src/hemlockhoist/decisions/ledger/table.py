"""In-memory table of records, bounded in number and dropped by epoch."""

import collections

from hemlockhoist.decisions.ledger.answers import AnswerCache
from hemlockhoist.decisions.ledger.record import IN_PROGRESS_STATES


class RecordTable:
    """Records indexed by customer and key, and by the epoch in which they are dropped.

    Parameters
    ==========
    max_records : int
    max_answer_bytes : int
    """

    __slots__ = ("_buckets", "_records", "answers", "max_records")

    def __init__(self, max_records, max_answer_bytes):
        self.max_records = max_records
        self.answers = AnswerCache(max_answer_bytes)
        self._records = {}
        self._buckets = collections.defaultdict(dict)

    def __len__(self):
        return len(self._records)

    def __iter__(self):
        return iter(tuple(self._records.values()))

    @property
    def is_full(self):
        """Whether the table cannot hold a further record."""
        return len(self._records) >= self.max_records

    def get(self, customer, key_text):
        """Return the record of a customer's key, or None."""
        return self._records.get((customer, key_text))

    def add(self, record, drop_epoch):
        """Add a record that is dropped when ``drop_epoch`` begins."""
        record.drop_epoch = drop_epoch
        self._records[record.id] = record
        self._buckets[drop_epoch][record.id] = record

    def set_drop_epoch(self, record, drop_epoch):
        """Change the epoch in which a record is dropped; its answer is kept."""
        self._buckets[record.drop_epoch].pop(record.id, None)
        self.add(record, drop_epoch)

    def remove(self, record):
        """Remove a record and its answer."""
        self.answers.drop(record)
        self._records.pop(record.id, None)
        self._buckets[record.drop_epoch].pop(record.id, None)

    def forget_until(self, epoch):
        """Drop the records due by ``epoch``, except those in progress.

        If a record in progress were dropped with its epoch, its key would look unseen
        while the request runs. Such a record stays until the request has ended.
        """
        for due in [item for item in self._buckets if item <= epoch]:
            for record in self._buckets.pop(due).values():
                if record.state in IN_PROGRESS_STATES:
                    self.add(record, epoch + 1)
                else:
                    self.answers.drop(record)
                    del self._records[record.id]
