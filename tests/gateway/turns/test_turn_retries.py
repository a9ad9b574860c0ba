"""Tests of the decision to which engine a turn is sent next."""

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


def _attempts_after(
    retries: TurnRetries, *outcomes: AttemptOutcome, left_ms: float = LEFT_MS
) -> list[NextAttempt]:
    """Returns the first attempt and the attempt after each outcome."""
    attempts = [retries.next_attempt(left_ms)]
    for outcome in outcomes:
        retries.record_outcome(outcome, attempts[-1].destination)
        attempts.append(retries.next_attempt(left_ms))
    return attempts


def _destinations(attempts: list[NextAttempt]) -> list[Destination]:
    return [attempt.destination for attempt in attempts]


def test_a_full_engine_is_retried_after_pauses_if_the_route_allows_one_engine_only() -> None:
    """A refused turn of a burst would use up one of its few retries and be sent again no sooner."""
    retries = TurnRetries(max_engines=1, may_rerun=False)
    attempts = _attempts_after(retries, *[AttemptOutcome.FULL] * (len(FULL_RETRY_PAUSES_MS) + 1))
    assert _destinations(attempts) == [
        Destination.ANOTHER_ENGINE,
        *[Destination.SAME_ENGINE] * len(FULL_RETRY_PAUSES_MS),
        Destination.CALLER,
    ]
    assert [attempt.pause_ms for attempt in attempts[1:-1]] == list(FULL_RETRY_PAUSES_MS)


def test_a_full_engine_is_not_retried_without_time_left_after_the_pause() -> None:
    retries = TurnRetries(max_engines=1, may_rerun=False)
    left_ms = FULL_RETRY_PAUSES_MS[0] + MIN_REMAINING_MS - 1
    assert (
        _destinations(_attempts_after(retries, AttemptOutcome.FULL, left_ms=left_ms))[-1]
        is Destination.CALLER
    )


def test_other_engines_are_tried_before_a_full_one_is_retried() -> None:
    retries = TurnRetries(max_engines=MAX_REFUSALS + 3, may_rerun=False)
    attempts = _attempts_after(retries, *[AttemptOutcome.FULL] * MAX_REFUSALS)
    assert _destinations(attempts) == [
        *[Destination.ANOTHER_ENGINE] * MAX_REFUSALS,
        Destination.SAME_ENGINE,
    ]


def test_unreachable_engines_do_not_count() -> None:
    retries = TurnRetries(max_engines=1, may_rerun=False)
    attempts = _attempts_after(
        retries, AttemptOutcome.UNREACHABLE, AttemptOutcome.UNREACHABLE, AttemptOutcome.UNREACHABLE
    )
    assert _destinations(attempts) == [
        *[Destination.ANOTHER_ENGINE] * MAX_REFUSALS,
        Destination.CALLER,
    ]


def test_a_turn_that_may_have_run_is_not_sent_again_if_it_may_not_be_rerun() -> None:
    retries = TurnRetries(max_engines=3, may_rerun=False)
    assert (
        _destinations(_attempts_after(retries, AttemptOutcome.ANSWER_LOST))[-1]
        is Destination.CALLER
    )


def test_a_turn_that_may_be_rerun_goes_to_another_engine_up_to_the_limit_of_the_route() -> None:
    retries = TurnRetries(max_engines=2, may_rerun=True)
    attempts = _attempts_after(retries, AttemptOutcome.ANSWER_LOST, AttemptOutcome.ANSWER_LOST)
    assert _destinations(attempts) == [
        Destination.ANOTHER_ENGINE,
        Destination.ANOTHER_ENGINE,
        Destination.SAME_ENGINE,
    ]


@pytest.mark.parametrize("ended", [AttemptOutcome.UNREACHABLE, AttemptOutcome.REPLACED])
def test_an_engine_whose_process_has_ended_does_not_count(ended: AttemptOutcome) -> None:
    """The only engine that the route allows has ended: another one may continue the turn."""
    retries = TurnRetries(max_engines=1, may_rerun=True)
    attempts = _attempts_after(retries, AttemptOutcome.ANSWER_LOST, ended)
    assert _destinations(attempts) == [
        Destination.ANOTHER_ENGINE,
        Destination.SAME_ENGINE,
        Destination.ANOTHER_ENGINE,
    ]


def test_attempts_that_all_break_off_are_limited() -> None:
    retries = TurnRetries(max_engines=9, may_rerun=True)
    attempts = _attempts_after(retries, *[AttemptOutcome.ANSWER_LOST] * MAX_LOST_ATTEMPTS)
    assert _destinations(attempts) == [
        *[Destination.ANOTHER_ENGINE] * MAX_LOST_ATTEMPTS,
        Destination.CALLER,
    ]


def test_a_turn_without_time_left_is_not_sent_again() -> None:
    retries = TurnRetries(max_engines=2, may_rerun=True)
    assert (
        _destinations(
            _attempts_after(retries, AttemptOutcome.ANSWER_LOST, left_ms=MIN_REMAINING_MS - 1)
        )[-1]
        is Destination.CALLER
    )
