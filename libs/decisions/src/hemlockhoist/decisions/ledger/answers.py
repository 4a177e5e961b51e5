"""Keeps answers for replay within a byte budget."""

import collections


class AnswerCache:
    """Drops the oldest answers when the budget is used up.

    Made for a service whose answers are far larger than its keys: records must
    outlive answers, because a record is what stops a second run, and an answer only
    spares the caller a look-up.

    Parameters
    ==========
    max_bytes : int
    """

    __slots__ = ("_kept", "max_bytes", "used_bytes")

    def __init__(self, max_bytes):
        self.max_bytes = max_bytes
        self.used_bytes = 0
        self._kept = collections.OrderedDict()

    def keep(self, record, answer):
        """Attach ``answer`` to ``record`` if it fits at all."""
        self.drop(record)
        if answer is None or answer.size_bytes() > self.max_bytes:
            return
        record.answer = answer
        self._kept[record.id] = record
        self.used_bytes += answer.size_bytes()
        while self.used_bytes > self.max_bytes:
            self.drop(next(iter(self._kept.values())))

    def drop(self, record):
        """Detach the record's answer, if it has one."""
        if self._kept.pop(record.id, None) is None:
            return
        self.used_bytes -= record.answer.size_bytes()
        record.answer = None
