"""OpenTelemetry traces with one span for each hop of a request.

The context is propagated in HTTP headers (W3C ``traceparent``) and, between hosts, in
a text field of the messages.
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
# Short, so that an unreachable collector does not delay a planned stop.
EXPORT_TIMEOUT_S = 2
MAX_QUEUED_SPANS = 2_048
_PERMILLE = 1_000
_PROPAGATOR = TraceContextTextMapPropagator()
_NO_PARENT = trace.set_span_in_context(trace.INVALID_SPAN)


class Hop(enum.Enum):
    """The hops of a request; the values are the names of the spans."""

    CALLER = "caller request"
    GRANT = "grant request"
    HOME = "grant decision"
    UPSTREAM = "upstream call"
    RELAY = "relayed call"
    RESUME = "stream resume"


HOP_KINDS = {
    Hop.CALLER: trace.SpanKind.SERVER,
    Hop.GRANT: trace.SpanKind.CLIENT,
    Hop.HOME: trace.SpanKind.SERVER,
    Hop.UPSTREAM: trace.SpanKind.CLIENT,
    Hop.RELAY: trace.SpanKind.SERVER,
    Hop.RESUME: trace.SpanKind.SERVER,
}
HOP_HELP = {
    Hop.CALLER: "On the entry host: from arrival to the last byte sent.",
    Hop.GRANT: "On the entry host: from the request to the pool's home to its answer.",
    Hop.HOME: "On the home: from the request to the grant or refusal.",
    Hop.UPSTREAM: "On the entry host: from dispatch to the last byte received.",
    Hop.RELAY: "On a host that relays for another: from the offer to the last byte.",
    Hop.RESUME: "On the host that resumes an interrupted stream for the caller.",
}


class Traces:
    """Creates the spans of one host.

    Parameters
    ==========
    provider : opentelemetry.sdk.trace.TracerProvider
    records : bool, optional
        Whether spans are recorded; if not, contexts are only propagated.
    """

    __slots__ = ("_provider", "_records", "_tracer")

    def __init__(self, provider, records=True):
        self._provider = provider
        self._records = records
        self._tracer = provider.get_tracer(SERVICE)

    @classmethod
    def from_config(cls, endpoint, sample_permille, host_id, failure_domain=""):
        """Return a ``Traces`` whose spans are exported to an OTLP endpoint.

        Parameters
        ==========
        endpoint : str or None
            ``http://IP:port``. If None, nothing is recorded, but contexts are still
            propagated.
        sample_permille : int
            The share of recorded traces among those that start at this host.
        host_id, failure_domain : str
        """
        if endpoint is None:
            return cls(TracerProvider(sampler=ParentBased(ALWAYS_OFF)), records=False)
        # Imported here because the exporter loads its own HTTP client and codec, which
        # take 2 MB of a host's 54 MB, and are not needed without an endpoint.
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
        """Return a ``Traces`` whose spans are passed to a span processor."""
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
        """Do nothing; spans can be created before the start."""

    async def close(self):
        """Export the remaining spans, within the timeout of an export."""
        await asyncio.to_thread(self._provider.shutdown)

    def span(self, hop, parent=None, **attributes):
        """Return a context manager in which a new span is the current one.

        An exception that propagates out of it is recorded and marks the span as failed.

        Parameters
        ==========
        hop : Hop
        parent : object, optional
            The result of ``parent_from_headers`` or ``parent_from_text``; the current
            span by default.
        attributes
            Attributes of the span. They must not contain secrets, such as keys or
            bodies, as everyone with access to the traces can read them.
        """
        if not self._records:
            return _propagate_context(parent)
        return self._tracer.start_as_current_span(
            hop.value, context=parent, kind=HOP_KINDS[hop], attributes=attributes
        )

    def context_for_peer(self):
        """Return the current context as text for a message to another host.

        The text is empty if spans are not recorded, as it makes up a quarter of the
        size of a grant request.
        """
        return context_to_text() if self._records else ""

    def start_span(self, hop, parent=None, **attributes):
        """Return a started span that the caller must end.

        For hops that do not end in the function that starts them.
        """
        if not self._records:
            return trace.INVALID_SPAN
        return self._tracer.start_span(
            hop.value, context=parent, kind=HOP_KINDS[hop], attributes=attributes
        )


@contextlib.contextmanager
def _propagate_context(parent):
    """Make the caller's context current without creating a span.

    On a host without an endpoint, creating three unread spans per request took a tenth
    of the request's processor time.
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
    """Return a copy of headers with the context of a span added.

    Parameters
    ==========
    headers : mapping of str to str
    span : opentelemetry.trace.Span, optional
        The span; the current one by default.
    """
    carrier = dict(headers)
    _PROPAGATOR.inject(carrier, context=_context_of(span))
    return carrier


def parent_from_headers(headers):
    """Return the parent context from the headers of a request, for ``Traces.span``.

    If the header is missing or malformed, a new trace begins.
    """
    text = headers.get(TRACEPARENT, "")
    return parent_from_text(text)


def context_to_text(span=None):
    """Return the context of a span as text for a message to another host."""
    carrier = {}
    _PROPAGATOR.inject(carrier, context=_context_of(span))
    return carrier.get(TRACEPARENT, "")


def parent_from_text(text):
    """Return the parent context from the text of a message.

    The result is never None: a message without a context begins a new trace instead of
    joining the current span.
    """
    if not text:
        return _NO_PARENT
    return _PROPAGATOR.extract({TRACEPARENT: text}, context=_NO_PARENT)


def _context_of(span):
    return None if span is None else trace.set_span_in_context(span)
