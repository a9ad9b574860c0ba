"""An account's limit over homes that follow one another."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import pytest
from specs.account_limits import Guards
from specs.account_limits import make_account_limits

if TYPE_CHECKING:
    from collections.abc import Callable

    from specs.checking import Specification

    Prove = Callable[[Specification[Any]], None]
    Refute = Callable[[Specification[Any], str], list[str]]


def test_account_limits_hold(prove: Prove) -> None:
    prove(make_account_limits())


@pytest.mark.parametrize("guard", Guards._fields)
def test_account_limits_mutant(guard: str, counterexample: Refute) -> None:
    mutant = make_account_limits(Guards()._replace(**{guard: False}))
    assert counterexample(mutant, "no window is over")
