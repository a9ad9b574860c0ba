"""Draws a timeline."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pathlib import Path

    from quincespool.explain.timeline import Span


def draw(spans: list[Span], path: Path) -> None:
    """Writes a picture of outcomes and durations over time.

    Raises:
      ImportError: if the plotting library is not installed; daemons do without it.
    """
    # Imported here: hosts have no plotting library, and a daemon needs none.
    from matplotlib.figure import Figure  # noqa: PLC0415

    figure = Figure(figsize=(10, 6), layout="constrained")
    above, below = figure.subplots(2, 1, sharex=True)
    seconds = [(span.from_ms - spans[0].from_ms) / 1000 for span in spans]
    bottom = [0] * len(spans)
    for outcome in sorted({one for span in spans for one in span.outcomes}):
        counts = [span.outcomes.get(outcome, 0) for span in spans]
        above.bar(seconds, counts, bottom=bottom, label=outcome, width=_width(seconds))
        bottom = [low + count for low, count in zip(bottom, counts, strict=True)]
    above.set_ylabel("calls answered")
    above.legend(fontsize="small")
    for at, label in enumerate(("median", "95th percentile")):
        below.plot(seconds, [span.took_ms[at] for span in spans], label=f"turn, {label}")
        below.plot(seconds, [span.record_ms[at] for span in spans], label=f"record, {label}")
    below.set_ylabel("ms")
    below.set_xlabel("s from the first line")
    below.legend(fontsize="small")
    figure.savefig(path)


def _width(seconds: list[float]) -> float:
    return seconds[1] - seconds[0] if len(seconds) > 1 else 1.0
