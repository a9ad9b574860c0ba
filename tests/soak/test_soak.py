"""A short soak with fixed seeds; more by hand, see `tests.soak.soak`."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from tests.soak.soak import soak

if TYPE_CHECKING:
    from pathlib import Path

SEEDS = (1, 2)


@pytest.mark.parametrize("seed", SEEDS)
async def test_no_promise_is_broken(seed: int, tmp_path: Path) -> None:
    outcome = await soak(seed, tmp_path, for_s=8.0, daemons=3)
    assert outcome.faults == [], outcome.plan
    assert outcome.counts["200"] > 50
