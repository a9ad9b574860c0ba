"""Runs a specification through the model checker and says what came out.

A specification is a start state, the steps that can follow a state, rules that must hold in every
reachable state, and sights: states that must be reachable, lest a rule hold for want of anything
happening. The search itself is `minicheck.check_safety`: breadth first, so a counterexample is a
shortest one.
"""

from __future__ import annotations

import gc
from typing import TYPE_CHECKING
from typing import Any
from typing import Generic
from typing import NamedTuple
from typing import TypeVar

from minicheck import Protocol
from minicheck import check_safety

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Mapping

MAX_STATES = 3_000_000
_UNSEEN = "unseen: "

State = TypeVar("State")


class Specification(NamedTuple, Generic[State]):
    """A finite state machine with what must hold and what must be reachable.

    Attributes:
      initial: The only start state; hashable, as all states.
      successors: Gives the labelled steps from a state.
      rules: Must hold in every reachable state.
      sights: Must hold in at least one reachable state each.
    """

    initial: State
    successors: Callable[[State], Iterable[tuple[str, State]]]
    rules: Mapping[str, Callable[[State], bool]]
    sights: Mapping[str, Callable[[State], bool]]


class Result(NamedTuple):
    """What a run established.

    Attributes:
      states: How many distinct states were reached.
      exhaustive: Whether these are all.
      refuted: The labels of a shortest counterexample by rule.
      unseen: Sights that no reached state shows.
    """

    states: int
    exhaustive: bool
    refuted: dict[str, list[str]]
    unseen: list[str]


def explore(specification: Specification[State]) -> Result:
    """Searches all reachable states and checks all rules and sights."""
    invariants = {name: _on_state(rule) for name, rule in specification.rules.items()}
    for name, sight in specification.sights.items():
        invariants[_UNSEEN + name] = _not_on_state(sight)
    found = _search(_protocol(specification, invariants))
    properties = found["properties"]
    return Result(
        states=found["reachable_states"],
        exhaustive=found["exhaustive"],
        refuted=_counterexamples({n: properties[n] for n in specification.rules}),
        unseen=[n for n in specification.sights if properties[_UNSEEN + n]["holds"] is not False],
    )


def refute(specification: Specification[State], rule: str) -> Result:
    """Searches until a state breaks `rule`; `refuted` is empty if none does.

    No state is expanded after that, so `states` counts only what was reached till then and
    `exhaustive` is false.
    """
    broken: list[bool] = []

    def holds(wrapped: dict[str, Any]) -> bool:
        if specification.rules[rule](wrapped["state"]):
            return True
        broken.append(True)
        return False

    protocol = _protocol(specification, {rule: holds}, stop=lambda: bool(broken))
    found = _search(protocol)
    return Result(
        states=found["reachable_states"],
        exhaustive=found["exhaustive"] and not broken,
        refuted=_counterexamples(found["properties"]),
        unseen=[],
    )


def _search(protocol: Any) -> Any:
    # All states stay reachable, so the collector finds nothing in millions of tuples and takes
    # half of the time doing so.
    gc.disable()
    try:
        return check_safety(protocol, max_states=MAX_STATES)
    finally:
        gc.enable()


def _protocol(
    specification: Specification[State],
    invariants: Mapping[str, Callable[[dict[str, Any]], bool]],
    *,
    stop: Callable[[], bool] = lambda: False,
) -> Any:
    def transitions(wrapped: tuple[State]) -> list[tuple[str, tuple[State]]]:
        if stop():
            return []
        return [(label, (state,)) for label, state in specification.successors(wrapped[0])]

    return Protocol(
        name="specification",
        candidate=False,
        fields=("state",),
        initial=(specification.initial,),
        transitions=transitions,
        invariants=dict(invariants),
    )


def _on_state(rule: Callable[[State], bool]) -> Callable[[dict[str, Any]], bool]:
    return lambda wrapped: rule(wrapped["state"])


def _not_on_state(sight: Callable[[State], bool]) -> Callable[[dict[str, Any]], bool]:
    return lambda wrapped: not sight(wrapped["state"])


def _counterexamples(properties: Mapping[str, Any]) -> dict[str, list[str]]:
    return {
        name: [step["label"] for step in found["counterexample"][1:]]
        for name, found in properties.items()
        if found["holds"] is False
    }
