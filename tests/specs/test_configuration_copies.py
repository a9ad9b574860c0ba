"""Configurations that daemons hand one another."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import pytest
from specs.configuration_copies import Guards
from specs.configuration_copies import make_configuration_copies

if TYPE_CHECKING:
    from collections.abc import Callable

    from specs.checking import Specification

    Prove = Callable[[Specification[Any]], None]
    Refute = Callable[[Specification[Any], str], list[str]]

MUTANTS = [
    ("newer_only", "never goes back in one life"),
    ("asks_peers", "a way to the newest"),
    ("waits_for_one", "nothing is served without one"),
]


def test_configuration_copies_hold(prove: Prove) -> None:
    prove(make_configuration_copies())


@pytest.mark.parametrize(("guard", "rule"), MUTANTS)
def test_configuration_copies_mutant(guard: str, rule: str, counterexample: Refute) -> None:
    mutant = make_configuration_copies(Guards()._replace(**{guard: False}))
    assert counterexample(mutant, rule)
