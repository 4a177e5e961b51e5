"""Generates ``docs/METRICS.md`` from the tables of metrics and hops."""

from hemlockhoist.base.metrics_table import METRICS, PREFIX
from hemlockhoist.base.traces import HOP_HELP, HOP_KINDS, Hop

_HEAD = f"""# Metrics and traces

Generated from `hemlockhoist.base.metrics_table` and `hemlockhoist.base.traces`; a test
checks that this page is up to date. To regenerate it:
`python -m hemlockhoist.base.metrics_doc > docs/METRICS.md`.

## Metrics

Sent to the statsd server at `statsd_address` once a second, with the prefix `{PREFIX}`.
If a metric has a label, the label's value is the last part of the name, with characters
other than letters, digits, `-` and `_` replaced by `_`:
`{PREFIX}.requests.good.interactive`. Each host sends its own values; sum them over the
fleet.

The metrics address serves the same values in the Prometheus text format: dots become
underscores, names of counters end in `_total`, the label is named `label`, and timers
are histograms: `{PREFIX}_queue_wait_ms_bucket`. On the users' platform it is port 9464
of the host, path `/metrics` (`deploy/system.toml`).

The four main measures of the service are `requests.good` (goodput by tier),
`prefill.wasted_tokens`, `moves.finished_in_time` and `moves.taken_back`.

| Name | Kind | Label | Unit | Meaning | What to do |
|---|---|---|---|---|---|
"""

_TRACES = """
## Traces

There is one span for each hop. Spans are exported by OTLP over HTTP if `otlp_endpoint`
is set. The context is passed in the header `traceparent` (W3C) between caller, host and
upstream, and in a text field of the messages between hosts. `trace_sample_permille` is
the share of recorded traces among those that start at a host; if a caller sends
`traceparent`, its sampling decision applies.

| Span | Kind | Covers |
|---|---|---|
"""


def metrics_page():
    """Return the page as Markdown."""
    rows = "".join(
        f"| `{item.name}` | {item.kind.value} | {item.label or 'none'} "
        f"| {item.unit or 'count'} | {item.help} | {item.remedy} |\n"
        for item in METRICS
    )
    spans = "".join(
        f"| `{hop.value}` | {HOP_KINDS[hop].name.lower()} | {HOP_HELP[hop]} |\n"
        for hop in Hop
    )
    return _HEAD + rows + _TRACES + spans


if __name__ == "__main__":
    print(metrics_page(), end="")
