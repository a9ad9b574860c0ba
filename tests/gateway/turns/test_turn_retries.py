"""To which engine a turn goes next."""

from __future__ import annotations

import pytest

from quincespool.gateway.turns.turn_retries import FULL_PAUSES_MS
from quincespool.gateway.turns.turn_retries import LEAST_LEFT_MS
from quincespool.gateway.turns.turn_retries import MAX_LOST_RUNS
from quincespool.gateway.turns.turn_retries import MAX_REFUSALS
from quincespool.gateway.turns.turn_retries import NextRun
from quincespool.gateway.turns.turn_retries import Place
from quincespool.gateway.turns.turn_retries import Tried
from quincespool.gateway.turns.turn_retries import TurnTries

LEFT_MS = 2_000


def _follow(tries: TurnTries, *outcomes: Tried, left_ms: float = LEFT_MS) -> list[NextRun]:
    """Returns where a turn goes at first and after each outcome."""
    runs = [tries.next_run(left_ms)]
    for outcome in outcomes:
        tries.note(outcome, runs[-1].place)
        runs.append(tries.next_run(left_ms))
    return runs


def _places(runs: list[NextRun]) -> list[Place]:
    return [run.place for run in runs]


def test_a_turn_waits_for_a_place_where_its_route_allows_one_engine_only() -> None:
    """Given back, each turn of a burst uses up one of its few tries and comes back no sooner."""
    tries = TurnTries(max_engines=1, may_run_again=False)
    runs = _follow(tries, *[Tried.FULL] * (len(FULL_PAUSES_MS) + 1))
    assert _places(runs) == [Place.ANOTHER, *[Place.SAME] * len(FULL_PAUSES_MS), Place.NOWHERE]
    assert [run.pause_ms for run in runs[1:-1]] == list(FULL_PAUSES_MS)


def test_a_turn_whose_time_is_up_does_not_wait_for_a_place() -> None:
    tries = TurnTries(max_engines=1, may_run_again=False)
    left_ms = FULL_PAUSES_MS[0] + LEAST_LEFT_MS - 1
    assert _places(_follow(tries, Tried.FULL, left_ms=left_ms))[-1] is Place.NOWHERE


def test_full_engines_are_left_for_others_first() -> None:
    tries = TurnTries(max_engines=MAX_REFUSALS + 3, may_run_again=False)
    runs = _follow(tries, *[Tried.FULL] * MAX_REFUSALS)
    assert _places(runs) == [*[Place.ANOTHER] * MAX_REFUSALS, Place.SAME]


def test_engines_that_were_not_reached_do_not_count() -> None:
    tries = TurnTries(max_engines=1, may_run_again=False)
    runs = _follow(tries, Tried.UNREACHABLE, Tried.UNREACHABLE, Tried.UNREACHABLE)
    assert _places(runs) == [*[Place.ANOTHER] * MAX_REFUSALS, Place.NOWHERE]


def test_what_may_have_run_goes_nowhere_else() -> None:
    tries = TurnTries(max_engines=3, may_run_again=False)
    assert _places(_follow(tries, Tried.LOST))[-1] is Place.NOWHERE


def test_what_may_run_again_goes_to_another_engine_while_its_route_allows() -> None:
    tries = TurnTries(max_engines=2, may_run_again=True)
    runs = _follow(tries, Tried.LOST, Tried.LOST)
    assert _places(runs) == [Place.ANOTHER, Place.ANOTHER, Place.SAME]


@pytest.mark.parametrize("ended", [Tried.UNREACHABLE, Tried.REPLACED])
def test_an_engine_that_has_ended_does_not_count(ended: Tried) -> None:
    """Its one engine is gone: the turn may go on at another one."""
    tries = TurnTries(max_engines=1, may_run_again=True)
    runs = _follow(tries, Tried.LOST, ended)
    assert _places(runs) == [Place.ANOTHER, Place.SAME, Place.ANOTHER]


def test_a_fault_that_breaks_off_every_run_comes_to_an_end() -> None:
    tries = TurnTries(max_engines=9, may_run_again=True)
    runs = _follow(tries, *[Tried.LOST] * MAX_LOST_RUNS)
    assert _places(runs) == [*[Place.ANOTHER] * MAX_LOST_RUNS, Place.NOWHERE]


def test_a_turn_without_time_is_not_begun_again() -> None:
    tries = TurnTries(max_engines=2, may_run_again=True)
    assert _places(_follow(tries, Tried.LOST, left_ms=LEAST_LEFT_MS - 1))[-1] is Place.NOWHERE
