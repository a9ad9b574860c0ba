"""The order of effects of one program, and the assumptions it rests on."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import pytest
from specs.order import Assumptions
from specs.order import Guards
from specs.order import make_order

if TYPE_CHECKING:
    from collections.abc import Callable

    from specs.checking import Specification

    Prove = Callable[[Specification[Any]], None]
    Refute = Callable[[Specification[Any], str], list[str]]

IN_ORDER = "effects in order"
HOLDS = {
    "superseded owners and keepers act": (Guards(), Assumptions()),
    "barrier": (Guards(), Assumptions(barrier=True)),
    "without keeper in intent, no stale owner": (
        Guards(intent_names_keeper=False),
        Assumptions(stale_owner_sends=False),
    ),
}
MUTANTS = [
    ("decide_first", IN_ORDER),
    ("decide_first", "call 2 after call 1 is decided"),
    ("keeper_keeps_order", IN_ORDER),
    ("keeper_waits", IN_ORDER),
    ("dispatch_names_keeper", IN_ORDER),
    ("intent_names_keeper", IN_ORDER),
    ("backend_checks_fencing", IN_ORDER),
]
RESIDUES = {
    "exchange given up by its keeper": (Guards(), Assumptions(cut_exchange_lands=True)),
    "two backend servers without barrier": (Guards(), Assumptions(two_backends=True)),
    "no fencing, though nobody is stale": (
        Guards(backend_checks_fencing=False),
        Assumptions(stale_owner_sends=False, stale_keeper_sends=False),
    ),
}


@pytest.mark.parametrize(("guards", "assumptions"), HOLDS.values(), ids=HOLDS)
def test_order_holds(guards: Guards, assumptions: Assumptions, prove: Prove) -> None:
    prove(make_order(guards, assumptions))


def test_order_holds_over_two_backends_with_barrier(prove: Prove) -> None:
    specification = make_order(assumptions=Assumptions(two_backends=True, barrier=True))
    prove(specification)


@pytest.mark.parametrize(("guard", "rule"), MUTANTS)
def test_order_mutant(guard: str, rule: str, counterexample: Refute) -> None:
    assert counterexample(make_order(Guards()._replace(**{guard: False})), rule)


@pytest.mark.parametrize(("guards", "assumptions"), RESIDUES.values(), ids=RESIDUES)
def test_order_residue(guards: Guards, assumptions: Assumptions, counterexample: Refute) -> None:
    """Symptom: call 2 takes effect before call 1, although every guard of ours is on.

    Events: call 1 is still on its way when it is recorded as "may have run". Cause: what we have
    sent cannot be called back. The design note states these cases.
    """
    steps = counterexample(make_order(guards, assumptions), IN_ORDER)
    assert steps[-1] == "effect of 1"
