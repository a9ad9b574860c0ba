"""The one reducer of a daemon: `(state, time, event) -> effects`, composed of the parts' reducers.

Parts change their own slice of the state in place. What they `Raise` for one another, and what the
daemon sends to itself, is handled here before the step ends, so that one step is whole.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from quincespool.core import claims
from quincespool.core import commit
from quincespool.core import event_routes
from quincespool.core import frontdoor
from quincespool.core.accounts import reducer as accounts
from quincespool.core.catalogue import reducer as catalogue
from quincespool.core.context import Context
from quincespool.core.effects import CloseLinks
from quincespool.core.effects import Log
from quincespool.core.effects import Raise
from quincespool.core.effects import SendMessage
from quincespool.core.effects import Stop
from quincespool.core.event_routes import parts_for
from quincespool.core.events import DrainRequested
from quincespool.core.events import MessageReceived
from quincespool.core.events import Started
from quincespool.core.events import TimerFired
from quincespool.core.events import Woken
from quincespool.core.keeper import reducer as keeper
from quincespool.core.ledger import checkpoints
from quincespool.core.ledger import reducer as ledger
from quincespool.core.membership import reducer as membership
from quincespool.core.owner import lifecycle as owner_lifecycle
from quincespool.core.owner import reducer as owner
from quincespool.core.owner.env import OwnerEnv
from quincespool.core.owner.env import make_owner
from quincespool.core.placement import BACKEND_PREFIX
from quincespool.core.quarantine import reducer as quarantine
from quincespool.core.timers import TimerKey
from quincespool.core.timers import Timers

if TYPE_CHECKING:
    from collections.abc import Callable

    from quincespool.core.effects import Effect
    from quincespool.core.effects import Effects
    from quincespool.core.events import Event
    from quincespool.settings import Settings

PART = "reducer"
HEARTBEAT_MS = 200
"""How often the reducer looks at the clock, to notice that the process stood still."""
DRAIN_AT_LEAST_MS = 6_000
"""A leaving daemon stays longer than callers keep its address (`frontdoor.GOOD_FOR_MS`)."""
DRAIN_WITHOUT_LOG_MS = 20_000
DRAIN_CHECK_MS = 100


class DaemonState:
    """The whole state of a daemon."""

    def __init__(self, *, settings: Settings, incarnation: int, seed: int) -> None:
        self.settings = settings
        self.incarnation = incarnation
        self.timers = Timers()
        self.members = membership.make_membership(settings, incarnation=incarnation, seed=seed)
        self.catalogue = catalogue.make_catalogue(settings, incarnation=incarnation)
        self.quarantine = quarantine.make_quarantine(settings, incarnation=incarnation)
        member_id = settings.member_id
        self.ledger = ledger.make_ledger(settings, member_id=member_id, incarnation=incarnation)
        self.commits = commit.make_commit(settings, member_id=member_id, incarnation=incarnation)
        self.claims = claims.make_claims(settings, member_id=member_id, incarnation=incarnation)
        self.checkpoints = checkpoints.make_checkpoints(settings)
        self.accounts = accounts.make_accounts(settings, incarnation=incarnation)
        self.keeper = keeper.make_keeper(
            settings, incarnation=incarnation, quarantine=self.quarantine
        )
        self.owner = make_owner(settings, member_id=member_id, incarnation=incarnation)
        self.frontdoor = frontdoor.make_frontdoor(
            settings, member_id=member_id, incarnation=incarnation
        )
        self.last_event_ms = 0
        self.drain_since_ms: int | None = None
        self.stopped = False

    @property
    def ready(self) -> bool:
        """Whether the daemon has read what it needs to serve."""
        followed = self.ledger.streams
        return self.catalogue.ready and all(self.ledger.fresh(stream) for stream in followed)


def make_daemon(settings: Settings, *, now_ms: int, seed: int) -> DaemonState:
    """Returns the state of a daemon that has just started. Its incarnation is `now_ms`."""
    state = DaemonState(settings=settings, incarnation=now_ms, seed=seed)
    state.last_event_ms = now_ms
    return state


def step(state: DaemonState, now_ms: int, event: Event) -> Effects:
    """Handles one event, and all that follows from it inside the daemon."""
    pending: deque[Event] = deque()
    effects: Effects = []
    gap_ms = now_ms - state.last_event_ms
    state.last_event_ms = now_ms
    state.ledger.now_ms = now_ms
    if gap_ms > state.settings.stale_after_ms:
        effects += _wake(state, pending, gap_ms)
        if isinstance(event, MessageReceived):
            # It waited in a buffer while we stood still; its sender may have given it up.
            return effects + _drain_queue(state, now_ms, pending)
    pending.append(event)
    return effects + _drain_queue(state, now_ms, pending)


def tick(state: DaemonState, now_ms: int) -> Effects:
    """Handles the timers that are due."""
    effects: Effects = []
    if now_ms - state.last_event_ms > state.settings.stale_after_ms:
        effects += step(state, now_ms, TimerFired(PART, "heartbeat", ""))
    for fired in state.timers.pop_due(now_ms):
        effects += step(state, now_ms, fired)
    return effects


def dump(state: DaemonState) -> dict[str, object]:
    """Returns the state for people to read."""
    now_ms = state.last_event_ms
    return {
        "member_id": state.settings.member_id,
        "zone": state.settings.zone,
        "incarnation": state.incarnation,
        "now_ms": now_ms,
        "ready": state.ready,
        "draining": state.drain_since_ms is not None,
        "members": [update._asdict() for update in state.members.known()],
        "catalogue": state.catalogue.dump(now_ms),
        "quarantine": state.quarantine.dump(),
        "ledger": ledger.dump(state.ledger),
        "holds": sorted(state.ledger.held()),
        "commit": commit.dump(state.commits),
        "accounts": state.accounts.dump(),
        "keeper": state.keeper.dump(),
        "owner": _dump_owner(state),
        "frontdoor": {"open_requests": state.frontdoor.open_requests()},
    }


def _dump_owner(state: DaemonState) -> dict[str, object]:
    return {
        program_id: {
            "calls": {number: run.phase for number, run in program.calls.items()},
            "attained_ms": program.attained_ms,
        }
        for program_id, program in state.owner.runs.programs.items()
    }


def _wake(state: DaemonState, pending: deque[Event], gap_ms: int) -> Effects:
    """The process stood still: others may have taken over what it holds.

    What goes wrong otherwise: it sends an attempt whose program has gone on elsewhere, and a call
    takes effect out of order or twice. Closing the links drops what was buffered unread while it
    stood still; `Woken` makes the ledger useless until the log has been read to its end anew.
    """
    pending.append(Woken(gap_ms))
    return [CloseLinks(), Log("warning", "the process stood still", {"gap_ms": gap_ms})]


def _drain_queue(state: DaemonState, now_ms: int, pending: deque[Event]) -> Effects:
    context = Context(
        now_ms=now_ms,
        catalogue=state.catalogue,
        members=state.members,
        claims=state.ledger,
        timers=state.timers,
    )
    outward: Effects = []
    while pending:
        for effect in _reduce_parts(state, context, pending.popleft()):
            _route(state, effect, pending, outward)
    return outward


def _route(state: DaemonState, effect: Effect, pending: deque[Event], outward: Effects) -> None:
    match effect:
        case Raise(event):
            pending.append(event)
        case SendMessage(member_id, message) if member_id == state.settings.member_id:
            pending.append(MessageReceived(member_id, message))
        case _:
            outward.append(effect)


def _reduce_parts(state: DaemonState, context: Context, event: Event) -> Effects:
    effects: Effects = []
    for part in parts_for(event):
        effects += _REDUCERS[part](state, context, event)
    return effects


def _reduce_checkpoints(state: DaemonState, context: Context, event: Event) -> Effects:
    return checkpoints.reduce(
        state.checkpoints, context, event, ledger=state.ledger, commits=state.commits
    )


def _reduce_claims(state: DaemonState, context: Context, event: Event) -> Effects:
    env = _owner_env(state, context)
    holdings = claims.Holdings(
        busy=lambda resource: _busy(state, env, resource),
        unrecorded_tokens=lambda resource: owner_lifecycle.unrecorded_tokens(env, resource),
    )
    return claims.reduce(
        state.claims,
        context,
        event,
        ledger=state.ledger,
        commits=state.commits,
        holdings=holdings,
    )


def _owner_env(state: DaemonState, context: Context) -> OwnerEnv:
    return OwnerEnv(
        state=state.owner,
        context=context,
        ledger=state.ledger,
        commits=state.commits,
        claims=state.claims,
        quarantine=state.quarantine,
        accounts=state.accounts,
    )


def _busy(state: DaemonState, env: OwnerEnv, resource: str) -> bool:
    if resource.startswith(BACKEND_PREFIX):
        return state.keeper.holds_work(resource.removeprefix(BACKEND_PREFIX))
    return owner_lifecycle.busy(env, resource)


def _reduce_self(state: DaemonState, context: Context, event: Event) -> Effects:
    match event:
        case Started():
            _subscribe(context, "heartbeat", HEARTBEAT_MS)
        case TimerFired(part="reducer", name="heartbeat"):
            _subscribe(context, "heartbeat", HEARTBEAT_MS)
        case DrainRequested():
            if state.drain_since_ms is None:
                state.drain_since_ms = context.now_ms
                _subscribe(context, "drain", DRAIN_CHECK_MS)
        case TimerFired(part="reducer", name="drain"):
            return _check_drained(state, context)
        case _:
            pass
    return []


def _check_drained(state: DaemonState, context: Context) -> Effects:
    """Leaves once nothing is in flight, nothing is held, and no caller has our address any more."""
    assert state.drain_since_ms is not None
    waited_ms = context.now_ms - state.drain_since_ms
    in_flight = state.keeper.busy() or state.frontdoor.open_requests()
    held = state.ledger.held() or state.commits.unapplied()
    # With the log out nothing can be given back; it is taken over as from a dead host.
    held = held and not (waited_ms >= DRAIN_WITHOUT_LOG_MS and not state.ready)
    done = waited_ms >= DRAIN_AT_LEAST_MS and not in_flight and not held
    if done and not state.stopped:
        state.stopped = True
        left = membership.say_left(state.members)
        return [*left, Log("info", "planned stop complete", {"waited_ms": waited_ms}), Stop()]
    _subscribe(context, "drain", DRAIN_CHECK_MS)
    return []


def _subscribe(context: Context, name: str, after_ms: int) -> None:
    context.timers.subscribe(TimerKey(PART, name), at_ms=context.now_ms + after_ms)


_REDUCERS: dict[str, Callable[[DaemonState, Context, Event], Effects]] = {
    event_routes.REDUCER: _reduce_self,
    event_routes.MEMBERSHIP: lambda s, c, e: membership.reduce(s.members, c, e),
    event_routes.CATALOGUE: lambda s, c, e: catalogue.reduce(s.catalogue, c, e),
    event_routes.QUARANTINE: lambda s, c, e: quarantine.reduce(s.quarantine, c, e),
    event_routes.LEDGER: lambda s, c, e: ledger.reduce(
        s.ledger, c, e, in_use=s.commits.streams_in_use()
    ),
    event_routes.COMMIT: lambda s, c, e: commit.reduce(s.commits, c, e),
    event_routes.CLAIMS: _reduce_claims,
    event_routes.CHECKPOINTS: _reduce_checkpoints,
    event_routes.ACCOUNTS: lambda s, c, e: accounts.reduce(s.accounts, c, e),
    event_routes.KEEPER: lambda s, c, e: keeper.reduce(s.keeper, c, e),
    event_routes.OWNER: lambda s, c, e: owner.reduce(_owner_env(s, c), e),
    event_routes.FRONTDOOR: lambda s, c, e: frontdoor.reduce(s.frontdoor, c, e),
}
