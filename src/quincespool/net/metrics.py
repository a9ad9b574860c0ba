"""The metrics of a daemon, by name, and their rendering for Prometheus."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aioprometheus.collectors import Counter
from aioprometheus.collectors import Gauge
from aioprometheus.collectors import Histogram
from aioprometheus.collectors import Registry
from aioprometheus.renderer import render

from quincespool.net.metric_table import METRICS

if TYPE_CHECKING:
    from collections.abc import Callable

    from quincespool.net.metric_table import MetricSpec

PREFIX = "quincespool_"
_LATENCY_BUCKETS = (1, 2, 5, 10, 20, 50, 100, 200, 500, 1e3, 2e3, 5e3, 1e4, 3e4, 6e4, float("inf"))


class UnknownMetricError(KeyError):
    """A metric that is not in `METRICS`, or is there with another kind."""


class Metrics:
    """The values of one daemon. What is watched is read when the metrics are rendered."""

    def __init__(self) -> None:
        self._registry = Registry()
        self._counters: dict[str, Counter] = {}
        self._histograms: dict[str, Histogram] = {}
        self._watched: dict[str, Callable[[], float]] = {}
        for name, spec in METRICS.items():
            self._register(name, spec)

    def count(self, metric: str, amount: float = 1, **labels: str) -> None:
        """Adds to a counter.

        Raises:
          UnknownMetricError: if there is no such counter.
        """
        counter = self._counters.get(metric)
        if counter is None:
            raise UnknownMetricError(metric)
        counter.add(labels, amount)

    def observe(self, metric: str, value: float, **labels: str) -> None:
        """Adds a value to a histogram.

        Raises:
          UnknownMetricError: if there is no such histogram.
        """
        histogram = self._histograms.get(metric)
        if histogram is None:
            raise UnknownMetricError(metric)
        histogram.add(labels, float(value))

    def watch(self, metric: str, read: Callable[[], float]) -> None:
        """Renders a gauge, or a counter without labels that is kept elsewhere, by calling `read`.

        Raises:
          UnknownMetricError: if there is no such gauge or counter.
        """
        spec = METRICS.get(metric)
        if spec is None or spec.kind == "histogram":
            raise UnknownMetricError(metric)
        self._watched[metric] = read

    def render(self) -> tuple[bytes, str]:
        """Returns the text for Prometheus and its media type."""
        for name, read in self._watched.items():
            self._registry.get(PREFIX + name).set_value({}, read())
        content, headers = render(self._registry, [])
        return content, headers["Content-Type"]

    def _register(self, name: str, spec: MetricSpec) -> None:
        full_name = PREFIX + name
        if spec.kind == "counter":
            self._counters[name] = Counter(full_name, spec.help, registry=self._registry)
        elif spec.kind == "histogram":
            self._histograms[name] = Histogram(
                full_name, spec.help, registry=self._registry, buckets=_LATENCY_BUCKETS
            )
        else:
            Gauge(full_name, spec.help, registry=self._registry)
