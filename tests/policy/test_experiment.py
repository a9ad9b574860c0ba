"""The experiment that compares policies: a faulty driver would invalidate every result."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from quincespool.policy.experiment.driver import Options
from quincespool.policy.experiment.driver import run
from quincespool.policy.experiment.engine import Engine
from quincespool.policy.experiment.engine import Job
from quincespool.policy.experiment.workload import ABAY
from quincespool.policy.experiment.workload import HARWICK
from quincespool.policy.experiment.workload import make_programs
from quincespool.policy.experiment.workload import shortest_ms
from quincespool.policy.registry import POLICY_NAMES
from quincespool.policy.registry import make_policy

if TYPE_CHECKING:
    from quincespool.policy.experiment.measures import Measures
    from quincespool.policy.experiment.workload import Mix


def measure(mix: Mix, name: str, *, load: float, options: Options | None = None) -> Measures:
    programs = make_programs(mix, seed=5, load=load, window_ms=500_000)
    policies = [make_policy(name, seed=n) for n in range(mix.daemon_count)]
    return run(mix, programs, policies, options=options).measures()


@pytest.mark.parametrize("name", POLICY_NAMES)
def test_same_seed_same_measures(name: str) -> None:
    lost = Options(export=True, lose_engine_at_ms=400_000)
    assert measure(ABAY, name, load=0.9, options=lost) == measure(
        ABAY, name, load=0.9, options=lost
    )


@pytest.mark.parametrize("mix", [ABAY, HARWICK], ids=lambda mix: mix.name)
@pytest.mark.parametrize("name", POLICY_NAMES)
def test_no_policy_beats_an_idle_engine_and_little_load_finishes(mix: Mix, name: str) -> None:
    programs = make_programs(mix, seed=5, load=0.05, window_ms=2_000_000)
    tally = run(mix, programs, [make_policy(name)])
    floors = sorted(shortest_ms(mix.engine, p.turns) for p in programs if p.arrival_ms >= 300_000)
    for finished_ms, floor_ms in zip(sorted(tally.finished_ms), floors, strict=False):
        assert finished_ms >= floor_ms - 60
    assert len(tally.finished_ms) >= 0.97 * len(floors)


def test_release_at_end_frees_memory() -> None:
    released = measure(ABAY, "prefix_affinity", load=0.5)
    held = measure(ABAY, "prefix_affinity", load=0.5, options=Options(release_at_end=False))
    assert held.held_token_s > 10 * released.held_token_s


def test_engine_evicts_the_least_recently_used_and_counts_what_it_computes() -> None:
    engine = Engine("e", "bole", ABAY.engine._replace(cache_tokens=1000))

    def finish_one(program_id: str, prompt_tokens: int) -> Job:
        job = Job(None, program_id, prompt_tokens=prompt_tokens, completion_tokens=100)
        engine.submit(job, rank=0)
        started = engine.start_next(0)
        assert started is not None
        assert started[0] is job
        engine.finish(job)
        return job

    finish_one("a", 300)
    finish_one("b", 300)
    assert finish_one("a", 500).computed_tokens == 100
    finish_one("c", 200)
    assert engine.evicted == ["b"]
    assert engine.held_tokens == sum(engine.cache.values()) <= 1000


def test_engine_runs_the_lowest_rank_first_and_skips_the_cancelled() -> None:
    engine = Engine("e", "bole", ABAY.engine._replace(slots=1))
    jobs = [Job(None, f"p{n}", prompt_tokens=10, completion_tokens=10) for n in range(3)]
    for job, rank in zip(jobs, (5, 1, 3), strict=True):
        engine.submit(job, rank=rank)
    engine.cancel(jobs[1])
    started = engine.start_next(0)
    assert started is not None
    assert started[0] is jobs[2]
    assert engine.start_next(0) is None
    assert engine.waiting == 1
