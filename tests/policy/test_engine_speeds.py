"""How engines that differ in speed are recognized."""

from __future__ import annotations

import random

import pytest

from quincespool.policy.engine_speeds import EngineSpeeds
from quincespool.policy.engine_speeds import SpeedSample
from tests.policy.program_fleet import LONG
from tests.policy.program_fleet import SHORT
from tests.policy.program_fleet import ProgramFleet

SEEDS = (1, 2)


def _learned(times_ms: dict[str, float], answers: int, spread: float = 0.2) -> EngineSpeeds:
    speeds, rng = EngineSpeeds(), random.Random(3)
    for _ in range(answers):
        for name, event_ms in times_ms.items():
            speeds.observe("s", SpeedSample(name, event_ms * rng.lognormvariate(0.0, spread)))
    return speeds


def test_programs_end_in_time_where_faster_engines_get_more() -> None:
    """Two engines in three are 2.4 times slower than the third.

    With calls spread evenly half of the programs are late.
    """
    load = {SHORT: 35.0, LONG: 60.0}
    runs = [
        [ProgramFleet(load, (), seed=seed, controlled=True, knows_speeds=knows) for seed in SEEDS]
        for knows in (False, True)
    ]
    unaware, aware = ([run.run() for run in fleets] for fleets in runs)
    for kind in (SHORT, LONG):
        assert min(one.share(kind) for one in aware) > max(one.share(kind) for one in unaware)


def test_an_engine_as_fast_as_the_others_is_not_reported() -> None:
    speeds = _learned({"a": 20.0, "b": 20.0, "c": 20.0}, 200, spread=0.02)
    assert speeds.take_reportable() is None
    assert speeds.slowness("s", "a") == pytest.approx(1.0, abs=0.05)


def test_an_engine_that_differs_is_reported_once_for_each_answer() -> None:
    speeds = _learned({"slow": 40.0, "a": 20.0, "b": 20.0}, 50)
    assert speeds.slowness("s", "slow") > 1.3
    reported = speeds.take_reportable()
    assert reported is not None
    assert speeds.take_reportable() is None


def test_received_reports_do_not_shift_the_usual_time() -> None:
    """Hosts report only engines that differ in speed from the usual one.

    If the reports changed the usual time, many of them would make a slow engine look usual.
    """
    speeds = _learned({"a": 20.0, "b": 20.0}, 50, spread=0.02)
    for _ in range(1_000):
        speeds.add_sample(SpeedSample("slow", 40.0))
    assert speeds.slowness("s", "slow") == pytest.approx(2.0, rel=0.15)
    assert speeds.slowness("s", "a") == pytest.approx(1.0, abs=0.05)


def test_an_engine_that_becomes_slower_for_good_is_detected() -> None:
    speeds = _learned({"a": 20.0, "b": 20.0}, 100, spread=0.02)
    for _ in range(40):
        speeds.add_sample(SpeedSample("a", 60.0))
    assert speeds.slowness("s", "a") > 2.0


def test_nothing_is_known_of_an_engine_that_is_new_or_has_left() -> None:
    speeds = _learned({"slow": 40.0, "a": 20.0}, 20)
    speeds.forget("slow")
    assert speeds.slowness("s", "slow") == 1.0
    assert speeds.slowness("other", "a") == 1.0
