"""The claim, intent and takeover protocol, and what breaks without each of its guards."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import pytest
from specs.claims import make_claims
from specs.claims_state import Bounds
from specs.claims_state import Guards
from specs.ledger import LedgerGuards

if TYPE_CHECKING:
    from collections.abc import Callable

    from specs.checking import Specification

    Prove = Callable[[Specification[Any]], None]
    Refute = Callable[[Specification[Any], str], list[str]]

BOUNDS = {
    "daemon restarts": Bounds(records=4, restarts=1),
    "keeper restarts": Bounds(records=5, keeper_restarts=1, dispatch_copies=2),
    "everything twice": Bounds(records=4, keeper_restarts=1, append_copies=2, dispatch_copies=2),
    "yields": Bounds(records=4, yields=True),
}
TWICE = BOUNDS["everything twice"]
RESTARTS = Bounds(records=4, restarts=1, keeper_restarts=1, dispatch_copies=2)
MUTANTS = [
    ("licence_once", "at most one effect", RESTARTS),
    ("licence_of_own_incarnation", "at most one effect", RESTARTS),
    ("keeper_remembers", "at most one effect", TWICE),
    ("keeper_remembers", "recorded is true", TWICE),
    ("dispatch_names_keeper", "at most one effect", TWICE),
    ("dispatch_names_keeper", "told not run is true", TWICE),
    ("licence_after_read_back", "told not run is true", TWICE),
    ("surrender_ends_licence", "told not run is true", TWICE),
    ("surrender_ends_licence", "recorded is true", TWICE),
    ("silence_may_have_run", "told not run is true", TWICE),
    ("silence_may_have_run", "recorded is true", TWICE),
    ("old_intent_may_have_run", "told not run is true", TWICE),
    ("old_intent_may_have_run", "recorded is true", TWICE),
    ("not_run_needs_certainty", "told not run is true", TWICE),
    ("retry_blurs_refusal", "told not run is true", TWICE),
    ("tell_after_read_back", "told agrees with the log", TWICE),
]
LEDGER_MUTANTS = [
    ("compare_and_set", "no epoch replaced unseen"),
    ("epoch_in_force", "one licence"),
    ("next_in_line", "one licence"),
]


@pytest.mark.parametrize("bounds", BOUNDS.values(), ids=BOUNDS)
def test_claims_hold(bounds: Bounds, prove: Prove) -> None:
    prove(make_claims(bounds=bounds))


@pytest.mark.parametrize(("guard", "rule", "bounds"), MUTANTS)
def test_claims_mutant(guard: str, rule: str, bounds: Bounds, counterexample: Refute) -> None:
    guards = Guards._make(name != guard and on for name, on in Guards()._asdict().items())
    assert counterexample(make_claims(guards, bounds), rule)


@pytest.mark.parametrize(("guard", "rule"), LEDGER_MUTANTS)
def test_ledger_mutant(guard: str, rule: str, counterexample: Refute) -> None:
    guards = Guards(ledger=LedgerGuards()._replace(**{guard: False}))
    assert counterexample(make_claims(guards, TWICE), rule)


def test_claims_hold_without_keeper_epoch_if_nothing_arrives_twice(prove: Prove) -> None:
    """Symptom to fear: two effects of one call when a dispatch does not name its keeper.

    Events: a dispatch arrives twice, the keeper restarting in between. Cause: the new keeper does
    not remember the attempt. With a link that never delivers twice it cannot come about.
    """
    guards = Guards(dispatch_names_keeper=False)
    prove(make_claims(guards, Bounds(records=4, keeper_restarts=1)))


def test_not_run_speaks_of_one_ask_only(counterexample: Refute) -> None:
    """Symptom: a caller is told "not run" for a call that has run.

    Events: the caller asks, gets no answer yet, asks again, and is refused where nothing is known
    of the first ask; that one runs. Cause: "not run" is said of the request it answers. Whoever has
    an earlier request of the same call unanswered must ask on.
    """
    rule = "told not run speaks of the call"
    specification = make_claims(bounds=Bounds())._replace(
        rules={rule: lambda s: s.told[1] != "not_run" or s.effects[0] == 0}
    )
    assert counterexample(specification, rule)
