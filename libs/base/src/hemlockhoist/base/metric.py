"""The row type of the table of metrics."""

import enum

import msgspec

PREFIX = "hemlockhoist"


class MetricKind(enum.Enum):
    """The statsd type of a metric."""

    COUNTER = "counter"
    GAUGE = "gauge"
    TIMER = "timer"


class Metric(msgspec.Struct, frozen=True):
    """A row of the table of metrics.

    Parameters
    ==========
    name : str
        The name without ``PREFIX`` and without the label's value, which is appended.
    kind : MetricKind
    label : str
        The name of the label; empty if there is none.
    help : str
        The meaning of the metric.
    remedy : str
        How to react to unusual values.
    unit : str
        The unit of the values; empty for a count.
    """

    name: str
    kind: MetricKind
    label: str
    help: str
    remedy: str
    unit: str = ""
