"""Figures with their spread, and what the machine was doing when they were taken."""

from __future__ import annotations

import os
import statistics
from typing import TYPE_CHECKING
from typing import TypedDict

if TYPE_CHECKING:
    from collections.abc import Iterable


class Spread(TypedDict):
    """Values of one figure, all in the unit that the figure's name carries."""

    median: float
    least: float
    most: float
    samples: int


def spread(values: Iterable[float]) -> Spread:
    """Returns the spread of at least one value.

    Raises:
      statistics.StatisticsError: if there is none.
    """
    kept = sorted(values)
    return Spread(
        median=_rounded(statistics.median(kept)),
        least=_rounded(kept[0]),
        most=_rounded(kept[-1]),
        samples=len(kept),
    )


def quantile(values: Iterable[float], share: float) -> float:
    """Returns the least value that at least `share` of the values do not exceed."""
    kept = sorted(values)
    place = max(0, min(len(kept) - 1, int(-(-share * len(kept) // 1)) - 1))
    return _rounded(kept[place])


def load_average() -> float:
    """Returns the machine's load over the last minute: others' work disturbs the figures."""
    return round(os.getloadavg()[0], 2)


def _rounded(value: float) -> float:
    return float(f"{value:.4g}")
