"""How calls ended over time, how long they took, and what was lost meanwhile."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING
from typing import NamedTuple

from quincespool.explain.story import AROUND

if TYPE_CHECKING:
    from quincespool.explain.log_lines import LogLine


class Span(NamedTuple):
    """One stretch of time.

    Attributes:
      outcomes: Answers to callers, by outcome.
      took_ms: Median and 95th percentile of whole turns, from the owner's start to its end.
      record_ms: The same of the time from a turn's last event to its durable record.
      around: Lines on what daemons depend on, by message.
    """

    from_ms: int
    outcomes: dict[str, int]
    took_ms: tuple[float, float]
    record_ms: tuple[float, float]
    around: dict[str, int]


def make_timeline(lines: list[LogLine], *, step_ms: int) -> list[Span]:
    """Returns the spans from the first line to the last, those without a line included.

    Raises:
      ValueError: if the step is not positive.
    """
    if step_ms <= 0:
        raise ValueError("the step must be positive")
    if not lines:
        return []
    first_ms = min(line.at_ms for line in lines)
    count = (max(line.at_ms for line in lines) - first_ms) // step_ms + 1
    by_span: list[list[LogLine]] = [[] for _ in range(count)]
    for line in lines:
        by_span[(line.at_ms - first_ms) // step_ms].append(line)
    return [_span(first_ms + at * step_ms, own) for at, own in enumerate(by_span)]


def _span(from_ms: int, lines: list[LogLine]) -> Span:
    answered = [line for line in lines if line.message == "call answered"]
    turns = [line for line in lines if line.message == "turn ended"]
    return Span(
        from_ms=from_ms,
        outcomes=dict(Counter(line.text("outcome") for line in answered)),
        took_ms=_percentiles(turns, "took_ms"),
        record_ms=_percentiles(turns, "record_ms"),
        around=dict(Counter(line.message for line in lines if line.message in AROUND)),
    )


def _percentiles(lines: list[LogLine], name: str) -> tuple[float, float]:
    values = sorted(value for line in lines if (value := line.number(name)) is not None)
    if not values:
        return 0.0, 0.0
    return values[len(values) // 2], values[min(len(values) - 1, int(0.95 * len(values)))]
