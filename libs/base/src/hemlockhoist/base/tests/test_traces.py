import asyncio
import time
import unittest

from opentelemetry.sdk.trace.export import SimpleSpanProcessor
from opentelemetry.sdk.trace.export.in_memory_span_exporter import InMemorySpanExporter

from hemlockhoist.base.traces import (
    TRACEPARENT,
    Hop,
    Traces,
    context_to_text,
    headers_with_context,
    parent_from_headers,
    parent_from_text,
)


def in_memory(sample_permille=1_000):
    exporter = InMemorySpanExporter()
    processor = SimpleSpanProcessor(exporter)
    return Traces.from_processor(processor, sample_permille, "a"), exporter


class TraceTests(unittest.IsolatedAsyncioTestCase):
    async def test_one_span_for_each_hop(self):
        """The spans of all hops form one trace, each a child of the hop before."""
        entry, entry_spans = in_memory()
        home, home_spans = in_memory(sample_permille=0)
        with entry.span(Hop.CALLER, parent_from_headers({}), pool="chat"):
            with entry.span(Hop.GRANT):
                text = context_to_text()
                decision = home.start_span(Hop.HOME, parent_from_text(text))
                await asyncio.sleep(0)
                decision.end()
            with entry.span(Hop.UPSTREAM):
                headers = headers_with_context({"Accept": "text/plain"})
        spans = {
            span.name: span
            for span in (
                *entry_spans.get_finished_spans(),
                *home_spans.get_finished_spans(),
            )
        }
        self.assertEqual(len(spans), 4)
        self.assertEqual(len({span.context.trace_id for span in spans.values()}), 1)
        caller, grant = spans[Hop.CALLER.value], spans[Hop.GRANT.value]
        upstream, decided = spans[Hop.UPSTREAM.value], spans[Hop.HOME.value]
        self.assertEqual(grant.parent.span_id, caller.context.span_id)
        self.assertEqual(upstream.parent.span_id, caller.context.span_id)
        self.assertEqual(decided.parent.span_id, grant.context.span_id)
        self.assertEqual(caller.attributes["pool"], "chat")
        self.assertIn(f"{upstream.context.span_id:016x}", headers[TRACEPARENT])
        self.assertEqual(headers["Accept"], "text/plain")

    async def test_context_of_caller_is_joined(self):
        """The span joins the caller's trace, and its sampling decision applies."""
        traces, exporter = in_memory(sample_permille=0)
        parent = "00-" + "ab" * 16 + "-" + "cd" * 8 + "-01"
        with traces.span(Hop.CALLER, parent_from_headers({TRACEPARENT: parent})):
            pass
        (span,) = exporter.get_finished_spans()
        self.assertEqual(f"{span.context.trace_id:032x}", "ab" * 16)

    async def test_malformed_contexts_start_a_trace(self):
        """A malformed context from a caller or host does not fail the request."""
        traces, exporter = in_memory()
        for text in ("", "x", "00-" + "0" * 32 + "-" + "0" * 16 + "-01", "\x00" * 99):
            with traces.span(Hop.CALLER, parent_from_text(text)):
                pass
        roots = [span.parent for span in exporter.get_finished_spans()]
        self.assertEqual(roots, [None] * 4)

    async def test_message_without_context_joins_no_other_trace(self):
        """A message without a context does not join the current span.

        A home may handle it while a span of another request is current in the same
        task. Joining that span would mix two requests in one trace.
        """
        traces, exporter = in_memory()
        with traces.span(Hop.CALLER, parent_from_text("")):
            traces.start_span(Hop.HOME, parent_from_text("")).end()
        ids = {span.context.trace_id for span in exporter.get_finished_spans()}
        self.assertEqual(len(ids), 2)

    async def test_context_is_propagated_without_endpoint(self):
        """Nothing is recorded, but the caller's context still reaches the upstream."""
        traces = Traces.from_config(None, 1_000, "a")
        parent = "00-" + "ab" * 16 + "-" + "cd" * 8 + "-00"
        with traces.span(Hop.CALLER, parent_from_headers({TRACEPARENT: parent})):
            headers = headers_with_context({})
        self.assertIn("ab" * 16, headers[TRACEPARENT])
        await traces.close()

    async def test_unreachable_collector_does_not_delay_the_stop(self):
        """Closing ends in time although the collector is unreachable.

        An exporter that retried for long would delay the planned stop of the host.
        """
        traces = Traces.from_config("http://127.0.0.1:1", 1_000, "a")
        with traces.span(Hop.CALLER, parent_from_text("")):
            pass
        started = time.perf_counter()
        await traces.close()
        self.assertLess(time.perf_counter() - started, 6)
