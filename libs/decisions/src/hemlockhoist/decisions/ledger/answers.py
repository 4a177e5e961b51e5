"""Cache of answers for replay, bounded in bytes."""

import collections


class AnswerCache:
    """Keeps answers up to a byte budget and evicts the oldest first.

    Answers can be far larger than keys, so records outlive answers: a record is what
    prevents a second run, while an answer only saves the caller from having to look up
    the result.

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
        """Attach ``answer`` to ``record`` unless it alone exceeds the budget."""
        self.drop(record)
        if answer is None or answer.size_bytes() > self.max_bytes:
            return
        record.answer = answer
        self._kept[record.id] = record
        self.used_bytes += answer.size_bytes()
        while self.used_bytes > self.max_bytes:
            self.drop(next(iter(self._kept.values())))

    def drop(self, record):
        """Remove the record's answer, if it has one."""
        if self._kept.pop(record.id, None) is None:
            return
        self.used_bytes -= record.answer.size_bytes()
        record.answer = None
