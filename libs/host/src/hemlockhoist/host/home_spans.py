"""Trace spans of the requests that wait at a home."""

from hemlockhoist.base.traces import Hop, parent_from_text


class HomeSpans:
    """Begins and ends the spans of one pool's home.

    Parameters
    ==========
    pool : str
    traces : Traces
    """

    __slots__ = ("_pool", "_spans", "_traces")

    def __init__(self, pool, traces):
        self._pool = pool
        self._traces = traces
        self._spans = {}

    def __len__(self):
        return len(self._spans)

    def begin(self, brief):
        """Begin the span of a request, below the one of its entry host."""
        parent = parent_from_text(brief.trace)
        self._spans[brief.request_id] = self._traces.start_span(
            Hop.HOME, parent, pool=self._pool, tier=brief.tier_rank
        )

    def end(self, request_id, **attributes):
        """End the span of a request, if it has one."""
        span = self._spans.pop(request_id, None)
        if span is not None:
            span.set_attributes(attributes)
            span.end()

    def close(self):
        """End all spans."""
        for span in self._spans.values():
            span.end()
        self._spans.clear()
