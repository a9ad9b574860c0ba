"""Whether new programs begin while engines are full."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from quincespool.policy.admission import FRESH_MS
from quincespool.policy.admission import FULL_WAIT_MS
from quincespool.policy.admission import HALF_LIFE_MS
from quincespool.policy.admission import MAX_RETRY_MS
from quincespool.policy.admission import MIN_LATENCY_PERIOD_MS
from quincespool.policy.admission import MIN_RETRY_MS
from quincespool.policy.admission import MIN_WAIT_MS
from quincespool.policy.admission import AdmissionControl
from quincespool.policy.admission import NewProgram
from quincespool.policy.program_shapes import ProgramKind
from quincespool.policy.urgency import Rank
from tests.policy.program_fleet import HOT
from tests.policy.program_fleet import LONG
from tests.policy.program_fleet import SHORT
from tests.policy.program_fleet import Burst
from tests.policy.program_fleet import ProgramFleet

if TYPE_CHECKING:
    from tests.policy.program_fleet import Outcome

SEEDS = (1, 2)
# A third of the 720 turns a second that the engines can run.
USUAL = {SHORT: 35.0, LONG: 20.0}


def _play(per_s: dict[ProgramKind, float], *bursts: Burst, controlled: bool) -> list[Outcome]:
    return [ProgramFleet(per_s, bursts, seed=seed, controlled=controlled).run() for seed in SEEDS]


def _in_time(outcomes: list[Outcome], kind: ProgramKind) -> float:
    return sum(one.in_time[kind] for one in outcomes) / sum(one.asked[kind] for one in outcomes)


def _late_share(outcomes: list[Outcome], kind: ProgramKind) -> float:
    """Returns the part of the ended programs that ended late."""
    late = sum(one.late[kind] for one in outcomes)
    return late / (late + sum(one.in_time[kind] for one in outcomes))


@pytest.mark.parametrize(
    ("per_s", "bursts"),
    [
        ({SHORT: 35.0, LONG: 20.0}, (Burst(LONG, 5.0, 3_000, 12_000),)),
        ({SHORT: 35.0, LONG: 60.0}, ()),
    ],
)
def test_a_load_of_long_programs_does_not_make_most_of_them_late(
    per_s: dict[ProgramKind, float], bursts: tuple[Burst, ...]
) -> None:
    """Without admission control each turn queues behind all others.

    Half of the programs end late, including urgent ones.
    """
    unlimited, limited = (
        _play(per_s, *bursts, controlled=controlled) for controlled in (False, True)
    )

    assert _in_time(limited, LONG) > _in_time(unlimited, LONG)
    assert _late_share(limited, LONG) < 0.75 * _late_share(unlimited, LONG)
    assert _in_time(limited, SHORT) >= _in_time(unlimited, SHORT) - 0.01


def test_below_capacity_every_program_begins() -> None:
    unlimited, limited = (_play(USUAL, controlled=controlled) for controlled in (False, True))
    assert [one.in_time for one in limited] == [one.in_time for one in unlimited]


def _control_with_wait(wait_ms: float, *, rank: int = 0, turns: int = 50) -> AdmissionControl:
    control = AdmissionControl()
    control.record_first_event("s", Rank(rank), 30.0, 0)
    for _ in range(turns):
        control.record_first_event("s", Rank(rank), 30.0 + wait_ms, 0)
    return control


def _new_program(left_ms: int = 1_000, rank: int = 0, service: str = "s") -> NewProgram:
    return NewProgram(service, ProgramKind("k", Rank(rank)), left_ms)


def test_a_program_without_time_is_refused_with_a_retry_time() -> None:
    control = _control_with_wait(200)
    rejection = control.reject(_new_program(), 100)

    assert rejection is not None
    assert rejection.wait_ms == pytest.approx(200, rel=0.05)
    assert rejection.wait_age_ms == 100
    assert MIN_RETRY_MS <= rejection.retry_after_ms <= MAX_RETRY_MS
    assert control.reject(_new_program(left_ms=60_000), 100) is None
    assert control.reject(_new_program(service="other"), 100) is None


def test_urgent_programs_are_not_refused_for_waits_of_less_urgent_ones() -> None:
    control = _control_with_wait(200, rank=2)
    assert control.reject(_new_program(rank=0), 0) is None
    assert control.reject(_new_program(rank=2), 0) is not None
    assert _control_with_wait(200, rank=0).reject(_new_program(rank=2), 0) is not None


def test_a_wait_that_no_turn_confirms_decays() -> None:
    """A host that sends no turn measures no wait: it must not refuse programs forever."""
    control = _control_with_wait(400)
    assert control.wait_ms("s", Rank(), FRESH_MS) == pytest.approx(400, rel=0.05)
    assert control.wait_ms("s", Rank(), FRESH_MS + HALF_LIFE_MS) == pytest.approx(200, rel=0.05)
    assert control.reject(_new_program(), FRESH_MS + 6 * HALF_LIFE_MS) is None


def test_a_program_that_is_late_anyway_begins_where_engines_are_idle() -> None:
    """Symptom: after an outage all programs, late on arrival, are refused for tiny waits."""
    control = _control_with_wait(MIN_WAIT_MS - 1)
    assert control.reject(_new_program(left_ms=0), 0) is None
    assert _control_with_wait(2 * MIN_WAIT_MS).reject(_new_program(left_ms=0), 0) is not None


def test_engines_that_accept_no_turn_count_as_a_long_wait() -> None:
    control = AdmissionControl()
    for _ in range(50):
        control.record_full("s", Rank(0), 0)
    assert control.wait_ms("s", Rank(), 0) == pytest.approx(FULL_WAIT_MS, rel=0.05)


def test_the_least_latency_is_forgotten_after_some_time() -> None:
    """If all engines became permanently slower, they would look like full ones."""
    control = AdmissionControl()
    control.record_first_event("s", Rank(0), 30.0, 0)
    for period in range(1, 4):
        for _ in range(50):
            control.record_first_event("s", Rank(0), 300.0, period * MIN_LATENCY_PERIOD_MS)
    assert control.wait_ms("s", Rank(), 3 * MIN_LATENCY_PERIOD_MS) < 1


def test_the_number_of_turns_of_a_kind_is_learned() -> None:
    control, kind = AdmissionControl(), ProgramKind("k")
    for number in range(60):
        for turn in range(20):
            control.record_turn(f"p{number}", kind, number * 3_000 + turn)
        control.learn(number * 3_000 + 2_500)
    at_ms = 200_000
    for _ in range(50):
        control.record_first_event("s", Rank(0), 30.0, at_ms)
        control.record_first_event("s", Rank(0), 150.0, at_ms)
    rejection = control.reject(_new_program(), at_ms)
    assert rejection is not None
    assert rejection.turns == pytest.approx(20, rel=0.1)


def test_an_account_far_above_its_usual_load_does_not_displace_the_others() -> None:
    """Symptom: one account gets nine tenths of the engines' slots.

    Programs of other accounts are refused as often as its programs.
    """
    load = {SHORT: 35.0, HOT: 260.0}
    equal, fair = (
        [
            ProgramFleet(load, (), seed=seed, controlled=True, near_limit=near_limit).run()
            for seed in SEEDS
        ]
        for near_limit in (None, HOT)
    )
    assert _in_time(fair, SHORT) > _in_time(equal, SHORT)
    assert _in_time(fair, SHORT) > _in_time(fair, HOT)


def test_programs_of_an_account_near_its_limit_begin_where_engines_are_idle() -> None:
    near_limit = _new_program()._replace(is_near_limit=True)
    assert _control_with_wait(MIN_WAIT_MS - 1).reject(near_limit, 0) is None
