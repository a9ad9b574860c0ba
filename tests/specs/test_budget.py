"""Budgets in slices."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import pytest
from specs.budget import Guards
from specs.budget import make_budget

if TYPE_CHECKING:
    from collections.abc import Callable

    from specs.checking import Specification

    Prove = Callable[[Specification[Any]], None]
    Refute = Callable[[Specification[Any], str], list[str]]

MUTANTS = [
    ("older_slices_spent", "within budget"),
    ("spend_after_read_back", "within budget"),
    ("count_slices_in_flight", "within budget"),
    ("reserve_most", "within budget"),
    ("yield_idle", "within budget"),
    ("stop_at_yield", "within budget"),
    ("unknown_cost_is_most", "within budget"),
]


def test_budget_holds(prove: Prove) -> None:
    prove(make_budget())


@pytest.mark.parametrize(("guard", "rule"), MUTANTS)
def test_budget_mutant(guard: str, rule: str, counterexample: Refute) -> None:
    assert counterexample(make_budget(Guards()._replace(**{guard: False})), rule)
