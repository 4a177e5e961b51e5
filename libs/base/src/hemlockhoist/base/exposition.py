"""The metrics of a host as text, in the format that Prometheus reads."""

from hemlockhoist.base.metrics import BUCKETS_MS
from hemlockhoist.base.metrics_table import PREFIX, MetricKind

LABEL = "label"


class _Collector:
    """Hands the values of ``Metrics`` to the library at each reading."""

    def __init__(self, metrics):
        self._metrics = metrics

    def collect(self):
        """Yield the library's families, one for each metric."""
        values = {
            **self._metrics.totals,
            **self._metrics.gauges(),
            **self._metrics.histograms,
        }
        families = {}
        for name, (metric, label) in list(self._metrics.series.items()):
            if name in values:
                family = families.get(metric.name)
                if family is None:
                    family = families[metric.name] = _family(metric)
                _add(family, metric, label, values[name])
        yield from families.values()


def _family(metric):
    # Imported where it is used: a host whose metrics nobody reads spares its memory,
    # and a starting host the time.
    from prometheus_client import core

    name = f"{PREFIX}_{metric.name}".replace(".", "_")
    labels = (LABEL,) if metric.label else ()
    kinds = {
        MetricKind.COUNTER: core.CounterMetricFamily,
        MetricKind.GAUGE: core.GaugeMetricFamily,
        MetricKind.TIMER: core.HistogramMetricFamily,
    }
    return kinds[metric.kind](name, metric.help, labels=labels)


def _add(family, metric, label, value):
    labels = (label,) if metric.label else ()
    if metric.kind is not MetricKind.TIMER:
        family.add_metric(labels, value)
        return
    buckets, total = [], 0
    bounds = [str(bound) for bound in BUCKETS_MS] + ["+Inf"]
    for bound, count in zip(bounds, value.counts, strict=True):
        total += count
        buckets.append((bound, total))
    family.add_metric(labels, buckets, value.sum_ms)


def exposition(metrics):
    """Return all metrics as the bytes of a page.

    Parameters
    ==========
    metrics : Metrics
    """
    from prometheus_client import CollectorRegistry, generate_latest

    registry = CollectorRegistry(auto_describe=False)
    registry.register(_Collector(metrics))
    return generate_latest(registry)
