"""Backend servers that start again under their id."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import pytest
from specs.engine_lives import Guards
from specs.engine_lives import make_lives

if TYPE_CHECKING:
    from collections.abc import Callable

    from specs.checking import Specification

    Prove = Callable[[Specification[Any]], None]
    Refute = Callable[[Specification[Any], str], list[str]]

MUTANTS = [
    ("later_life_wins", "no earlier life comes back"),
    ("births_outlast_entries", "no earlier life comes back"),
    ("drop_on_foreign", "a foreign entry names nobody"),
    ("break_off", "nothing waits for a life that is over"),
    ("send_once", "runs once"),
    ("forget_cache", "no cache of an earlier life is preferred"),
]


def test_lives_hold(prove: Prove) -> None:
    prove(make_lives())


@pytest.mark.parametrize(("guard", "rule"), MUTANTS)
def test_lives_mutant(guard: str, rule: str, counterexample: Refute) -> None:
    assert counterexample(make_lives(Guards()._replace(**{guard: False})), rule)
