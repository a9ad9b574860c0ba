"""Budgets in slices: what a program spends over several owners stays within its budget.

An owner spends only from slices that it has read back from the log, reserves the most an attempt
can cost before sending it, and settles afterwards. Superseded owners go on spending for ever, since
nothing tells them; whoever takes over counts their slices as spent, unless they yielded.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from specs.checking import Specification

if TYPE_CHECKING:
    from collections.abc import Iterator

    Steps = Iterator[tuple[str, "State"]]

BUDGET_TOKENS = 4
SLICE_TOKENS = 2
RESERVE_TOKENS = 2
OWNERS = 3


class Guards(NamedTuple):
    """Parts of the protocol that a mutant leaves out.

    Attributes:
      older_slices_spent: The slices of an older epoch count as spent, not just what is recorded.
      spend_after_read_back: A slice is spent from once it has been read back as valid.
      count_slices_in_flight: A slice whose append is unresolved counts against the budget.
      reserve_most: An attempt reserves the most it can cost.
      yield_idle: An owner yields with no attempt open and all outcomes recorded.
      stop_at_yield: Nothing is spent after sending the yield, also while its fate is unknown.
      unknown_cost_is_most: An attempt whose usage is unknown settles at its reservation.
    """

    older_slices_spent: bool = True
    spend_after_read_back: bool = True
    count_slices_in_flight: bool = True
    reserve_most: bool = True
    yield_idle: bool = True
    stop_at_yield: bool = True
    unknown_cost_is_most: bool = True


class Owner(NamedTuple):
    """The owner of one epoch and what the log says under this epoch.

    Attributes:
      in_flight: Slices appended and not landed.
      granted_tokens: Slices that count in the log.
      read_tokens: Slices that the owner has read back.
      open: Attempts sent and not settled.
      settled_tokens: What the settled attempts cost, as far as the owner knows.
      recorded_tokens: That, by the outcomes in the log.
      yielding: Whether it has sent a yield.
      yielded: Whether the yield counts.
    """

    in_flight: int = 0
    granted_tokens: int = 0
    read_tokens: int = 0
    open: int = 0
    settled_tokens: int = 0
    recorded_tokens: int = 0
    yielding: bool = False
    yielded: bool = False


class State(NamedTuple):
    """The epoch in force is an index into `owners`; `spent_tokens` is the truth."""

    epoch: int = 0
    owners: tuple[Owner, ...] = (Owner(),) * OWNERS
    spent_tokens: int = 0


ALL_GUARDS = Guards()


class Budget:
    """The steps under given guards."""

    def __init__(self, guards: Guards) -> None:
        self._guards = guards

    def successors(self, state: State) -> Steps:
        """Yields every step from a state."""
        if state.epoch < OWNERS - 1:
            yield "taken over", state._replace(epoch=state.epoch + 1)
        for epoch in range(state.epoch + 1):
            owner = state.owners[epoch]
            yield from self._slice_steps(state, epoch, owner)
            yield from self._attempt_steps(state, epoch, owner)
            yield from self._log_steps(state, epoch, owner)
            yield from self._yield_steps(state, epoch, owner)

    def _slice_steps(self, state: State, epoch: int, owner: Owner) -> Steps:
        if owner.yielding or epoch != state.epoch or owner.in_flight == 2:
            return
        known_tokens = owner.read_tokens
        if self._guards.count_slices_in_flight:
            known_tokens = owner.granted_tokens + owner.in_flight * SLICE_TOKENS
        if self._older_tokens(state, epoch) + known_tokens + SLICE_TOKENS <= BUDGET_TOKENS:
            asking = owner._replace(in_flight=owner.in_flight + 1)
            yield f"{epoch} appends a slice", _with(state, epoch, asking)

    def _older_tokens(self, state: State, epoch: int) -> int:
        whole = self._guards.older_slices_spent
        return sum(
            o.granted_tokens if whole and not o.yielded else o.recorded_tokens
            for o in state.owners[:epoch]
        )

    def _attempt_steps(self, state: State, epoch: int, owner: Owner) -> Steps:
        reserve_tokens = RESERVE_TOKENS if self._guards.reserve_most else 1
        usable_tokens = owner.read_tokens
        if not self._guards.spend_after_read_back:
            usable_tokens = owner.granted_tokens + owner.in_flight * SLICE_TOKENS
        free_tokens = usable_tokens - owner.settled_tokens - owner.open * reserve_tokens
        stopped = owner.yielding and self._guards.stop_at_yield
        if free_tokens >= reserve_tokens and not stopped:
            yield f"{epoch} sends", _with(state, epoch, owner._replace(open=owner.open + 1))
        if owner.open:
            yield from self._settle_steps(state, epoch, owner)

    def _settle_steps(self, state: State, epoch: int, owner: Owner) -> Steps:
        for cost_tokens in range(RESERVE_TOKENS + 1):
            # Beyond the budget is a violation already; counting on would only add states.
            spent_tokens = min(BUDGET_TOKENS + 1, state.spent_tokens + cost_tokens)
            spent = state._replace(spent_tokens=spent_tokens)
            unknown = RESERVE_TOKENS if self._guards.unknown_cost_is_most else 0
            for word, told_tokens in (("known", cost_tokens), ("unknown", unknown)):
                settled = owner._replace(
                    open=owner.open - 1,
                    settled_tokens=owner.settled_tokens + told_tokens,
                )
                label = f"{epoch} settles {cost_tokens}, {word}"
                yield label, _with(spent, epoch, settled)

    def _log_steps(self, state: State, epoch: int, owner: Owner) -> Steps:
        in_force = epoch == state.epoch and not owner.yielded
        if owner.in_flight:
            granted = owner._replace(
                in_flight=owner.in_flight - 1,
                granted_tokens=owner.granted_tokens + (SLICE_TOKENS if in_force else 0),
            )
            yield f"slice of {epoch} lands", _with(state, epoch, granted)
        if owner.read_tokens < owner.granted_tokens:
            read = owner._replace(read_tokens=owner.granted_tokens)
            yield f"{epoch} reads", _with(state, epoch, read)
        if in_force and owner.recorded_tokens != owner.settled_tokens:
            recorded = owner._replace(recorded_tokens=owner.settled_tokens)
            yield f"outcomes of {epoch} land", _with(state, epoch, recorded)

    def _yield_steps(self, state: State, epoch: int, owner: Owner) -> Steps:
        idle = owner.open == 0 and owner.recorded_tokens == owner.settled_tokens
        if not owner.yielding and owner.in_flight == 0 and (idle or not self._guards.yield_idle):
            yield f"{epoch} sends yield", _with(state, epoch, owner._replace(yielding=True))
        if owner.yielding and not owner.yielded and epoch == state.epoch:
            yield f"yield of {epoch} lands", _with(state, epoch, owner._replace(yielded=True))


def make_budget(guards: Guards = ALL_GUARDS) -> Specification[State]:
    """Returns the specification, or a mutant of it if a guard is off."""
    return Specification(
        initial=State(),
        successors=Budget(guards).successors,
        rules={"within budget": lambda s: s.spent_tokens <= BUDGET_TOKENS},
        sights={
            "all spent": lambda s: s.spent_tokens == BUDGET_TOKENS,
            "spent by a superseded owner": lambda s: s.owners[0].settled_tokens > 0 < s.epoch,
            "given back by a yield and spent by the next": lambda s: (
                s.owners[0].yielded
                and s.owners[0].granted_tokens == BUDGET_TOKENS
                and s.owners[1].settled_tokens > 0
            ),
        },
    )


def _with(state: State, epoch: int, owner: Owner) -> State:
    owners = tuple(owner if i == epoch else o for i, o in enumerate(state.owners))
    return state._replace(owners=owners)
