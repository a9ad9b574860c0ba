"""Order of effects: two non-idempotent calls of one program, owners, keepers, backend servers.

What `specs.claims` proves is taken for granted here: a call has one intent and its licence is used
once. The question is whether the effect of call 1 can come after that of call 2. Owners are told
apart by their epoch and keepers by theirs; superseded ones go on acting if the assumptions let
them. Dispatches and exchanges are delayed at will.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from specs.checking import Specification

if TYPE_CHECKING:
    from collections.abc import Iterator

    Steps = Iterator[tuple[str, "State"]]

FIRST = 1
SECOND = 2
NONE = -1
MAX_EPOCH = 1
MAX_KEEPER = 2


class Guards(NamedTuple):
    """Parts of the protocol that a mutant leaves out.

    Attributes:
      decide_first: Call 2 gets an intent only when call 1 has an outcome in the log.
      keeper_keeps_order: A keeper starts no call of a program after having taken a later one, and
        checks that when it starts the exchange, not only when the dispatch arrives.
      keeper_waits: A keeper starts no call of a program while an earlier exchange is open.
      dispatch_names_keeper: A dispatch holds the keeper's epoch and other keepers refuse it.
      intent_names_keeper: A licence is for one keeper's epoch, which stands in the intent, and the
        next call of the program goes to no older keeper of that backend server.
      backend_checks_fencing: The backend server refuses a fencing number below the highest seen.
    """

    decide_first: bool = True
    keeper_keeps_order: bool = True
    keeper_waits: bool = True
    dispatch_names_keeper: bool = True
    intent_names_keeper: bool = True
    backend_checks_fencing: bool = True


class Assumptions(NamedTuple):
    """What the environment may do beyond delays.

    Attributes:
      stale_owner_sends: A superseded owner slips between its check and its send.
      stale_keeper_sends: A superseded keeper does.
      cut_exchange_lands: An exchange that the keeper gave up takes effect later all the same.
      two_backends: The calls are for different backend servers.
      barrier: An owner that does not know how call 1 ended has the keeper of call 1's backend
        server refuse it, and the backend server see that keeper's number, before it records so.
    """

    stale_owner_sends: bool = True
    stale_keeper_sends: bool = True
    cut_exchange_lands: bool = False
    two_backends: bool = False
    barrier: bool = False


class Dispatch(NamedTuple):
    """On its way to a keeper."""

    call: int
    keeper: int


class Exchange(NamedTuple):
    """Under way to a backend server; `open` while its keeper waits for the end."""

    call: int
    keeper: int
    open: bool


class State(NamedTuple):
    """Everything.

    Attributes:
      epoch: Owner's epoch in force.
      keeper: Keeper's epoch in force, of all backend servers.
      intents: Epoch of each call's intent.
      named: The keeper that each intent names.
      sent: The calls whose licence is used or given up.
      decided: Whether call 1 has an outcome in the log.
      barrier: Whether the barrier for call 1 is done.
      dispatches: Under way to keepers.
      taken: What each keeper has taken and not started.
      latest: The latest call that each keeper has taken, for each backend server.
      exchanges: Under way to backend servers.
      fence: The highest fencing number each backend server has seen.
      effects: In order.
      early: Whether call 2 took effect before call 1 was decided.
    """

    epoch: int = 0
    keeper: int = 0
    intents: tuple[int, ...] = (NONE, NONE)
    named: tuple[int, ...] = (0, 0)
    sent: frozenset[int] = frozenset()
    decided: bool = False
    barrier: bool = False
    dispatches: frozenset[Dispatch] = frozenset()
    taken: frozenset[Dispatch] = frozenset()
    latest: tuple[tuple[int, ...], ...] = ((0, 0),) * (MAX_KEEPER + 1)
    exchanges: frozenset[Exchange] = frozenset()
    fence: tuple[int, ...] = (0, 0)
    effects: tuple[int, ...] = ()
    early: bool = False


ALL_GUARDS = Guards()
ASSUMPTIONS = Assumptions()


class Order:
    """The steps under given guards and assumptions."""

    def __init__(self, guards: Guards, assumptions: Assumptions) -> None:
        self._guards = guards
        self._assumptions = assumptions

    def successors(self, state: State) -> Steps:
        """Yields every step from a state."""
        if state.epoch < MAX_EPOCH:
            yield "owner superseded", state._replace(epoch=state.epoch + 1)
        if state.keeper < MAX_KEEPER:
            yield "keeper superseded", state._replace(keeper=state.keeper + 1)
        for call in (FIRST, SECOND):
            yield from self._intent_steps(state, call)
            yield from self._send_steps(state, call)
        yield from self._decide_steps(state)
        for dispatch in state.dispatches:
            yield from self._arrival_steps(state, dispatch)
        for dispatch in state.taken:
            yield from self._start_steps(state, dispatch)
        for exchange in state.exchanges:
            yield from self._backend_steps(state, exchange)

    def _intent_steps(self, state: State, call: int) -> Steps:
        if state.intents[call - 1] != NONE:
            return
        if call == SECOND and self._guards.decide_first and not state.decided:
            return
        committed = state._replace(intents=_placed(state.intents, call, state.epoch))
        if not self._guards.intent_names_keeper:
            yield f"intent {call} at {state.epoch}", committed
            return
        oldest = state.named[0] if call == SECOND and not self._assumptions.two_backends else 0
        for keeper in range(oldest, state.keeper + 1):
            named = committed._replace(named=_placed(state.named, call, keeper))
            yield f"intent {call} at {state.epoch} for keeper {keeper}", named

    def _send_steps(self, state: State, call: int) -> Steps:
        epoch = state.intents[call - 1]
        if epoch == NONE or call in state.sent:
            return
        if epoch != state.epoch and not self._assumptions.stale_owner_sends:
            return
        for keeper in self._addressable(state, call):
            dispatches = state.dispatches | {Dispatch(call, keeper)}
            sent = state._replace(sent=state.sent | {call}, dispatches=dispatches)
            yield f"owner {epoch} dispatches {call} to keeper {keeper}", sent

    def _addressable(self, state: State, call: int) -> range:
        if self._guards.intent_names_keeper:
            keeper = state.named[call - 1]
            return range(keeper, keeper + 1)
        fresh = state.intents[call - 1] == state.epoch
        return range(state.keeper if fresh else 0, state.keeper + 1)

    def _decide_steps(self, state: State) -> Steps:
        epoch = state.intents[0]
        if epoch == NONE or state.decided:
            return
        if self._assumptions.barrier and not state.barrier:
            yield from self._barrier_steps(state)
        own = epoch == state.epoch
        known = FIRST in state.effects or (own and FIRST not in state.sent)
        if self._assumptions.barrier and not known and not state.barrier:
            return
        yield f"owner {state.epoch} decides {FIRST}", _surrendered(state)._replace(decided=True)

    def _barrier_steps(self, state: State) -> Steps:
        if any(e.open and e.keeper == state.keeper for e in state.exchanges):
            return
        passed = self._with_latest(_surrendered(state), SECOND, state.keeper, self._backend(FIRST))
        fence = _raised(state.fence, self._backend(FIRST), state.keeper)
        yield "barrier", passed._replace(barrier=True, fence=fence)

    def _arrival_steps(self, state: State, dispatch: Dispatch) -> Steps:
        gone = state._replace(dispatches=state.dispatches - {dispatch})
        keeper = dispatch.keeper
        if not self._guards.dispatch_names_keeper:
            keeper = state.keeper
        if keeper != state.keeper and not self._assumptions.stale_keeper_sends:
            return
        backend = self._backend(dispatch.call)
        taken = gone._replace(taken=gone.taken | {Dispatch(dispatch.call, keeper)})
        latest = max(state.latest[keeper][backend], dispatch.call)
        yield (
            f"keeper {keeper} takes {dispatch.call}",
            self._with_latest(taken, latest, keeper, backend),
        )

    def _start_steps(self, state: State, dispatch: Dispatch) -> Steps:
        call, keeper = dispatch
        if keeper != state.keeper and not self._assumptions.stale_keeper_sends:
            return
        if self._guards.keeper_keeps_order and call < state.latest[keeper][self._backend(call)]:
            return
        if self._guards.keeper_waits and self._has_open(state, keeper, call):
            return
        yield (
            f"keeper {keeper} starts {call}",
            state._replace(
                taken=state.taken - {dispatch},
                exchanges=state.exchanges | {Exchange(call, keeper, open=True)},
            ),
        )

    def _has_open(self, state: State, keeper: int, call: int) -> bool:
        backend = self._backend(call)
        return any(
            e.open and e.keeper == keeper and self._backend(e.call) == backend
            for e in state.exchanges
        )

    def _backend_steps(self, state: State, exchange: Exchange) -> Steps:
        ended = state._replace(exchanges=state.exchanges - {exchange})
        yield f"exchange {exchange.call} fails", ended
        if self._assumptions.cut_exchange_lands and exchange.open:
            loose = ended.exchanges | {exchange._replace(open=False)}
            yield f"exchange {exchange.call} cut", ended._replace(exchanges=loose)
        backend = self._backend(exchange.call)
        if self._guards.backend_checks_fencing and exchange.keeper < state.fence[backend]:
            return
        early = exchange.call == SECOND and not state.decided
        yield (
            f"effect of {exchange.call}",
            ended._replace(
                effects=(*state.effects, exchange.call),
                fence=_raised(state.fence, backend, exchange.keeper),
                early=state.early or early,
            ),
        )

    def _backend(self, call: int) -> int:
        return call - 1 if self._assumptions.two_backends else 0

    def _with_latest(self, state: State, call: int, keeper: int, backend: int) -> State:
        row = tuple(call if b == backend else c for b, c in enumerate(state.latest[keeper]))
        latest = tuple(row if k == keeper else r for k, r in enumerate(state.latest))
        return state._replace(latest=latest)


def make_order(
    guards: Guards = ALL_GUARDS, assumptions: Assumptions = ASSUMPTIONS
) -> Specification[State]:
    """Returns the specification, a mutant, or the same under other assumptions."""
    return Specification(
        initial=State(),
        successors=Order(guards, assumptions).successors,
        rules={
            "effects in order": lambda s: s.effects[:2] != (SECOND, FIRST),
            "call 2 after call 1 is decided": lambda s: not s.early,
        },
        sights={
            "both took effect": lambda s: s.effects == (FIRST, SECOND),
            "only call 2 took effect": lambda s: s.effects == (SECOND,),
            "decided by a later owner": lambda s: s.decided and s.epoch > s.intents[0] >= 0,
            "both, through different keepers": lambda s: (
                len(s.effects) == 2 and s.fence[0] > 0 and any(s.latest[0])
            ),
        },
    )


def _raised(fence: tuple[int, ...], backend: int, keeper: int) -> tuple[int, ...]:
    return tuple(max(f, keeper) if b == backend else f for b, f in enumerate(fence))


def _placed(values: tuple[int, ...], call: int, value: int) -> tuple[int, ...]:
    return tuple(value if i == call - 1 else v for i, v in enumerate(values))


def _surrendered(state: State) -> State:
    # An owner that records an outcome for its own intent gives the licence up with it.
    if state.intents[0] != state.epoch:
        return state
    return state._replace(sent=state.sent | {FIRST})
