"""Tokens that no durable record tells of."""

from __future__ import annotations

from quincespool.gateway.turns.unrecorded_tokens import UnrecordedTokens

MOST = 30


def _uncertain(*begun: str) -> UnrecordedTokens:
    uncertain = UnrecordedTokens()
    for program_id in begun:
        uncertain.mark_recorded(program_id)
    return uncertain


def test_a_program_gets_no_more_than_one_turn_may_generate() -> None:
    uncertain = _uncertain("p", "q")
    assert uncertain.try_issue("p", 20, MOST)
    assert not uncertain.try_issue("p", 11, MOST)
    assert uncertain.try_issue("p", 10, MOST)
    assert uncertain.try_issue("q", MOST, MOST)

    uncertain.mark_all_recorded(["q"])
    assert not uncertain.try_issue("p", 1, MOST)
    uncertain.mark_all_recorded(["p"])
    assert uncertain.is_fully_recorded("p")
    assert uncertain.try_issue("p", MOST, MOST)


def test_no_more_turns_begin_than_can_be_expected_to_end_within_the_bound() -> None:
    uncertain = _uncertain("p")
    for _ in range(3):
        assert uncertain.may_start_turn("p", MOST)
        uncertain.start_turn("p")
    assert not uncertain.may_start_turn("p", MOST)

    uncertain.end_turn("p")
    assert uncertain.may_start_turn("p", MOST)
    assert uncertain.try_issue("p", 11, MOST)
    assert not uncertain.may_start_turn("p", MOST)


def test_only_programs_that_began_here_and_last_get_any() -> None:
    """Symptom: a program gets more tokens than its budget and one turn.

    Events: two owners, one after the other, are lost while the store is away.
    Cause: each had handed out a turn of which the next one knew nothing.
    """
    uncertain = UnrecordedTokens()
    uncertain.mark_inherited(["old"])
    uncertain.mark_recorded("old")
    assert not uncertain.may_start_turn("old", MOST)
    assert not uncertain.try_issue("old", 1, MOST)
    assert not uncertain.may_start_turn("unknown", MOST)

    uncertain.mark_recorded("new")
    assert uncertain.may_start_turn("new", MOST)
    uncertain.retain_only(["old"])
    assert not uncertain.may_start_turn("new", MOST)
