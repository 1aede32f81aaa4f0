"""Latency quantiles from HDR histograms, as a Prometheus summary."""

from collections.abc import Callable, Iterator

from hdrh import histogram
from prometheus_client import core as prometheus

QUANTILES = (0.5, 0.9, 0.95, 0.99, 0.999)
WINDOW_S = 60.0
"""Time after which a new histogram begins. Quantiles are taken over the present
histogram and the one before, so they cover the last one to two windows."""

MAX_US = 3_600_000_000
"""Upper bound of recorded latencies, in microseconds; longer ones count as this
long."""

SIGNIFICANT_DIGITS = 2
"""Decimal digits to which the histograms resolve a latency."""

_US_PER_S = 1_000_000


class LatencySummary:
    """Latency summary of one metric, with at most one label."""

    def __init__(
        self,
        name: str,
        help_text: str,
        label: str,
        monotonic: Callable[[], float],
    ) -> None:
        self.name = name
        self._help = help_text
        self._label = label
        self._monotonic = monotonic
        self._series: dict[str, _Series] = {}

    def observe(self, seconds: float, label_value: str = "") -> None:
        """Records one latency under a value of the label."""
        series = self._series.get(label_value)
        if series is None:
            series = _Series(self._monotonic())
            self._series[label_value] = series
        series.observe(seconds, self._monotonic())

    def quantile(self, quantile: float, label_value: str = "") -> float:
        """Returns a quantile over the last one to two windows, in seconds.

        It is 0 if there is no latency in that time.
        """
        series = self._series.get(label_value)
        if series is None:
            return 0.0
        return series.quantile(quantile, self._monotonic())

    def collect(self) -> Iterator[prometheus.Metric]:
        """Yields the summary for the registry."""
        metric = prometheus.Metric(self.name, self._help, "summary")
        for value, series in self._series.items():
            labels = {self._label: value} if self._label else {}
            for quantile in QUANTILES:
                seconds = series.quantile(quantile, self._monotonic())
                with_quantile = {**labels, "quantile": str(quantile)}
                metric.add_sample(self.name, with_quantile, seconds)
            metric.add_sample(f"{self.name}_count", labels, series.count)
            metric.add_sample(f"{self.name}_sum", labels, series.sum_s)
        yield metric


class _Series:
    """Latencies of one value of the label."""

    def __init__(self, now: float) -> None:
        self.count = 0
        self.sum_s = 0.0
        self._current = _new_histogram()
        self._previous = _new_histogram()
        self._window_start = now

    def observe(self, seconds: float, now: float) -> None:
        self._rotate(now)
        self.count += 1
        self.sum_s += seconds
        micros = min(max(int(seconds * _US_PER_S), 1), MAX_US)
        self._current.record_value(micros)

    def quantile(self, quantile: float, now: float) -> float:
        self._rotate(now)
        merged = _new_histogram()
        merged.add(self._current)
        merged.add(self._previous)
        micros = merged.get_value_at_percentile(quantile * 100)
        return float(micros) / _US_PER_S

    def _rotate(self, now: float) -> None:
        if now - self._window_start < WINDOW_S:
            return
        is_stale = now - self._window_start >= 2 * WINDOW_S
        self._previous = _new_histogram() if is_stale else self._current
        self._current = _new_histogram()
        self._window_start = now


def _new_histogram() -> histogram.HdrHistogram:
    return histogram.HdrHistogram(1, MAX_US, SIGNIFICANT_DIGITS)
