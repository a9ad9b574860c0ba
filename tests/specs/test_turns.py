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


@pytest.mark.parametrize("budget_tokens", [1, 2])
def test_deferred_starts_exceed_a_budget_by_one_turn_at_most(
    budget_tokens: int, prove: Prove
) -> None:
    prove(make_turns(budget_tokens=budget_tokens, defers=True)._replace(sights={}))


def test_the_bound_of_deferred_starts_is_reached(counterexample: Refute) -> None:
    """An owner is lost with a token of which nothing lasts; the next one spends it once more."""
    specification = make_turns(owners=2, budget_tokens=2, defers=True, previous=(None,) * 3)
    within = {"within budget": lambda s: sum(t.handed_out for t in s.turns) <= 2}
    assert counterexample(specification._replace(rules=within), "within budget")


def test_mutant_that_defers_starts_of_any_program(counterexample: Refute) -> None:
    """Two owners, one after the other, are lost with a token of which nothing lasts."""
    mutant = Guards(defer_where_it_began=False)
    specification = make_turns(mutant, owners=3, budget_tokens=1, defers=True, previous=(None,) * 3)
    assert counterexample(specification, "within budget")


@pytest.mark.parametrize(("guard", "rule"), MUTANTS)
def test_turns_mutant(guard: str, rule: str, counterexample: Refute) -> None:
    assert counterexample(make_turns(Guards()._replace(**{guard: False})), rule)
