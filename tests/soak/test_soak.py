"""A short soak with fixed seeds; more by hand, see `tests.soak.soak`."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from tests.soak.soak import soak

if TYPE_CHECKING:
    from pathlib import Path

SEEDS = (1, 2)
PLANNED_SEEDS = (11, 12)
TOGETHER_SEEDS = (21,)
STREAM_SEEDS = (31,)
# Played as when it was found: a process outlived its stop.
FOUND_SEED = 3033


@pytest.mark.parametrize(
    ("seed", "faults"),
    [
        *((seed, "all") for seed in SEEDS),
        *((seed, "planned") for seed in PLANNED_SEEDS),
        *((seed, "together") for seed in TOGETHER_SEEDS),
        *((seed, "streams") for seed in STREAM_SEEDS),
    ],
)
async def test_no_promise_is_broken(seed: int, faults: str, tmp_path: Path) -> None:
    outcome = await soak(seed, tmp_path, for_s=8.0, daemons=3, faults=faults)
    assert outcome.faults == [], outcome.plan
    assert outcome.counts["200"] > 50


async def test_no_promise_is_broken_by_a_seed_that_broke_one(tmp_path: Path) -> None:
    """Failure: a process is killed 2.5 s after it said that it had stopped."""
    outcome = await soak(FOUND_SEED, tmp_path, for_s=12.0, daemons=4, faults="streams")
    assert outcome.faults == [], outcome.plan
