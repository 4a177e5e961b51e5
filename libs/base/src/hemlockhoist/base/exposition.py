"""The metrics of a host in the Prometheus text format."""

from hemlockhoist.base.metrics import BUCKETS_MS
from hemlockhoist.base.metrics_table import PREFIX, MetricKind

LABEL = "label"


class _Collector:
    """Converts the values of ``Metrics`` to metric families at each scrape."""

    def __init__(self, metrics):
        self._metrics = metrics

    def collect(self):
        """Yield one metric family for each metric."""
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
                    family = families[metric.name] = _new_family(metric)
                _add_samples(family, metric, label, values[name])
        yield from families.values()


def _new_family(metric):
    # Imported here to save memory on hosts whose metrics are never scraped, and time
    # at startup.
    from prometheus_client import core

    name = f"{PREFIX}_{metric.name}".replace(".", "_")
    labels = (LABEL,) if metric.label else ()
    family_types = {
        MetricKind.COUNTER: core.CounterMetricFamily,
        MetricKind.GAUGE: core.GaugeMetricFamily,
        MetricKind.TIMER: core.HistogramMetricFamily,
    }
    return family_types[metric.kind](name, metric.help, labels=labels)


def _add_samples(family, metric, label, value):
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
    """Return all metrics as bytes in the Prometheus text format.

    Parameters
    ==========
    metrics : Metrics
    """
    from prometheus_client import CollectorRegistry, generate_latest

    registry = CollectorRegistry(auto_describe=False)
    registry.register(_Collector(metrics))
    return generate_latest(registry)
