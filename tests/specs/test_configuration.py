"""Catalogue edits by racing operators."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import pytest
from specs.configuration import Guards
from specs.configuration import make_configuration

if TYPE_CHECKING:
    from collections.abc import Callable

    from specs.checking import Specification

    Prove = Callable[[Specification[Any]], None]
    Refute = Callable[[Specification[Any], str], list[str]]

MUTANTS = [
    ("compare_and_set", "told lost is true"),
    ("accepted_after_read_back", "told accepted is true"),
    ("accepted_after_read_back", "accepted is undone by later edits only"),
    ("lost_when_decided", "told lost is true"),
    ("unknown_after_expiry", "told lost is true"),
]


def test_configuration_holds(prove: Prove) -> None:
    prove(make_configuration())


@pytest.mark.parametrize(("guard", "rule"), MUTANTS)
def test_configuration_mutant(guard: str, rule: str, counterexample: Refute) -> None:
    assert counterexample(make_configuration(Guards()._replace(**{guard: False})), rule)
