"""Tokens that no durable record accounts for."""

from __future__ import annotations

from quincespool.gateway.turns.unrecorded_tokens import UnrecordedTokens

MAX_TOKENS = 30


def _make_unrecorded(*begun: str) -> UnrecordedTokens:
    unrecorded = UnrecordedTokens()
    for program_id in begun:
        unrecorded.mark_recorded(program_id)
    return unrecorded


def test_unrecorded_tokens_of_a_program_are_limited_to_one_turn() -> None:
    unrecorded = _make_unrecorded("p", "q")
    assert unrecorded.try_issue("p", 20, MAX_TOKENS)
    assert not unrecorded.try_issue("p", 11, MAX_TOKENS)
    assert unrecorded.try_issue("p", 10, MAX_TOKENS)
    assert unrecorded.try_issue("q", MAX_TOKENS, MAX_TOKENS)

    unrecorded.mark_all_recorded(["q"])
    assert not unrecorded.try_issue("p", 1, MAX_TOKENS)
    unrecorded.mark_all_recorded(["p"])
    assert unrecorded.is_fully_recorded("p")
    assert unrecorded.try_issue("p", MAX_TOKENS, MAX_TOKENS)


def test_no_more_turns_start_than_are_expected_to_end_within_the_bound() -> None:
    unrecorded = _make_unrecorded("p")
    for _ in range(3):
        assert unrecorded.may_start_turn("p", MAX_TOKENS)
        unrecorded.start_turn("p")
    assert not unrecorded.may_start_turn("p", MAX_TOKENS)

    unrecorded.end_turn("p")
    assert unrecorded.may_start_turn("p", MAX_TOKENS)
    assert unrecorded.try_issue("p", 11, MAX_TOKENS)
    assert not unrecorded.may_start_turn("p", MAX_TOKENS)


def test_only_recorded_programs_that_began_at_this_owner_get_unrecorded_tokens() -> None:
    """Guards against a program exceeding its budget by more than one turn.

    Two owners crash one after the other while the store is unreachable, each after a turn of which
    the next owner has no record.
    """
    unrecorded = UnrecordedTokens()
    unrecorded.mark_inherited(["old"])
    unrecorded.mark_recorded("old")
    assert not unrecorded.may_start_turn("old", MAX_TOKENS)
    assert not unrecorded.try_issue("old", 1, MAX_TOKENS)
    assert not unrecorded.may_start_turn("unknown", MAX_TOKENS)

    unrecorded.mark_recorded("new")
    assert unrecorded.may_start_turn("new", MAX_TOKENS)
    unrecorded.retain_only(["old"])
    assert not unrecorded.may_start_turn("new", MAX_TOKENS)
