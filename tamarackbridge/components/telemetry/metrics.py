"""Prometheus registry of one router: counters, gauges, latency summaries."""

from collections.abc import Callable, Iterable, Mapping, Sequence
import time

import prometheus_client
from prometheus_client import exposition, metrics_core, registry

from tamarackbridge.components.telemetry import latency, processor

CONTENT_TYPE = exposition.CONTENT_TYPE_LATEST
PREFIX = "tamarackbridge_"


class Metrics:
    """Metrics of one router.

    Counters and latency summaries are created on the first call with a name;
    later calls return the same one.
    """

    def __init__(self, monotonic: Callable[[], float] = time.monotonic) -> None:
        self._monotonic = monotonic
        self._registry = prometheus_client.CollectorRegistry()
        self._counters: dict[str, prometheus_client.Counter] = {}
        self._latencies: dict[str, latency.LatencySummary] = {}
        prometheus_client.ProcessCollector(registry=self._registry)

    def counter(
        self, name: str, help_text: str, labels: Sequence[str] = ()
    ) -> prometheus_client.Counter:
        """Returns the counter of this name."""
        if name not in self._counters:
            self._counters[name] = prometheus_client.Counter(
                PREFIX + name, help_text, labels, registry=self._registry
            )
        return self._counters[name]

    def gauge(
        self, name: str, help_text: str, read: Callable[[], float]
    ) -> None:
        """Adds a gauge; `read` is called whenever the metrics are rendered."""
        gauge = prometheus_client.Gauge(
            PREFIX + name, help_text, registry=self._registry
        )
        gauge.set_function(read)

    def gauge_family(
        self,
        labels: Sequence[str],
        gauges: Sequence[tuple[str, str]],
        read: Callable[[], Iterable[tuple[Sequence[str], Sequence[float]]]],
    ) -> None:
        """Adds gauges that have the same labels and are read together.

        Args:
            labels: Names of the labels.
            gauges: Name and help text of each gauge.
            read: Returns the values of the labels, each with the values of all
                gauges, whenever the metrics are rendered.
        """
        named = [(PREFIX + name, help_text) for name, help_text in gauges]
        self._registry.register(_GaugeFamily(labels, named, read))

    def callback_counter(
        self, name: str, help_text: str, read: Callable[[], float]
    ) -> None:
        """Adds a counter whose total is kept elsewhere.

        `read` returns the total, and is called whenever the metrics are
        rendered.
        """
        self._registry.register(
            _CallbackCounter(PREFIX + name, help_text, read)
        )

    def labelled_callback_counter(
        self,
        name: str,
        help_text: str,
        labels: Sequence[str],
        read: Callable[[], Mapping[tuple[str, ...], float]],
    ) -> None:
        """Adds a counter whose totals by label values are kept elsewhere."""
        self._registry.register(
            _LabelledCallbackCounter(PREFIX + name, help_text, labels, read)
        )

    def processor(self, name: str, spent: processor.ProcessorTime) -> None:
        """Adds a counter of processor time, labelled by purpose."""
        self._registry.register(
            processor.ProcessorCollector(PREFIX + name, spent)
        )

    def latency(
        self, name: str, help_text: str, label: str = ""
    ) -> latency.LatencySummary:
        """Returns the latency summary of this name, in seconds."""
        if name not in self._latencies:
            summary = latency.LatencySummary(
                PREFIX + name, help_text, label, self._monotonic
            )
            self._latencies[name] = summary
            self._registry.register(summary)
        return self._latencies[name]

    def render(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self._registry)


class _GaugeFamily(registry.Collector):
    """Gauges with labels that are read when the metrics are rendered."""

    def __init__(
        self,
        labels: Sequence[str],
        gauges: Sequence[tuple[str, str]],
        read: Callable[[], Iterable[tuple[Sequence[str], Sequence[float]]]],
    ) -> None:
        self._labels = labels
        self._gauges = gauges
        self._read = read

    def collect(self) -> Iterable[prometheus_client.Metric]:
        families = [
            metrics_core.GaugeMetricFamily(name, help_text, labels=self._labels)
            for name, help_text in self._gauges
        ]
        for labels, values in self._read():
            for family, value in zip(families, values, strict=True):
                family.add_metric(labels, value)
        return families


class _CallbackCounter(registry.Collector):
    """Counter whose total is read when the metrics are rendered."""

    def __init__(
        self, name: str, help_text: str, read: Callable[[], float]
    ) -> None:
        self._name = name
        self._help = help_text
        self._read = read

    def collect(self) -> Iterable[prometheus_client.Metric]:
        yield metrics_core.CounterMetricFamily(
            self._name, self._help, value=self._read()
        )


class _LabelledCallbackCounter(registry.Collector):
    """Counter whose totals are read when the metrics are rendered."""

    def __init__(
        self,
        name: str,
        help_text: str,
        labels: Sequence[str],
        read: Callable[[], Mapping[tuple[str, ...], float]],
    ) -> None:
        self._name = name
        self._help = help_text
        self._labels = labels
        self._read = read

    def collect(self) -> Iterable[prometheus_client.Metric]:
        family = metrics_core.CounterMetricFamily(
            self._name, self._help, labels=self._labels
        )
        for values, total in self._read().items():
            family.add_metric(values, total)
        yield family
