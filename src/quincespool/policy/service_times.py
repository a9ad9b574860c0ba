"""How long answers usually take, and which ones take far longer.

Answers backend servers that turn slow or fill up while others of their service don't. How long
answers take differs by service and by load, so nothing here is a fixed time: a burst that slows all
of a service raises what is usual there.
"""

from __future__ import annotations

from typing import NamedTuple

from quincespool.policy.answer_times import AnswerTimes

# Deviations beyond the mean. Work that differs by a factor of four from call to call stays below.
OVERDUE_DEVIATIONS = 8
# Fewer answers of a service say too little of what is usual there.
LEAST_SAMPLES = 8
# Pauses of the event loop and of the network reach some tens of milliseconds.
LEAST_OVERDUE_MS = 100.0
# Weight of the newest answer of a backend server: about the last five count.
NEWEST_WEIGHT = 0.2
# What was seen of one backend server is worth half after this long. Without it, one that was slow
# once gets no call that would show that it is no longer; bursts last some seconds.
HALF_LIFE_MS = 4_000


class ServiceTimes:
    """Times of each service, over all of its backend servers."""

    def __init__(self) -> None:
        self._begins: dict[str, AnswerTimes] = {}
        self._wholes: dict[str, AnswerTimes] = {}
        self._samples: dict[str, int] = {}

    def observe_begin(self, service: str, took_ms: float) -> None:
        """Takes in how long an answer took to begin."""
        _observe(self._begins, service, took_ms)
        self._samples[service] = self._samples.get(service, 0) + 1

    def observe_whole(self, service: str, took_ms: float) -> None:
        """Takes in how long an answer took to its end."""
        _observe(self._wholes, service, took_ms)

    def begin_ms(self, service: str) -> float:
        """Returns how long answers usually take to begin; 0 if none was seen."""
        times = self._begins.get(service)
        return times.mean_ms if times is not None else 0.0

    def whole_ms(self, service: str) -> float:
        """Returns how long answers usually take to their end; 0 if none was seen."""
        times = self._wholes.get(service)
        return times.mean_ms if times is not None else 0.0

    def overdue_ms(self, service: str) -> float | None:
        """Returns after how long an answer that has not begun is overdue, None if not known yet."""
        if self._samples.get(service, 0) < LEAST_SAMPLES:
            return None
        times = self._begins[service]
        limit_ms = times.mean_ms + OVERDUE_DEVIATIONS * times.deviation_ms
        return max(LEAST_OVERDUE_MS, limit_ms)


def _observe(all_times: dict[str, AnswerTimes], service: str, took_ms: float) -> None:
    times = all_times.get(service)
    if times is None:
        times = all_times[service] = AnswerTimes(first_mean_ms=took_ms)
    times.observe(took_ms)


class _Latency(NamedTuple):
    mean_ms: float
    seen_ms: int


class BackendLatencies:
    """How long answers of each backend server took to begin, as one daemon has seen."""

    def __init__(self) -> None:
        self._latencies: dict[str, _Latency] = {}

    def observe(self, backend_id: str, took_ms: float, now_ms: int) -> None:
        """Takes in how long an answer took to begin."""
        known = self._latencies.get(backend_id)
        mean_ms = known.mean_ms if known is not None else took_ms
        mean_ms += NEWEST_WEIGHT * (took_ms - mean_ms)
        self._latencies[backend_id] = _Latency(mean_ms, now_ms)

    def mean_ms(self, backend_id: str) -> float:
        """Returns the moving average; 0 if none was seen."""
        known = self._latencies.get(backend_id)
        return known.mean_ms if known is not None else 0.0

    def excess_ms(self, backend_id: str, usual_ms: float, now_ms: int) -> float:
        """Returns by how much it lies beyond what is usual, less the older it is."""
        known = self._latencies.get(backend_id)
        if known is None:
            return 0.0
        age_ms = max(0, now_ms - known.seen_ms)
        faded: float = 0.5 ** (age_ms / HALF_LIFE_MS)
        return (known.mean_ms - usual_ms) * faded

    def forget(self, backend_id: str) -> None:
        """Drops what is known of a backend server that is gone."""
        self._latencies.pop(backend_id, None)
