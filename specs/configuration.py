"""Catalogue edits by racing operators: who is told "accepted", "lost" or "unknown".

Each operator makes one edit from the version in force when it looks. Its append may land late,
twice (an answer was lost, so it was sent again) or never; records expire. What readers make of the
stream is in `specs.configuration_readers`.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Literal
from typing import NamedTuple

from specs.catalogue_log import Edit
from specs.catalogue_log import edit_counts
from specs.catalogue_log import version_after
from specs.checking import Specification

if TYPE_CHECKING:
    from collections.abc import Iterator

    from specs.catalogue_log import Log

    Steps = Iterator[tuple[str, "State"]]

Told = Literal["", "accepted", "lost", "unknown"]


class Guards(NamedTuple):
    """Parts of the protocol that a mutant leaves out.

    Attributes:
      compare_and_set: An edit counts only if made from the version in force.
      accepted_after_read_back: "Accepted" is told from the log, not from the append's answer.
      lost_when_decided: "Lost" is told only when the version has moved on, not for a lost answer.
      unknown_after_expiry: An operator whose records have expired is told "unknown", not "lost".
    """

    compare_and_set: bool = True
    accepted_after_read_back: bool = True
    lost_when_decided: bool = True
    unknown_after_expiry: bool = True


class Bounds(NamedTuple):
    """How much may happen."""

    records: int = 4
    operators: int = 3
    edit_copies: int = 2


class Operator(NamedTuple):
    """One operator with one edit to make."""

    edit: Edit | None = None
    copies: int = 0
    told: Told = ""


class State(NamedTuple):
    """All records ever, the first one kept, copies of edits that may still land, operators."""

    operators: tuple[Operator, ...]
    log: tuple[Edit, ...] = ()
    earliest: int = 0
    flights: tuple[Edit, ...] = ()


ALL_GUARDS = Guards()
BOUNDS = Bounds()


class Configuration:
    """The steps under given guards and bounds."""

    def __init__(self, guards: Guards, bounds: Bounds) -> None:
        self._guards = guards
        self._bounds = bounds

    def version(self, log: Log) -> int:
        """Returns the version in force after all records of `log`."""
        return version_after(log, compare_and_set=self._guards.compare_and_set)

    def counts(self, log: Log, edit: Edit) -> bool:
        """Returns whether some copy of an edit counts."""
        return edit_counts(log, edit, compare_and_set=self._guards.compare_and_set)

    def successors(self, state: State) -> Steps:
        """Yields every step from a state."""
        if len(state.log) < self._bounds.records:
            for edit in dict.fromkeys(state.flights):
                yield f"edit of {edit.operator} lands", _landed(state, edit)
        if state.earliest < len(state.log):
            yield "oldest record expires", state._replace(earliest=state.earliest + 1)
        for index, operator in enumerate(state.operators):
            if not operator.told:
                yield from self._operator_steps(state, index, operator)

    def _operator_steps(self, state: State, index: int, operator: Operator) -> Steps:
        if operator.edit is None:
            edit = Edit(index, self.version(state.log))
            yield f"{index} edits from {edit.base}", _sent(state, index, edit, copies=1)
            return
        if operator.copies < self._bounds.edit_copies:
            again = _sent(state, index, operator.edit, copies=operator.copies + 1)
            yield f"{index} sends again", again
        told = self._verdict(state, operator.edit)
        if told:
            resolved = operator._replace(told=told)
            yield f"{index} is told {told}", _with_operator(state, index, resolved)

    def _verdict(self, state: State, edit: Edit) -> Told:
        if not self._guards.accepted_after_read_back and edit in state.log:
            return "accepted"
        version = self.version(state.log)
        if version == edit.base:
            return "" if self._guards.lost_when_decided else "lost"
        if state.earliest > edit.base + 1 and state.log[version] != edit:
            return "unknown" if self._guards.unknown_after_expiry else "lost"
        return "accepted" if self.counts(state.log, edit) else "lost"


def make_configuration(
    guards: Guards = ALL_GUARDS, bounds: Bounds = BOUNDS
) -> Specification[State]:
    """Returns the specification, or a mutant of it if a guard is off."""
    configuration = Configuration(guards, bounds)

    def told_as_counted(state: State, told: Told, *, counted: bool) -> bool:
        return all(
            configuration.counts(state.log, operator.edit) is counted
            for operator in state.operators
            if operator.told == told and operator.edit
        )

    def undone_by_later_edits_only(state: State) -> bool:
        version = configuration.version(state.log)
        accepted = [o.edit for o in state.operators if o.told == "accepted"]
        return all(edit in state.log[: version + 1] for edit in accepted)

    return Specification(
        initial=State(operators=(Operator(),) * bounds.operators),
        successors=configuration.successors,
        rules={
            "told accepted is true": lambda s: told_as_counted(s, "accepted", counted=True),
            "told lost is true": lambda s: told_as_counted(s, "lost", counted=False),
            "accepted is undone by later edits only": undone_by_later_edits_only,
        },
        sights={
            "one accepted, one lost": lambda s: (
                {"accepted", "lost"} <= {o.told for o in s.operators}
            ),
            "accepted in turn": lambda s: all(o.told == "accepted" for o in s.operators),
            "unknown": lambda s: any(o.told == "unknown" for o in s.operators),
        },
    )


def _landed(state: State, edit: Edit) -> State:
    place = state.flights.index(edit)
    flights = state.flights[:place] + state.flights[place + 1 :]
    return state._replace(log=(*state.log, edit), flights=flights)


def _sent(state: State, index: int, edit: Edit, *, copies: int) -> State:
    operator = state.operators[index]._replace(edit=edit, copies=copies)
    flights = tuple(sorted((*state.flights, edit)))
    return _with_operator(state, index, operator)._replace(flights=flights)


def _with_operator(state: State, index: int, operator: Operator) -> State:
    operators = tuple(operator if i == index else o for i, o in enumerate(state.operators))
    return state._replace(operators=operators)
