"""All policies side by side: same programs, same seeds; medians over the seeds and the spread."""

from __future__ import annotations

import statistics
from typing import TYPE_CHECKING
from typing import NamedTuple

from quincespool.policy.experiment.driver import Options
from quincespool.policy.experiment.driver import run
from quincespool.policy.experiment.measures import WARM_UP_MS
from quincespool.policy.experiment.measures import Measures
from quincespool.policy.experiment.measures import percentile
from quincespool.policy.experiment.workload import make_programs
from quincespool.policy.experiment.workload import shortest_ms
from quincespool.policy.registry import POLICY_NAMES
from quincespool.policy.registry import make_policy

if TYPE_CHECKING:
    from collections.abc import Iterator

    from quincespool.policy.experiment.workload import Mix
    from quincespool.policy.experiment.workload import Program

WINDOW_MS = 2_100_000
LOSS_AT_MS = WINDOW_MS // 2


class Scenario(NamedTuple):
    """A load relative to capacity, with or without the loss of an engine midway."""

    name: str
    load: float
    lose_engine: bool = False


class Variant(NamedTuple):
    """A policy with the mechanisms it may use."""

    name: str
    policy: str
    export: bool = False


SCENARIOS = (
    Scenario("50%", 0.5),
    Scenario("80%", 0.8),
    Scenario("100%", 1.0),
    Scenario("130%", 1.3),
    Scenario("80%, an engine lost", 0.8, lose_engine=True),
)

VARIANTS = (
    *(Variant(name, name) for name in POLICY_NAMES),
    Variant("program_aware, export", "program_aware", export=True),
)


def measure(
    mix: Mix, scenario: Scenario, variant: Variant, *, seed: int, release: bool = True
) -> Measures:
    """Returns the measures of one run; `release` as in `Options.release_at_end`."""
    programs = make_programs(mix, seed=seed, load=scenario.load, window_ms=WINDOW_MS)
    policies = [
        make_policy(
            variant.policy,
            latency_weight=mix.latency_weight,
            cache_weight=mix.cache_weight,
            seed=daemon,
        )
        for daemon in range(mix.daemon_count)
    ]
    options = Options(
        release_at_end=release,
        export=variant.export,
        lose_engine_at_ms=LOSS_AT_MS if scenario.lose_engine else -1,
    )
    return run(mix, programs, policies, options=options).measures()


def tables(
    mix: Mix, *, seeds: tuple[int, ...], scenario_name: str = "", release: bool = True
) -> Iterator[str]:
    """Yields the lines of a table for each scenario, or for the one that is named."""
    for scenario in SCENARIOS:
        if scenario_name not in ("", scenario.name):
            continue
        yield f"### {mix.name}, {scenario.name}"
        yield ""
        yield (
            "| policy | p50 s | p95 s | p99 s | goodput | computed again, k tokens (min-max) "
            "| again, share | held by ended, k token-s | refusals | slots used |"
        )
        yield "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |"
        yield _floor_line(mix, scenario, seeds)
        for variant in VARIANTS:
            runs = [measure(mix, scenario, variant, seed=seed, release=release) for seed in seeds]
            yield _line(variant, runs)
        yield ""


def _floor_line(mix: Mix, scenario: Scenario, seeds: tuple[int, ...]) -> str:
    cells = []
    for percent in (50, 95, 99):
        values = [
            percentile(_floors_ms(mix, programs), percent)
            for programs in (
                make_programs(mix, seed=seed, load=scenario.load, window_ms=WINDOW_MS)
                for seed in seeds
            )
        ]
        cells.append(_spread(values, scale=1000, digits=1))
    return f"| (alone on an engine) | {' | '.join(cells)} | | | | | | |"


def _floors_ms(mix: Mix, programs: list[Program]) -> list[int]:
    counted = (p for p in programs if p.arrival_ms >= WARM_UP_MS)
    return sorted(int(shortest_ms(mix.engine, program.turns)) for program in counted)


def _line(variant: Variant, runs: list[Measures]) -> str:
    cells = (
        variant.name,
        _spread([m.p50_ms for m in runs], scale=1000, digits=1),
        _spread([m.p95_ms for m in runs], scale=1000, digits=1),
        _spread([m.p99_ms for m in runs], scale=1000, digits=1),
        _spread([m.goodput for m in runs], digits=3),
        _spread([m.again_tokens for m in runs], scale=1000, digits=0),
        _spread([m.again_share for m in runs], digits=3),
        _spread([m.held_token_s for m in runs], scale=1000, digits=0),
        _spread([m.refusals for m in runs], digits=0),
        _spread([m.utilisation for m in runs], digits=2),
    )
    return f"| {' | '.join(cells)} |"


def _spread(values: list[float], *, scale: float = 1.0, digits: int) -> str:
    low, middle, high = (
        f"{value / scale:.{digits}f}"
        for value in (min(values), statistics.median(values), max(values))
    )
    return middle if low == high else f"{middle} ({low}-{high})"
