"""Measures how fast each engine generates, compared with the other engines of its service.

Engines of one service may differ in speed permanently: calls that are spread evenly fill the slow
ones first, and every program with a call on a slow engine is late. A host receives an answer of a
given engine only every few seconds, so each host reports to the other hosts, with each heartbeat,
one answer of an engine whose speed differs from the usual one.
"""

from __future__ import annotations

from typing import NamedTuple

# The initial guess that an engine is as fast as the others weighs as much as this many answers:
# a single answer may be slow because the engine's batch was full.
GUESS_ANSWERS = 1.0
# Number of answers from which the newest one has a fixed weight, one divided by this number: an
# engine that has become permanently slower is detected after about as many answers.
MAX_ANSWERS = 12
# Weight of the newest answer in the usual time between events of the service.
NEWEST_WEIGHT = 0.05
# Engines whose time between events differs from the usual one by a smaller part than this are not
# reported.
REPORTED_DIFFERENCE = 0.15


class SpeedSample(NamedTuple):
    """The mean time between the events of one stream of an engine."""

    backend_id: str
    event_interval_ms: float


class _Speed(NamedTuple):
    event_ms: float
    answers: int


class EngineSpeeds:
    """Times between events of engines, from the answers to this host and the reports of others."""

    def __init__(self) -> None:
        self._engines: dict[str, _Speed] = {}
        self._usual_ms: dict[str, float] = {}
        self._reportable: SpeedSample | None = None

    def observe(self, service: str, answer: SpeedSample) -> None:
        """Records an answer that this host received."""
        # Only answers that this host received change the usual time: other hosts report only
        # engines that differ from it, and their reports would shift it.
        usual_ms = self._usual_ms.get(service, answer.event_interval_ms)
        self._usual_ms[service] = usual_ms + NEWEST_WEIGHT * (answer.event_interval_ms - usual_ms)
        self.add_sample(answer)
        if abs(self.slowness(service, answer.backend_id) - 1) >= REPORTED_DIFFERENCE:
            self._reportable = answer

    def add_sample(self, answer: SpeedSample) -> None:
        """Records an answer that any host received."""
        known = self._engines.get(answer.backend_id) or _Speed(answer.event_interval_ms, 0)
        answers = min(MAX_ANSWERS, known.answers + 1)
        mean_ms = known.event_ms + (answer.event_interval_ms - known.event_ms) / answers
        self._engines[answer.backend_id] = _Speed(mean_ms, answers)

    def take_reportable(self) -> SpeedSample | None:
        """Returns the newest answer to report to the other hosts, once; None if there is none."""
        answer, self._reportable = self._reportable, None
        return answer

    def slowness(self, service: str, backend_id: str) -> float:
        """Returns an engine's time between events in multiples of the usual one; 1 if unknown."""
        known = self._engines.get(backend_id)
        usual_ms = self._usual_ms.get(service, 0.0)
        if known is None or usual_ms <= 0:
            return 1.0
        measured = known.answers * known.event_ms / usual_ms
        return (measured + GUESS_ANSWERS) / (known.answers + GUESS_ANSWERS)

    def forget(self, backend_id: str) -> None:
        """Drops the answers of an engine that has left."""
        self._engines.pop(backend_id, None)
