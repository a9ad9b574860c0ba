"""What the callers of the soak notice: each broken promise, made up here."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING
from typing import cast

import pytest

from tests.soak.callers import BUDGET_TOKENS
from tests.soak.callers import MOST_TOKENS
from tests.soak.callers import Callers

if TYPE_CHECKING:
    from tests.soak.deployment import SoakDeployment


class _Ran:
    def __init__(self, *runs: tuple[str, bytes]) -> None:
        self._runs = runs

    def runs(self) -> tuple[tuple[str, bytes], ...]:
        return self._runs


def _callers(*runs: tuple[str, bytes]) -> Callers:
    callers = Callers(cast("SoakDeployment", _Ran(*runs)), random.Random(1), "s")
    callers._once.add("t1")
    callers._bodies["t1"] = b"asks"
    return callers


def test_what_is_as_it_should_be_is_no_fault() -> None:
    callers = _callers(("t1", b"asks"))
    callers._spent["p"] = BUDGET_TOKENS + MOST_TOKENS
    callers.audit()
    assert callers.faults == []


@pytest.mark.parametrize(
    ("runs", "said", "spent", "promise"),
    [
        ([("t1", b"asks"), ("t1", b"asks")], {}, 0, "doubled"),
        ([("t1", b"another history")], {}, 0, "mixed"),
        ([("t1", b"asks")], {"t1": 503}, 0, "false not run"),
        ([], {}, BUDGET_TOKENS + MOST_TOKENS + 1, "overspent"),
    ],
)
def test_a_broken_promise_is_noticed(
    runs: list[tuple[str, bytes]], said: dict[str, int], spent: int, promise: str
) -> None:
    callers = _callers(*runs)
    callers._said_not_run.update(said)
    callers._spent["p"] = spent
    callers.audit()
    assert set(callers.counts) == {promise}
