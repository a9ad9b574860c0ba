"""How fast each engine generates, beside the others of its service.

Answers engines of one service that differ in speed, always: calls spread alike fill the slow ones
first, and every program that meets one of them is late. A host sees an engine every few seconds; of
those that differ, hosts tell one another one answer with each heartbeat.
"""

from __future__ import annotations

from typing import NamedTuple

# Answers that say as much as the guess that an engine is like the others: one answer alone may
# have met a full batch.
GUESS_ANSWERS = 1.0
# Answers after which the newest one counts for a fixed part: an engine that has turned slower for
# good is found out after as many.
MOST_ANSWERS = 12
# Weight of the newest answer in what is usual for the service.
NEWEST_WEIGHT = 0.05
# Engines that differ by less from what is usual are not told of.
TOLD_DIFFERENCE = 0.15


class Answer(NamedTuple):
    """The mean time between the events of one stream."""

    backend_id: str
    event_ms: float


class _Speed(NamedTuple):
    event_ms: float
    answers: int


class EngineSpeeds:
    """Times between events, as one host has seen and heard them."""

    def __init__(self) -> None:
        self._engines: dict[str, _Speed] = {}
        self._usual_ms: dict[str, float] = {}
        self._to_tell: Answer | None = None

    def observe(self, service: str, answer: Answer) -> None:
        """Takes in an answer to this host."""
        # What is heard of others is chosen, and would shift what is usual.
        usual_ms = self._usual_ms.get(service, answer.event_ms)
        self._usual_ms[service] = usual_ms + NEWEST_WEIGHT * (answer.event_ms - usual_ms)
        self.hear(answer)
        if abs(self.slowness(service, answer.backend_id) - 1) >= TOLD_DIFFERENCE:
            self._to_tell = answer

    def hear(self, answer: Answer) -> None:
        """Takes in an answer to any host."""
        known = self._engines.get(answer.backend_id) or _Speed(answer.event_ms, 0)
        answers = min(MOST_ANSWERS, known.answers + 1)
        mean_ms = known.event_ms + (answer.event_ms - known.event_ms) / answers
        self._engines[answer.backend_id] = _Speed(mean_ms, answers)

    def take_to_tell(self) -> Answer | None:
        """Returns the newest answer that the other hosts should know of, once."""
        answer, self._to_tell = self._to_tell, None
        return answer

    def slowness(self, service: str, backend_id: str) -> float:
        """Returns how many times the usual time it takes; 1 if nothing is known."""
        known = self._engines.get(backend_id)
        usual_ms = self._usual_ms.get(service, 0.0)
        if known is None or usual_ms <= 0:
            return 1.0
        seen = known.answers * known.event_ms / usual_ms
        return (seen + GUESS_ANSWERS) / (known.answers + GUESS_ANSWERS)

    def forget(self, backend_id: str) -> None:
        """Drops what is known of an engine that is gone."""
        self._engines.pop(backend_id, None)
