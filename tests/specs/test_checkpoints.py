"""Checkpoints as statements of fact."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import pytest
from specs.checkpoints import Guards
from specs.checkpoints import make_checkpoints

if TYPE_CHECKING:
    from collections.abc import Callable

    from specs.checking import Specification

    Prove = Callable[[Specification[Any]], None]
    Refute = Callable[[Specification[Any], str], list[str]]

MUTANTS = [
    ("as_of_prefix", "late reader agrees"),
    ("no_gap", "late reader agrees"),
    ("parts_of_one_prefix", "late reader agrees"),
    ("holds_sequences", "late reader agrees"),
]


def test_checkpoints_holds(prove: Prove) -> None:
    prove(make_checkpoints())


@pytest.mark.parametrize(("guard", "rule"), MUTANTS)
def test_checkpoints_mutant(guard: str, rule: str, counterexample: Refute) -> None:
    assert counterexample(make_checkpoints(Guards()._replace(**{guard: False})), rule)
