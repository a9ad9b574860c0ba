"""To which engine a turn goes next."""

from __future__ import annotations

import pytest

from quincespool.gateway.turns.turn_retries import FULL_RETRY_PAUSES_MS
from quincespool.gateway.turns.turn_retries import MAX_LOST_ATTEMPTS
from quincespool.gateway.turns.turn_retries import MAX_REFUSALS
from quincespool.gateway.turns.turn_retries import MIN_REMAINING_MS
from quincespool.gateway.turns.turn_retries import AttemptOutcome
from quincespool.gateway.turns.turn_retries import Destination
from quincespool.gateway.turns.turn_retries import NextAttempt
from quincespool.gateway.turns.turn_retries import TurnRetries

LEFT_MS = 2_000


def _follow(
    tries: TurnRetries, *outcomes: AttemptOutcome, left_ms: float = LEFT_MS
) -> list[NextAttempt]:
    """Returns where a turn goes at first and after each outcome."""
    runs = [tries.next_attempt(left_ms)]
    for outcome in outcomes:
        tries.record_outcome(outcome, runs[-1].destination)
        runs.append(tries.next_attempt(left_ms))
    return runs


def _places(runs: list[NextAttempt]) -> list[Destination]:
    return [run.destination for run in runs]


def test_a_turn_waits_for_a_place_where_its_route_allows_one_engine_only() -> None:
    """Given back, each turn of a burst uses up one of its few tries and comes back no sooner."""
    tries = TurnRetries(max_engines=1, may_rerun=False)
    runs = _follow(tries, *[AttemptOutcome.FULL] * (len(FULL_RETRY_PAUSES_MS) + 1))
    assert _places(runs) == [
        Destination.ANOTHER_ENGINE,
        *[Destination.SAME_ENGINE] * len(FULL_RETRY_PAUSES_MS),
        Destination.CALLER,
    ]
    assert [run.pause_ms for run in runs[1:-1]] == list(FULL_RETRY_PAUSES_MS)


def test_a_turn_whose_time_is_up_does_not_wait_for_a_place() -> None:
    tries = TurnRetries(max_engines=1, may_rerun=False)
    left_ms = FULL_RETRY_PAUSES_MS[0] + MIN_REMAINING_MS - 1
    assert _places(_follow(tries, AttemptOutcome.FULL, left_ms=left_ms))[-1] is Destination.CALLER


def test_full_engines_are_left_for_others_first() -> None:
    tries = TurnRetries(max_engines=MAX_REFUSALS + 3, may_rerun=False)
    runs = _follow(tries, *[AttemptOutcome.FULL] * MAX_REFUSALS)
    assert _places(runs) == [*[Destination.ANOTHER_ENGINE] * MAX_REFUSALS, Destination.SAME_ENGINE]


def test_engines_that_were_not_reached_do_not_count() -> None:
    tries = TurnRetries(max_engines=1, may_rerun=False)
    runs = _follow(
        tries, AttemptOutcome.UNREACHABLE, AttemptOutcome.UNREACHABLE, AttemptOutcome.UNREACHABLE
    )
    assert _places(runs) == [*[Destination.ANOTHER_ENGINE] * MAX_REFUSALS, Destination.CALLER]


def test_what_may_have_run_goes_nowhere_else() -> None:
    tries = TurnRetries(max_engines=3, may_rerun=False)
    assert _places(_follow(tries, AttemptOutcome.ANSWER_LOST))[-1] is Destination.CALLER


def test_what_may_run_again_goes_to_another_engine_while_its_route_allows() -> None:
    tries = TurnRetries(max_engines=2, may_rerun=True)
    runs = _follow(tries, AttemptOutcome.ANSWER_LOST, AttemptOutcome.ANSWER_LOST)
    assert _places(runs) == [
        Destination.ANOTHER_ENGINE,
        Destination.ANOTHER_ENGINE,
        Destination.SAME_ENGINE,
    ]


@pytest.mark.parametrize("ended", [AttemptOutcome.UNREACHABLE, AttemptOutcome.REPLACED])
def test_an_engine_that_has_ended_does_not_count(ended: AttemptOutcome) -> None:
    """Its one engine is gone: the turn may go on at another one."""
    tries = TurnRetries(max_engines=1, may_rerun=True)
    runs = _follow(tries, AttemptOutcome.ANSWER_LOST, ended)
    assert _places(runs) == [
        Destination.ANOTHER_ENGINE,
        Destination.SAME_ENGINE,
        Destination.ANOTHER_ENGINE,
    ]


def test_a_fault_that_breaks_off_every_run_comes_to_an_end() -> None:
    tries = TurnRetries(max_engines=9, may_rerun=True)
    runs = _follow(tries, *[AttemptOutcome.ANSWER_LOST] * MAX_LOST_ATTEMPTS)
    assert _places(runs) == [*[Destination.ANOTHER_ENGINE] * MAX_LOST_ATTEMPTS, Destination.CALLER]


def test_a_turn_without_time_is_not_begun_again() -> None:
    tries = TurnRetries(max_engines=2, may_rerun=True)
    assert (
        _places(_follow(tries, AttemptOutcome.ANSWER_LOST, left_ms=MIN_REMAINING_MS - 1))[-1]
        is Destination.CALLER
    )
