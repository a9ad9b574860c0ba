"""Tokens that no durable record tells of."""

from __future__ import annotations

from quincespool.gateway.uncertain import UncertainTokens

MOST = 30


def test_a_program_gets_no_more_than_one_turn_may_generate() -> None:
    uncertain = UncertainTokens()
    assert uncertain.hand_out("p", 20, MOST)
    assert not uncertain.hand_out("p", 11, MOST)
    assert uncertain.hand_out("p", 10, MOST)
    assert uncertain.hand_out("q", MOST, MOST)

    uncertain.clear()
    assert uncertain.hand_out("p", MOST, MOST)


def test_no_more_turns_begin_than_can_be_expected_to_end_within_the_bound() -> None:
    uncertain = UncertainTokens()
    for _ in range(3):
        assert uncertain.may_begin("p", MOST)
        uncertain.begin("p")
    assert not uncertain.may_begin("p", MOST)

    uncertain.end("p")
    assert uncertain.may_begin("p", MOST)
    assert uncertain.hand_out("p", 11, MOST)
    assert not uncertain.may_begin("p", MOST)
