"""From when on an answer that has not begun speaks against its backend server.

Answers backend servers that turn slow while others of their service don't. How long answers take
differs by service and by load, so the limit follows what is seen; a burst that slows all of them
raises it.
"""

from __future__ import annotations

from quincespool.policy.answer_times import AnswerTimes

# Deviations beyond the mean. Work that differs by a factor of four from call to call stays below.
OVERDUE_DEVIATIONS = 8
# Fewer answers of a service say too little of what is usual there.
LEAST_SAMPLES = 8
# Pauses of the event loop and of the network reach some tens of milliseconds.
LEAST_OVERDUE_MS = 100.0


class UsualTimes:
    """How long answers take to begin, by service."""

    def __init__(self) -> None:
        self._times: dict[str, AnswerTimes] = {}
        self._samples: dict[str, int] = {}

    def observe(self, service: str, took_ms: float) -> None:
        """Takes in how long an answer took to begin."""
        times = self._times.get(service)
        if times is None:
            times = self._times[service] = AnswerTimes(first_mean_ms=took_ms)
        times.observe(took_ms)
        self._samples[service] = self._samples.get(service, 0) + 1

    def overdue_ms(self, service: str) -> float | None:
        """Returns the time after which an answer is overdue, None while that is not known."""
        if self._samples.get(service, 0) < LEAST_SAMPLES:
            return None
        times = self._times[service]
        limit_ms = times.mean_ms + OVERDUE_DEVIATIONS * times.deviation_ms
        return max(LEAST_OVERDUE_MS, limit_ms)
