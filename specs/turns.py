"""Turns of one program at the owners of its partition: histories and the budget.

The store keeps a partition's records and refuses an append under an epoch lower than the highest
it has seen. Whoever is given the partition makes an empty append under a new epoch, reads all
records, and serves. Earlier owners are not told: each may go on at any time, also after a long
freeze, and an append whose answer was lost may be applied late. One that has left the group writes
for its turns, and for those of owners before it, until the next one has shut it out; it differs
from one that was not told only in that it admits nothing.

A turn generates one token at most. The records are those of `quincespool.gateway.turns.records`.

With `defers`, an owner hands a token out while its turn's start is on the way, or not sent at all:
of one turn at a time, and only if the program began at this owner and a record of it lasts. The
next owner may never hear of it, so that the budget is exceeded by one token at most.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from specs.checking import Specification

if TYPE_CHECKING:
    from collections.abc import Iterator

    Steps = Iterator[tuple[str, "State"]]

# Turns by number; the value is the turn that it continues, or none.
PREVIOUS = (None, 0, None)


class Guards(NamedTuple):
    """Parts of the protocol that a mutant leaves out.

    Attributes:
      store_fences: The store refuses appends under an epoch that is over.
      fence_before_reading: A new owner makes its empty append before it reads.
      start_before_token: The first token waits until the start is durable.
      end_before_told: The caller hears of the end once the record is durable.
      confirm_refusals: An owner asks the store whether it is one still, before it says for good
        that a turn does not exist.
      fold_at_once: A start counts for the next admission before it is durable.
      broken_spends: A turn that breaks off spends what was handed out.
      settle_starts_elsewhere: If an owner was shut out before the start was durable, no token is
        handed out before the new owner has the start.
      admit_settled_starts: A new owner takes such a start only if the budget is still enough.
      defer_where_it_began: Only the owner where a program began defers its starts.
    """

    store_fences: bool = True
    fence_before_reading: bool = True
    start_before_token: bool = True
    end_before_told: bool = True
    confirm_refusals: bool = True
    fold_at_once: bool = True
    broken_spends: bool = True
    settle_starts_elsewhere: bool = True
    admit_settled_starts: bool = True
    defer_where_it_began: bool = True


class Record(NamedTuple):
    """One record: of the kind `started`, `ended` or `broken`."""

    kind: str
    turn: int
    tokens: int = 0


class Owner(NamedTuple):
    """The owner of one epoch.

    Attributes:
      stage: `absent`, `fenced` or `ready`.
      view: The records that it has folded in, own ones before they are durable.
      waiting: Own records not known to be durable; the first one is on its way.
      applied: Whether the store has applied the first one, whose answer is still to come.
      inherits: Whether it found records of the program when it took over.
      has_kept: Whether it has heard that a record of its own is kept.
    """

    stage: str = "absent"
    view: tuple[Record, ...] = ()
    waiting: tuple[Record, ...] = ()
    applied: bool = False
    inherits: bool = False
    has_kept: bool = False


class Turn(NamedTuple):
    """A turn at the owner that admitted it.

    Attributes:
      epoch: Of that owner; -1 if nobody has admitted it.
      handed_out: Whether its token was handed out.
      settled: Whether a record of its end was submitted.
      told: Whether the caller was told that it is whole.
    """

    epoch: int = -1
    handed_out: bool = False
    settled: bool = False
    told: bool = False


class State(NamedTuple):
    """Everything; `fence` is the highest epoch that the store has seen."""

    fence: int = 0
    log: tuple[Record, ...] = ()
    owners: tuple[Owner, ...] = ()
    turns: tuple[Turn, ...] = (Turn(),) * len(PREVIOUS)
    false_absent: bool = False
    seen: frozenset[str] = frozenset()


ALL_GUARDS = Guards()


class Turns:
    """The steps under given guards."""

    def __init__(
        self,
        guards: Guards,
        budget_tokens: int,
        *,
        defers: bool = False,
        previous: tuple[int | None, ...] = PREVIOUS,
    ) -> None:
        self._guards = guards
        self._budget_tokens = budget_tokens
        self._defers = defers
        self._previous = previous

    def successors(self, state: State) -> Steps:
        """Yields every step from a state."""
        for epoch, owner in enumerate(state.owners):
            yield from self._takeover_steps(state, epoch, owner)
            yield from self._store_steps(state, epoch, owner)
            if owner.stage == "ready":
                yield from self._admission_steps(state, epoch, owner)
        for number, turn in enumerate(state.turns):
            if turn.epoch >= 0 and not turn.told:
                yield from self._turn_steps(state, number, turn)

    def _takeover_steps(self, state: State, epoch: int, owner: Owner) -> Steps:
        if owner.stage == "absent":
            if epoch and state.owners[epoch - 1].stage == "absent":
                return
            fence = max(state.fence, epoch) if self._guards.fence_before_reading else state.fence
            fenced = _with_owner(state, epoch, owner._replace(stage="fenced"))
            yield f"{epoch} fences", fenced._replace(fence=fence)
        elif owner.stage == "fenced":
            ready = owner._replace(stage="ready", view=state.log, inherits=bool(state.log))
            yield f"{epoch} has read", _with_owner(state, epoch, ready)

    def _store_steps(self, state: State, epoch: int, owner: Owner) -> Steps:
        if owner.waiting and not owner.applied and self._accepts(state, epoch):
            applied = _with_owner(state, epoch, owner._replace(applied=True))
            fence = max(state.fence, epoch)
            log = (*state.log, owner.waiting[0])
            yield f"store applies for {epoch}", applied._replace(log=log, fence=fence)
        if owner.applied:
            record = owner.waiting[0]
            view = owner.view if record in owner.view else (*owner.view, record)
            kept = owner._replace(view=view, waiting=owner.waiting[1:], applied=False)
            if self._defers:
                kept = kept._replace(has_kept=True)
            yield f"{epoch} hears that it is kept", _with_owner(state, epoch, kept)

    def _accepts(self, state: State, epoch: int) -> bool:
        return epoch >= state.fence or not self._guards.store_fences

    def _admission_steps(self, state: State, epoch: int, owner: Owner) -> Steps:
        for number, turn in enumerate(state.turns):
            if turn.epoch >= 0:
                continue
            previous = self._previous[number]
            ended = {record.turn for record in owner.view if record.kind == "ended"}
            if previous is not None and previous not in ended:
                yield from self._absent_steps(state, epoch, number, previous)
                continue
            if _used_tokens(owner.view) >= self._budget_tokens:
                yield f"{epoch} says budget spent to {number}", _see(state, "budget spent")
                continue
            admitted = _with_turn(state, number, turn._replace(epoch=epoch))
            record = Record("started", number)
            yield f"{epoch} admits {number}", self._submit(admitted, epoch, record)

    def _absent_steps(self, state: State, epoch: int, number: int, previous: int) -> Steps:
        if self._guards.confirm_refusals:
            if epoch < state.fence:
                return
            state = state._replace(fence=epoch)
        false = state.false_absent or state.turns[previous].told
        said = _see(state._replace(false_absent=false), "absent")
        yield f"{epoch} says no such turn to {number}", said

    def _turn_steps(self, state: State, number: int, turn: Turn) -> Steps:
        started = Record("started", number)
        # An owner that is shut out waits for ever; the present one has the start as well by then.
        waits = any(started in owner.waiting for owner in state.owners[state.fence :])
        durable = started in state.log and not waits
        if not turn.handed_out and not turn.settled:
            deferred = self._may_defer(state, number, turn)
            if durable or deferred or not self._guards.start_before_token:
                handed = _with_turn(state, number, turn._replace(handed_out=True))
                yield f"{number} hands out", handed
            yield from self._restart_steps(state, number, turn)
        if not turn.settled:
            if turn.handed_out:
                yield from self._end_steps(state, number, turn, "ended", 1)
            tokens = 1 if turn.handed_out and self._guards.broken_spends else 0
            yield from self._end_steps(state, number, turn, "broken", tokens)
        elif self._is_kept(state, number):
            told = _with_turn(state, number, turn._replace(told=True))
            yield f"{number} told whole", _see(told, "whole")

    def _may_defer(self, state: State, number: int, turn: Turn) -> bool:
        owner = state.owners[turn.epoch]
        others = [one for one in owner.waiting if one.kind == "started" and one.turn != number]
        began_here = owner.has_kept and not owner.inherits
        if not self._guards.defer_where_it_began:
            began_here = True
        return self._defers and began_here and not others

    def _restart_steps(self, state: State, number: int, turn: Turn) -> Steps:
        """The owner was shut out before the start was durable; another one takes the start."""
        record = Record("started", number)
        if turn.epoch >= state.fence or record in state.log:
            return
        newest = state.owners[state.fence]
        if not self._guards.settle_starts_elsewhere:
            handed = _with_turn(state, number, turn._replace(handed_out=True))
            yield f"{number} hands out without its start", handed
        elif newest.stage == "ready" and self._may_start(newest, record):
            moved = _see(self._submit(state, state.fence, record), "start settled elsewhere")
            yield f"start of {number} settled at {state.fence}", moved

    def _may_start(self, newest: Owner, record: Record) -> bool:
        if record in newest.waiting:
            return False
        used_tokens = _used_tokens(newest.view)
        return used_tokens < self._budget_tokens or not self._guards.admit_settled_starts

    def _end_steps(self, state: State, number: int, turn: Turn, kind: str, tokens: int) -> Steps:
        record = Record(kind, number, tokens)
        settled = _with_turn(state, number, turn._replace(settled=True))
        if turn.epoch >= state.fence:
            yield f"{number} {kind} at {turn.epoch}", self._submit(settled, turn.epoch, record)
        elif state.owners[state.fence].stage == "ready":
            moved = _see(self._submit(settled, state.fence, record), "end settled elsewhere")
            yield f"{number} {kind}, settled at {state.fence}", moved

    def _is_kept(self, state: State, number: int) -> bool:
        record = Record("ended", number, 1)
        if not self._guards.end_before_told:
            return any(record in owner.view for owner in state.owners)
        return record in state.log and all(record not in owner.waiting for owner in state.owners)

    def _submit(self, state: State, epoch: int, record: Record) -> State:
        owner = state.owners[epoch]
        view = owner.view
        if self._guards.fold_at_once or record.kind != "started":
            view = (*view, record)
        return _with_owner(
            state, epoch, owner._replace(view=view, waiting=(*owner.waiting, record))
        )


def make_turns(
    guards: Guards = ALL_GUARDS,
    *,
    owners: int = 2,
    budget_tokens: int = 2,
    defers: bool = False,
    previous: tuple[int | None, ...] = PREVIOUS,
) -> Specification[State]:
    """Returns the specification under given guards, for so many owners in turn."""
    bound_tokens = budget_tokens + defers
    turns = Turns(guards, budget_tokens, defers=defers, previous=previous)
    return Specification(
        initial=State(owners=(Owner(),) * owners, turns=(Turn(),) * len(previous)),
        successors=turns.successors,
        rules={
            "within budget": lambda s: sum(t.handed_out for t in s.turns) <= bound_tokens,
            "whole is kept": lambda s: all(
                Record("ended", number, 1) in s.log for number, t in enumerate(s.turns) if t.told
            ),
            "absent is true": lambda s: not s.false_absent,
        },
        sights={
            "a turn goes on at a new owner": lambda s: (
                s.turns[0].told and s.turns[1].told and s.turns[0].epoch < s.turns[1].epoch
            ),
            "a budget is spent": lambda s: "budget spent" in s.seen,
            "a turn does not exist": lambda s: "absent" in s.seen,
            "an end is settled elsewhere": lambda s: "end settled elsewhere" in s.seen,
            "a start is settled elsewhere": lambda s: "start settled elsewhere" in s.seen,
            "an old owner serves on": lambda s: any(
                t.handed_out and t.epoch < s.fence and not t.settled for t in s.turns
            ),
        },
    )


def _used_tokens(view: tuple[Record, ...]) -> int:
    """Returns what the records have spent and reserved, as `Ledger.admit` counts."""
    reserved: set[int] = set()
    spent_tokens = 0
    for record in view:
        if record.kind == "started":
            reserved.add(record.turn)
        elif record.turn in reserved:
            reserved.discard(record.turn)
            spent_tokens += record.tokens
    return spent_tokens + len(reserved)


def _with_owner(state: State, epoch: int, owner: Owner) -> State:
    owners = (*state.owners[:epoch], owner, *state.owners[epoch + 1 :])
    return state._replace(owners=owners)


def _with_turn(state: State, number: int, turn: Turn) -> State:
    turns = (*state.turns[:number], turn, *state.turns[number + 1 :])
    return state._replace(turns=turns)


def _see(state: State, what: str) -> State:
    return state._replace(seen=state.seen | {what})
