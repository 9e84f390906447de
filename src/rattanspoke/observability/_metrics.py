"""Metrics in the Prometheus text format."""

from aioprometheus import Counter, Gauge, Registry, render

from ..contracts import COUNTERS, Counters, Metric
from ..kernel import Kernel

QUANTILES = (0.5, 0.9, 0.99, 0.999)
TEXT_FORMAT = 'text/plain; version=0.0.4'


def render_metrics(kernel: Kernel) -> str:
    """Return every counter and distribution of a host in the Prometheus text format.

    Frequently executed code updates plain numbers; they are converted to metrics of the
    aioprometheus library only here.
    """
    counters = kernel.find(COUNTERS)
    registry = Registry()
    exported: dict[str, Counter] = {}
    for (metric, label), total in counters.totals().items():
        if metric.value not in exported:
            exported[metric.value] = Counter(
                metric.value, metric.name, registry=registry
            )
        exported[metric.value].set({'label': label} if label else {}, total)
    for metric in counters.distributions():
        _add_quantiles(registry, counters, metric)
    content, _ = render(registry, [TEXT_FORMAT])
    return str(content, encoding='utf-8')


def _add_quantiles(registry: Registry, counters: Counters, metric: Metric) -> None:
    gauge = Gauge(metric.value, metric.name, registry=registry)
    for fraction in QUANTILES:
        labels = {'quantile': str(fraction)}
        gauge.set(labels, counters.quantile(metric, fraction))
