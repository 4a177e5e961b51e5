"""Requests and retries of a sliding window, in buckets."""

import collections

# The window is divided into this many buckets; each expires as a whole.
BUCKET_COUNT = 20


class _Bucket:
    __slots__ = ("number", "part_requests", "requests", "retries")

    def __init__(self, number):
        self.number = number
        self.requests = 0
        # Those of them that came while a part of the fleet could not be reached.
        self.part_requests = 0
        self.retries = 0


class RetryWindow:
    """Counts the requests and retries that one home admitted in a sliding window.

    Parameters
    ==========
    window_ms : int

    Attributes
    ==========
    change_count : int
        Number of changes so far.

    Examples
    ========
    >>> from hemlockhoist.decisions.limits.retry_window import RetryWindow
    >>> window = RetryWindow(window_ms=10_000)
    >>> window.count_request(now_ms=0)
    >>> window.count_retry(now_ms=4_000)
    >>> window.totals(now_ms=5_000), window.totals(now_ms=12_000)
    ((1, 0, 1), (0, 0, 1))
    """

    __slots__ = ("_bucket_ms", "_buckets", "_window_ms", "change_count")

    def __init__(self, window_ms):
        self._window_ms = window_ms
        self._bucket_ms = max(1, window_ms // BUCKET_COUNT)
        self._buckets = collections.deque()
        self.change_count = 0

    def count_request(self, now_ms, is_of_part=False):
        """Count the first attempt of a request.

        Parameters
        ==========
        now_ms : int
        is_of_part : bool, optional
            Whether it came while a part of the fleet could not be reached.
        """
        bucket = self._current_bucket(now_ms)
        bucket.requests += 1
        bucket.part_requests += is_of_part
        self.change_count += 1

    def count_retry(self, now_ms):
        """Count an attempt beyond the first."""
        self._current_bucket(now_ms).retries += 1
        self.change_count += 1

    def remove_retry(self, counted_ms):
        """Remove a retry that was counted at a time; return whether it still was."""
        number = counted_ms // self._bucket_ms
        for bucket in self._buckets:
            if bucket.number == number and bucket.retries:
                bucket.retries -= 1
                self.change_count += 1
                return True
        return False

    def totals(self, now_ms):
        """Return what is in the window.

        Returns
        =======
        (int, int, int)
            The requests, those of them that came while a part of the fleet could not be
            reached, and the retries.
        """
        self._expire(now_ms)
        requests = sum(bucket.requests for bucket in self._buckets)
        of_part = sum(bucket.part_requests for bucket in self._buckets)
        retries = sum(bucket.retries for bucket in self._buckets)
        return requests, of_part, retries

    def by_age(self, now_ms):
        """Return ``(age_ms, requests, retries)`` of the window.

        A bucket has the age of its end: no retry is forgotten before its time.
        """
        self._expire(now_ms)
        return tuple(
            (
                max(0, now_ms - (bucket.number + 1) * self._bucket_ms + 1),
                bucket.requests,
                bucket.retries,
            )
            for bucket in self._buckets
            if bucket.requests or bucket.retries
        )

    def _current_bucket(self, now_ms):
        number = now_ms // self._bucket_ms
        self._expire(now_ms)
        if not self._buckets or self._buckets[-1].number != number:
            self._buckets.append(_Bucket(number))
        return self._buckets[-1]

    def _expire(self, now_ms):
        oldest = (now_ms - self._window_ms) // self._bucket_ms
        while self._buckets and self._buckets[0].number < oldest:
            self._buckets.popleft()
