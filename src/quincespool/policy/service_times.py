"""Measures how long answers usually take, and which ones take far longer.

Detects backend servers that become slow or fill up while others of their service don't. How long
answers take differs by service and by load, so the limits are not fixed times: a burst that slows
all backend servers of a service raises the usual time of that service.
"""

from __future__ import annotations

from typing import NamedTuple

from quincespool.policy.answer_times import AnswerTimes

# An answer is overdue this many deviations beyond the mean. Calls whose work differs by a factor of
# four do not exceed this limit.
OVERDUE_DEVIATIONS = 8
# With fewer answers of a service its usual time is too uncertain to call an answer overdue.
MIN_SAMPLES = 8
# No answer is overdue before this time: pauses of the event loop and of the network reach some tens
# of milliseconds.
MIN_OVERDUE_MS = 100.0
# Weight of the newest answer in the mean of its backend server, which reflects about the last five.
NEWEST_WEIGHT = 0.2
# Time in which the weight of a backend server's measured latency halves. Otherwise a server that
# was slow once would get no call that could show that it has recovered; bursts last some seconds.
HALF_LIFE_MS = 4_000


class ServiceTimes:
    """Answer times of each service, over all of its backend servers."""

    def __init__(self) -> None:
        self._first_bytes: dict[str, AnswerTimes] = {}
        self._totals: dict[str, AnswerTimes] = {}
        self._samples: dict[str, int] = {}

    def observe_first_byte(self, service: str, took_ms: float) -> None:
        """Records the time to the first byte of an answer."""
        _observe(self._first_bytes, service, took_ms)
        self._samples[service] = self._samples.get(service, 0) + 1

    def observe_total(self, service: str, took_ms: float) -> None:
        """Records the time to the end of an answer."""
        _observe(self._totals, service, took_ms)

    def first_byte_ms(self, service: str) -> float:
        """Returns the mean time to the first byte of an answer; 0 before the first answer."""
        times = self._first_bytes.get(service)
        return times.mean_ms if times is not None else 0.0

    def total_ms(self, service: str) -> float:
        """Returns the mean time to the end of an answer; 0 before the first answer."""
        times = self._totals.get(service)
        return times.mean_ms if times is not None else 0.0

    def overdue_ms(self, service: str) -> float | None:
        """Returns after how many ms a first byte is overdue; None before `MIN_SAMPLES` answers."""
        if self._samples.get(service, 0) < MIN_SAMPLES:
            return None
        times = self._first_bytes[service]
        limit_ms = times.mean_ms + OVERDUE_DEVIATIONS * times.deviation_ms
        return max(MIN_OVERDUE_MS, limit_ms)


def _observe(all_times: dict[str, AnswerTimes], service: str, took_ms: float) -> None:
    times = all_times.get(service)
    if times is None:
        times = all_times[service] = AnswerTimes(first_mean_ms=took_ms)
    times.observe(took_ms)


class _Latency(NamedTuple):
    mean_ms: float
    seen_ms: int


class BackendLatencies:
    """Time to the first byte of answers of each backend server, as measured by one daemon."""

    def __init__(self) -> None:
        self._latencies: dict[str, _Latency] = {}

    def observe(self, backend_id: str, took_ms: float, now_ms: int) -> None:
        """Records the time to the first byte of an answer."""
        known = self._latencies.get(backend_id)
        mean_ms = known.mean_ms if known is not None else took_ms
        mean_ms += NEWEST_WEIGHT * (took_ms - mean_ms)
        self._latencies[backend_id] = _Latency(mean_ms, now_ms)

    def mean_ms(self, backend_id: str) -> float:
        """Returns the moving average of the time to the first byte; 0 before the first answer."""
        known = self._latencies.get(backend_id)
        return known.mean_ms if known is not None else 0.0

    def excess_ms(self, backend_id: str, usual_ms: float, now_ms: int) -> float:
        """Returns by how much the average exceeds the usual time, reduced with its age."""
        known = self._latencies.get(backend_id)
        if known is None:
            return 0.0
        age_ms = max(0, now_ms - known.seen_ms)
        faded: float = 0.5 ** (age_ms / HALF_LIFE_MS)
        return (known.mean_ms - usual_ms) * faded

    def forget(self, backend_id: str) -> None:
        """Drops the average of a backend server that has left."""
        self._latencies.pop(backend_id, None)
