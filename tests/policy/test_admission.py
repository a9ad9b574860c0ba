"""Whether new programs begin while engines are full."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from quincespool.policy.admission import FRESH_MS
from quincespool.policy.admission import FULL_WAIT_MS
from quincespool.policy.admission import HALF_LIFE_MS
from quincespool.policy.admission import LEAST_RETRY_MS
from quincespool.policy.admission import LEAST_WAIT_MS
from quincespool.policy.admission import MOST_RETRY_MS
from quincespool.policy.admission import QUICKEST_MS
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
# A third of the 720 turns a second that the engines take.
USUAL = {SHORT: 35.0, LONG: 20.0}


def _play(per_s: dict[ProgramKind, float], *bursts: Burst, controlled: bool) -> list[Outcome]:
    return [ProgramFleet(per_s, bursts, seed=seed, controlled=controlled).run() for seed in SEEDS]


def _in_time(outcomes: list[Outcome], kind: ProgramKind) -> float:
    return sum(one.in_time[kind] for one in outcomes) / sum(one.asked[kind] for one in outcomes)


def _late_share(outcomes: list[Outcome], kind: ProgramKind) -> float:
    """Returns the part that ended late of those that ended."""
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
    """Each turn waits behind all others: half of the programs end late, urgent ones as well."""
    without, kept = (_play(per_s, *bursts, controlled=controlled) for controlled in (False, True))

    assert _in_time(kept, LONG) > _in_time(without, LONG)
    assert _late_share(kept, LONG) < 0.75 * _late_share(without, LONG)
    assert _in_time(kept, SHORT) >= _in_time(without, SHORT) - 0.01


def test_below_capacity_every_program_begins() -> None:
    without, kept = (_play(USUAL, controlled=controlled) for controlled in (False, True))
    assert [one.in_time for one in kept] == [one.in_time for one in without]


def _control_that_waits(wait_ms: float, *, rank: int = 0, turns: int = 50) -> AdmissionControl:
    control = AdmissionControl()
    control.note_begin("s", Rank(rank), 30.0, 0)
    for _ in range(turns):
        control.note_begin("s", Rank(rank), 30.0 + wait_ms, 0)
    return control


def _new_program(left_ms: int = 1_000, rank: int = 0, service: str = "s") -> NewProgram:
    return NewProgram(service, ProgramKind("k", Rank(rank)), left_ms)


def test_a_program_without_time_is_refused_with_the_time_to_come_back() -> None:
    control = _control_that_waits(200)
    rejection = control.reject(_new_program(), 100)

    assert rejection is not None
    assert rejection.wait_ms == pytest.approx(200, rel=0.05)
    assert rejection.age_ms == 100
    assert LEAST_RETRY_MS <= rejection.retry_after_ms <= MOST_RETRY_MS
    assert control.reject(_new_program(left_ms=60_000), 100) is None
    assert control.reject(_new_program(service="other"), 100) is None


def test_what_is_urgent_does_not_wait_for_what_is_not() -> None:
    control = _control_that_waits(200, rank=2)
    assert control.reject(_new_program(rank=0), 0) is None
    assert control.reject(_new_program(rank=2), 0) is not None
    assert _control_that_waits(200, rank=0).reject(_new_program(rank=2), 0) is not None


def test_a_wait_that_no_turn_confirms_is_forgotten() -> None:
    """A host that sends no turn sees no engine: it must not refuse for ever."""
    control = _control_that_waits(400)
    assert control.wait_ms("s", Rank(), FRESH_MS) == pytest.approx(400, rel=0.05)
    assert control.wait_ms("s", Rank(), FRESH_MS + HALF_LIFE_MS) == pytest.approx(200, rel=0.05)
    assert control.reject(_new_program(), FRESH_MS + 6 * HALF_LIFE_MS) is None


def test_a_program_that_is_late_anyway_begins_where_engines_are_idle() -> None:
    """After an outage programs come whose time is over: each was rejection for waits of nothing."""
    control = _control_that_waits(LEAST_WAIT_MS - 1)
    assert control.reject(_new_program(left_ms=0), 0) is None
    assert _control_that_waits(2 * LEAST_WAIT_MS).reject(_new_program(left_ms=0), 0) is not None


def test_engines_that_take_nothing_count_as_a_long_wait() -> None:
    control = AdmissionControl()
    for _ in range(50):
        control.note_full("s", Rank(0), 0)
    assert control.wait_ms("s", Rank(), 0) == pytest.approx(FULL_WAIT_MS, rel=0.05)


def test_an_engine_that_was_quick_once_is_no_measure_for_ever() -> None:
    """Engines that all turn slower for good would look like full ones."""
    control = AdmissionControl()
    control.note_begin("s", Rank(0), 30.0, 0)
    for period in range(1, 4):
        for _ in range(50):
            control.note_begin("s", Rank(0), 300.0, period * QUICKEST_MS)
    assert control.wait_ms("s", Rank(), 3 * QUICKEST_MS) < 1


def test_how_many_turns_a_program_has_is_learned() -> None:
    control, kind = AdmissionControl(), ProgramKind("k")
    for number in range(60):
        for turn in range(20):
            control.note_turn(f"p{number}", kind, number * 3_000 + turn)
        control.learn(number * 3_000 + 2_500)
    at_ms = 200_000
    for _ in range(50):
        control.note_begin("s", Rank(0), 30.0, at_ms)
        control.note_begin("s", Rank(0), 150.0, at_ms)
    rejection = control.reject(_new_program(), at_ms)
    assert rejection is not None
    assert rejection.turns == pytest.approx(20, rel=0.1)


def test_an_account_far_above_its_usual_does_not_cost_the_others_their_programs() -> None:
    """Nine tenths of the engines' places go to one account; the others are refused as often."""
    load = {SHORT: 35.0, HOT: 260.0}
    alike, fair = (
        [
            ProgramFleet(load, (), seed=seed, controlled=True, pressed=pressed).run()
            for seed in SEEDS
        ]
        for pressed in (None, HOT)
    )
    assert _in_time(fair, SHORT) > _in_time(alike, SHORT)
    assert _in_time(fair, SHORT) > _in_time(fair, HOT)


def test_an_account_that_is_pressed_begins_where_engines_are_idle() -> None:
    pressed = _new_program()._replace(is_pressed=True)
    assert _control_that_waits(LEAST_WAIT_MS - 1).reject(pressed, 0) is None
