"""Command line of the comparison; see docs/measurements.md."""

from __future__ import annotations

import sys
import time

import fire

from quincespool.policy.experiment.compare import tables
from quincespool.policy.experiment.workload import MIXES
from quincespool.policy.protocol import BackendView
from quincespool.policy.protocol import CallView
from quincespool.policy.registry import POLICY_NAMES
from quincespool.policy.registry import make_policy

TUNING_SEEDS = (1, 2, 3)
HELD_OUT_SEEDS = (101, 102, 103)


def compare(mix: str, seeds: str = "held-out", scenario: str = "", *, release: bool = True) -> None:
    """Prints tables.

    Args:
      mix: `abay` or `harwick`.
      seeds: `held-out` or `tuning`.
      scenario: One scenario by its name, such as `80%`; empty for all.
      release: Whether the cache of ended programs is released by order.
    """
    chosen = {"held-out": HELD_OUT_SEEDS, "tuning": TUNING_SEEDS}[seeds]
    for line in tables(MIXES[mix], seeds=chosen, scenario_name=scenario, release=release):
        sys.stdout.write(line + "\n")
        sys.stdout.flush()


def decision_time(engines: int = 15, calls: int = 20_000) -> None:
    """Prints the mean time of one whole decision (admit, choose, rank) for each policy."""
    views = [_view(number) for number in range(engines)]
    for name in POLICY_NAMES:
        policy = make_policy(name)
        started = time.perf_counter()
        for number in range(calls):
            call = _call(number)
            policy.admit(call, views)
            policy.choose(call, views, now_ms=number)
            policy.rank(call, now_ms=number)
        mean_us = (time.perf_counter() - started) / calls * 1e6
        sys.stdout.write(f"| {name} | {mean_us:.1f} |\n")


def _view(number: int) -> BackendView:
    return BackendView(
        name=f"engine-{number}",
        zone=f"zone-{number % 4}",
        slots=8,
        running=min(number, 8),
        waiting=number // 4,
        waiting_tokens=4000 * number,
        reported_running=number,
        summary_age_ms=100,
        cached_tokens=3000 if number == 7 else 0,
        live_tokens=9000 * number,
        capacity_tokens=160_000,
    )


def _call(number: int) -> CallView:
    return CallView(
        program_id=f"program-{number}",
        call_number=1 + number % 5,
        prompt_tokens=4000,
        max_tokens=1024,
        attained_ms=1000,
        program_age_ms=9000,
        deadline_left_ms=80_000,
        priority=0,
        sub_agent=False,
    )


if __name__ == "__main__":
    fire.Fire({"compare": compare, "decision-time": decision_time})
