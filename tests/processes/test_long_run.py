"""A short form of the longer run, so that CI breaks the promises at random as well."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tests.processes import long_run

if TYPE_CHECKING:
    from pathlib import Path

CALLS = 150


def test_no_promise_is_broken_under_random_faults(tmp_path: Path) -> None:
    """Something is doubled, lost, mixed, cut, overspent or falsely said not to have been run.

    Daemons are killed and frozen, the log and the backend servers fail, in any order and together.
    """
    summary = long_run.run(tmp_path, calls=CALLS, seed=5)
    assert not any(summary["broken"].values()), summary
    assert summary["run"]["non_idempotent_calls"] >= CALLS
