"""Turns at the owners of a partition."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import pytest
from specs.turns import Guards
from specs.turns import make_turns

if TYPE_CHECKING:
    from collections.abc import Callable

    from specs.checking import Specification

    Prove = Callable[[Specification[Any]], None]
    Refute = Callable[[Specification[Any], str], list[str]]

MUTANTS = [
    ("store_fences", "absent is true"),
    ("fence_before_reading", "absent is true"),
    ("start_before_token", "within budget"),
    ("end_before_told", "whole is kept"),
    ("confirm_refusals", "absent is true"),
    ("fold_at_once", "within budget"),
    ("broken_spends", "within budget"),
    ("settle_starts_elsewhere", "within budget"),
]


def test_turns_hold(prove: Prove) -> None:
    prove(make_turns())


def test_budget_of_one_turn_holds(prove: Prove) -> None:
    prove(make_turns(budget_tokens=1)._replace(sights={}))


def test_mutant_that_takes_any_start_that_was_shut_out(counterexample: Refute) -> None:
    """Two owners admit a turn each of a budget for one."""
    mutant = Guards(admit_settled_starts=False)
    assert counterexample(make_turns(mutant, budget_tokens=1), "within budget")


@pytest.mark.parametrize(("guard", "rule"), MUTANTS)
def test_turns_mutant(guard: str, rule: str, counterexample: Refute) -> None:
    assert counterexample(make_turns(Guards()._replace(**{guard: False})), rule)
