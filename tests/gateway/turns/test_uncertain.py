"""Tokens that no durable record tells of."""

from __future__ import annotations

from quincespool.gateway.turns.uncertain import UncertainTokens

MOST = 30


def _uncertain(*begun: str) -> UncertainTokens:
    uncertain = UncertainTokens()
    for program_id in begun:
        uncertain.kept(program_id)
    return uncertain


def test_a_program_gets_no_more_than_one_turn_may_generate() -> None:
    uncertain = _uncertain("p", "q")
    assert uncertain.hand_out("p", 20, MOST)
    assert not uncertain.hand_out("p", 11, MOST)
    assert uncertain.hand_out("p", 10, MOST)
    assert uncertain.hand_out("q", MOST, MOST)

    uncertain.settle(["q"])
    assert not uncertain.hand_out("p", 1, MOST)
    uncertain.settle(["p"])
    assert uncertain.is_clear("p")
    assert uncertain.hand_out("p", MOST, MOST)


def test_no_more_turns_begin_than_can_be_expected_to_end_within_the_bound() -> None:
    uncertain = _uncertain("p")
    for _ in range(3):
        assert uncertain.may_begin("p", MOST)
        uncertain.begin("p")
    assert not uncertain.may_begin("p", MOST)

    uncertain.end("p")
    assert uncertain.may_begin("p", MOST)
    assert uncertain.hand_out("p", 11, MOST)
    assert not uncertain.may_begin("p", MOST)


def test_only_programs_that_began_here_and_last_get_any() -> None:
    """Symptom: a program gets more tokens than its budget and one turn.

    Events: two owners, one after the other, are lost while the store is away.
    Cause: each had handed out a turn of which the next one knew nothing.
    """
    uncertain = UncertainTokens()
    uncertain.inherit(["old"])
    uncertain.kept("old")
    assert not uncertain.may_begin("old", MOST)
    assert not uncertain.hand_out("old", 1, MOST)
    assert not uncertain.may_begin("unknown", MOST)

    uncertain.kept("new")
    assert uncertain.may_begin("new", MOST)
    uncertain.forget_others(["old"])
    assert not uncertain.may_begin("new", MOST)
