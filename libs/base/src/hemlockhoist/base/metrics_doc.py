"""The page ``docs/METRICS.md``, generated from the tables of metrics and hops."""

from hemlockhoist.base.metrics_table import METRICS, PREFIX
from hemlockhoist.base.traces import HOP_HELP, HOP_KINDS, Hop

_HEAD = f"""# Metrics and traces

Generated from `hemlockhoist.base.metrics_table` and `hemlockhoist.base.traces`; a test
checks that this page matches. To write it anew:
`python -m hemlockhoist.base.metrics_doc > docs/METRICS.md`.

## Metrics

Sent by statsd to `statsd_address` once a second, below the prefix `{PREFIX}`. Where a
metric has a label, its value is the last part of the name, with characters other than
letters, digits, `-` and `_` replaced by `_`: `{PREFIX}.requests.good.interactive`.
Each host sends its own; add them up over the fleet.

On the metrics address the same values are served as text in Prometheus' format, from
the same registry: dots become underscores, counters end in `_total`, the label is called
`label`, and timers are histograms: `{PREFIX}_queue_wait_ms_bucket`. On the users'
platform the address is the host's, port 9464, path `/metrics` (`deploy/system.toml`).

The brief's four measures are `requests.good` (goodput by tier),
`prefill.wasted_tokens`, `moves.finished_in_time` and `moves.taken_back`.

| Name | Kind | Label | Unit | Meaning | When it moves |
|---|---|---|---|---|---|
"""

_TRACES = """
## Traces

One span for each hop, exported by OTLP over HTTP when `otlp_endpoint` is set. The
context travels in the header `traceparent` (W3C) between caller, host and upstream, and
in a text field of the messages between hosts. `trace_sample_permille` of the traces
begun here are recorded; where a caller sends `traceparent`, its decision holds.

| Span | Kind | Covers |
|---|---|---|
"""


def metrics_page():
    """Return the page as Markdown text."""
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
