"""Traces by OpenTelemetry: one span for each hop of a request.

The context travels in HTTP headers (W3C ``traceparent``) and, between hosts, in a
text field of the peers' messages.
"""

import asyncio
import contextlib
import enum

from opentelemetry import context, trace
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import TracerProvider
from opentelemetry.sdk.trace.export import BatchSpanProcessor
from opentelemetry.sdk.trace.sampling import (
    ALWAYS_OFF,
    ParentBased,
    TraceIdRatioBased,
)
from opentelemetry.trace.propagation.tracecontext import TraceContextTextMapPropagator

SERVICE = "hemlockhoist"
TRACEPARENT = "traceparent"
TRACES_PATH = "/v1/traces"
# A collector that is down must not hold up a planned stop.
EXPORT_TIMEOUT_S = 2
MAX_QUEUED_SPANS = 2_048
_PERMILLE = 1_000
_PROPAGATOR = TraceContextTextMapPropagator()
_NO_PARENT = trace.set_span_in_context(trace.INVALID_SPAN)


class Hop(enum.Enum):
    """The hops of a request; the value is the span's name."""

    CALLER = "caller request"
    GRANT = "grant request"
    HOME = "grant decision"
    UPSTREAM = "upstream call"
    RESUME = "stream resume"


HOP_KINDS = {
    Hop.CALLER: trace.SpanKind.SERVER,
    Hop.GRANT: trace.SpanKind.CLIENT,
    Hop.HOME: trace.SpanKind.SERVER,
    Hop.UPSTREAM: trace.SpanKind.CLIENT,
    Hop.RESUME: trace.SpanKind.SERVER,
}
HOP_HELP = {
    Hop.CALLER: "On the entry host: from arrival to the last byte sent.",
    Hop.GRANT: "On the entry host: from asking the pool's home to its answer.",
    Hop.HOME: "On the home: from the question to the grant or refusal.",
    Hop.UPSTREAM: "On the entry host: from dispatch to the last byte received.",
    Hop.RESUME: "On the host that resumes a broken stream for the caller.",
}


class Traces:
    """Makes the spans of one host.

    Parameters
    ==========
    provider : opentelemetry.sdk.trace.TracerProvider
    """

    __slots__ = ("_provider", "_records", "_tracer")

    def __init__(self, provider, records=True):
        self._provider = provider
        self._records = records
        self._tracer = provider.get_tracer(SERVICE)

    @classmethod
    def from_config(cls, endpoint, sample_permille, host_id, failure_domain=""):
        """Return traces that go to an OTLP endpoint.

        Parameters
        ==========
        endpoint : str or None
            ``http://IP:port``; None records nothing, and contexts are passed on all
            the same.
        sample_permille : int
            Share of traces begun here that is recorded.
        host_id, failure_domain : str
        """
        if endpoint is None:
            return cls(TracerProvider(sampler=ParentBased(ALWAYS_OFF)), records=False)
        # Imported where it is used: the exporter brings an HTTP client and a codec of
        # its own, 2 of a host's 54 MB, and a host without an endpoint sends no traces.
        from opentelemetry.exporter.otlp.proto.http.trace_exporter import (
            OTLPSpanExporter,
        )

        exporter = OTLPSpanExporter(
            endpoint=endpoint.rstrip("/") + TRACES_PATH, timeout=EXPORT_TIMEOUT_S
        )
        processor = BatchSpanProcessor(exporter, max_queue_size=MAX_QUEUED_SPANS)
        return cls.from_processor(processor, sample_permille, host_id, failure_domain)

    @classmethod
    def from_processor(cls, processor, sample_permille, host_id, failure_domain=""):
        """Return traces that go to a span processor, such as one in memory."""
        resource = Resource.create(
            {
                "service.name": SERVICE,
                "service.instance.id": host_id,
                "hemlockhoist.failure_domain": failure_domain,
            }
        )
        sampler = ParentBased(TraceIdRatioBased(sample_permille / _PERMILLE))
        provider = TracerProvider(
            sampler=sampler, resource=resource, shutdown_on_exit=False
        )
        provider.add_span_processor(processor)
        return cls(provider)

    async def start(self):
        """Begin; spans may be made before, too."""

    async def close(self):
        """Send what is left, within the time limit of an export."""
        await asyncio.to_thread(self._provider.shutdown)

    def span(self, hop, parent=None, **attributes):
        """Return a context manager whose span is current inside it.

        An exception that leaves it is recorded and marks the span as failed.

        Parameters
        ==========
        hop : Hop
        parent : object, optional
            From ``parent_from_headers`` or ``parent_from_text``; the current span by
            default.
        attributes
            Values that may be seen by anyone who sees traces: no keys, no bodies.
        """
        if not self._records:
            return _passing_on(parent)
        return self._tracer.start_as_current_span(
            hop.value, context=parent, kind=HOP_KINDS[hop], attributes=attributes
        )

    def context_for_peer(self):
        """Return the current context for a peer's message; empty where none is kept.

        A context is a quarter of a question for a place.
        """
        return context_to_text() if self._records else ""

    def start_span(self, hop, parent=None, **attributes):
        """Return a started span that its owner ends, for hops without a frame."""
        if not self._records:
            return trace.INVALID_SPAN
        return self._tracer.start_span(
            hop.value, context=parent, kind=HOP_KINDS[hop], attributes=attributes
        )


@contextlib.contextmanager
def _passing_on(parent):
    """Make a caller's context current for a hop that is not recorded.

    Load: a host without an endpoint made three spans a request that nobody reads, a
    tenth of a request's processor time.
    """
    if parent is None:
        yield trace.get_current_span()
        return
    token = context.attach(parent)
    try:
        yield trace.get_current_span()
    finally:
        context.detach(token)


def headers_with_context(headers, span=None):
    """Return headers with the context of a span added.

    Parameters
    ==========
    headers : mapping of str to str
    span : opentelemetry.trace.Span, optional
        The current one by default.
    """
    carrier = dict(headers)
    _PROPAGATOR.inject(carrier, context=_context_of(span))
    return carrier


def parent_from_headers(headers):
    """Return the parent that a request's headers name, for ``Traces.span``.

    A malformed header names none, and a new trace begins.
    """
    text = headers.get(TRACEPARENT, "")
    return parent_from_text(text)


def context_to_text(span=None):
    """Return the context of a span as text for a peer's message."""
    carrier = {}
    _PROPAGATOR.inject(carrier, context=_context_of(span))
    return carrier.get(TRACEPARENT, "")


def parent_from_text(text):
    """Return the parent that a peer's message names.

    The result is never None: a message without a context begins a trace of its own,
    and does not join whatever span happens to be current.
    """
    if not text:
        return _NO_PARENT
    return _PROPAGATOR.extract({TRACEPARENT: text}, context=_NO_PARENT)


def _context_of(span):
    return None if span is None else trace.set_span_in_context(span)
