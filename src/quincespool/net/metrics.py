"""The metrics of a daemon, by name, and their rendering for Prometheus."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Literal
from typing import NamedTuple

from aioprometheus.collectors import Counter
from aioprometheus.collectors import Gauge
from aioprometheus.collectors import Histogram
from aioprometheus.collectors import Registry
from aioprometheus.renderer import render

if TYPE_CHECKING:
    from collections.abc import Callable

PREFIX = "quincespool_"
_LATENCY_BUCKETS = (1, 2, 5, 10, 20, 50, 100, 200, 500, 1e3, 2e3, 5e3, 1e4, 3e4, 6e4, float("inf"))


class MetricSpec(NamedTuple):
    """Kind and help text of one metric."""

    kind: Literal["counter", "histogram", "gauge"]
    help: str


_NO_METRIC = MetricSpec("histogram", "")

METRICS: dict[str, MetricSpec] = {
    "http_requests_total": MetricSpec("counter", "Answered requests by status."),
    "http_refused_connections_total": MetricSpec("counter", "Connections beyond the bound."),
    "http_dropped_connections_total": MetricSpec("counter", "Callers that read too slowly."),
    "http_connections": MetricSpec("gauge", "Open connections of callers and operators."),
    "http_response_ms": MetricSpec("histogram", "From a whole request to its whole answer."),
    "exchanges_total": MetricSpec("counter", "Requests to backend servers by how they ended."),
    "exchanges": MetricSpec("gauge", "Requests to backend servers under way."),
    "log_appends_total": MetricSpec("counter", "Appends to the log by how they ended."),
    "log_reads_total": MetricSpec("counter", "Reads of the log by how they ended."),
    "link_messages_sent_total": MetricSpec("counter", "Messages to other daemons."),
    "link_messages_received_total": MetricSpec("counter", "Messages from other daemons."),
    "link_bytes_sent_total": MetricSpec("counter", "Bytes to other daemons over TCP."),
    "link_bytes_received_total": MetricSpec("counter", "Bytes from other daemons over TCP."),
    "link_losses_total": MetricSpec("counter", "Links that broke or could not be made."),
    "datagram_bytes_sent_total": MetricSpec("counter", "Bytes of membership datagrams."),
    "datagram_bytes_received_total": MetricSpec("counter", "Bytes of membership datagrams."),
    "undecoded_total": MetricSpec("counter", "Messages and datagrams that were dropped unread."),
    "event_failures_total": MetricSpec("counter", "Events whose handling raised an exception."),
    "effect_failures_total": MetricSpec("counter", "Effects that could not be carried out."),
    "ready": MetricSpec("gauge", "1 when the daemon has read what it needs to serve."),
    "processor_seconds": MetricSpec("gauge", "Processor time of the process."),
    "resident_bytes": MetricSpec("gauge", "Memory of the process."),
}


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
        if METRICS.get(metric, _NO_METRIC).kind == "histogram":
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
