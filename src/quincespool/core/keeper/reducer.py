"""The keeper: runs attempts on the backend servers that this daemon holds.

Every backend server has at most one keeper, so its load is known exactly. The keeper takes in an
owner's `Dispatch`, sends it once, and answers with exactly one `DispatchDone` (or
`KeeperElsewhere`), whose verdict says whether the backend server may have run it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from quincespool.core.effects import SendMessage
from quincespool.core.events import CatalogueChanged
from quincespool.core.events import DrainRequested
from quincespool.core.events import ExchangeData
from quincespool.core.events import ExchangeEnd
from quincespool.core.events import ExchangeFailed
from quincespool.core.events import ExchangeHead
from quincespool.core.events import HostsRead
from quincespool.core.events import LedgerAdvanced
from quincespool.core.events import LinkDown
from quincespool.core.events import MembersChanged
from quincespool.core.events import MessageReceived
from quincespool.core.events import RecordsRead
from quincespool.core.events import Started
from quincespool.core.events import TimerFired
from quincespool.core.events import Woken
from quincespool.core.keeper import answers as keeper_answers
from quincespool.core.keeper import cache_audit
from quincespool.core.keeper import intake as keeper_intake
from quincespool.core.keeper import run as keeper_run
from quincespool.core.keeper import summary as keeper_summary
from quincespool.core.keeper import suspects as keeper_suspects
from quincespool.core.keeper import timers as keeper_timers
from quincespool.core.keeper.state import KeeperState
from quincespool.core.messages import CacheRelease
from quincespool.core.messages import CrashSeen
from quincespool.core.messages import Dispatch
from quincespool.core.messages import DispatchCancel
from quincespool.core.messages import KeeperElsewhere
from quincespool.core.messages import ProgramsOver
from quincespool.core.messages import SummaryAsked
from quincespool.core.placement import BACKEND_PREFIX
from quincespool.core.placement import backend_resource
from quincespool.core.quarantine.outbox import QUARANTINE_STREAM
from quincespool.core.reasons import Reason

if TYPE_CHECKING:
    from quincespool.core.context import Context
    from quincespool.core.effects import Effects
    from quincespool.core.events import Event
    from quincespool.core.messages import Message
    from quincespool.core.quarantine.reducer import QuarantineView
    from quincespool.settings import Settings


def make_keeper(settings: Settings, *, incarnation: int, quarantine: QuarantineView) -> KeeperState:
    """Returns the state of a daemon that holds nothing yet."""
    return KeeperState(settings, incarnation=incarnation, quarantine=quarantine)


def reduce(state: KeeperState, context: Context, event: Event) -> Effects:
    """Handles one event."""
    match event:
        case MessageReceived(sender=sender, message=message):
            return _take_message(state, context, sender, message)
        case ExchangeHead() | ExchangeData() | ExchangeEnd() | ExchangeFailed():
            if event.exchange_id in state.audit.exchanges:
                return cache_audit.take_exchange(state, context, event)
            return keeper_run.take_exchange(state, context, event)
        case TimerFired(part=keeper_timers.PART):
            return _take_timer(state, context, event)
        case LinkDown(member_id=member_id):
            return _lose_owner(state, context, member_id)
        case MembersChanged(members=members):
            return _lose_dead_owners(state, context, {one.member_id for one in members})
        case Woken():
            return _wake(state, context)
        case DrainRequested():
            return _drain(state, context)
        case Started():
            return _tick(state, context)
        case _:
            return _take_news(state, context, event)


def _take_news(state: KeeperState, context: Context, event: Event) -> Effects:
    """Takes what other parts have learnt of claims, backend servers and crashes."""
    match event:
        case LedgerAdvanced(resources=resources):
            return _take_claims(state, context, resources)
        case CatalogueChanged(names=names):
            return _take_catalogue(state, context, names)
        case HostsRead():
            return _pump_all(state, context)
        case RecordsRead(stream=stream) if stream == QUARANTINE_STREAM:
            keeper_suspects.schedule(context)
            return []
        case _:
            return []


def _take_message(state: KeeperState, context: Context, sender: str, message: Message) -> Effects:
    match message:
        case Dispatch():
            return keeper_intake.take_dispatch(state, context, sender, message)
        case DispatchCancel(attempt_id=attempt_id):
            return _cancel(state, context, sender, attempt_id)
        case SummaryAsked(backend=backend):
            return keeper_summary.subscribe(state, context, sender, backend)
        case ProgramsOver():
            return cache_audit.take_programs_over(state, context, sender, message)
        case CacheRelease():
            return cache_audit.take_release(state, context, message)
        case CrashSeen():
            keeper_suspects.schedule(context)
            return []
        case _:
            return []


def _take_timer(state: KeeperState, context: Context, event: TimerFired) -> Effects:
    match event.name:
        case keeper_timers.LIMIT:
            return _end_of_time(state, context, event.argument)
        case keeper_timers.PUMP:
            return keeper_run.pump(state, context, event.argument)
        case keeper_timers.SUMMARY:
            return keeper_summary.publish(state, context, event.argument)
        case keeper_timers.AUDIT:
            return cache_audit.audit(state, context, event.argument)
        case keeper_timers.SUSPECTS:
            return keeper_suspects.separate(state, context)
        case _:
            return _tick(state, context)


def _tick(state: KeeperState, context: Context) -> Effects:
    key = keeper_timers.timer_key(keeper_timers.TICK)
    context.timers.subscribe(key, at_ms=context.now_ms + keeper_timers.TICK_MS)
    state.forget_old(context.now_ms)
    for backend, queue in list(state.queues.items()):
        if queue.idle and backend not in state.held:
            del state.queues[backend]
    return _pump_all(state, context)


def _take_catalogue(state: KeeperState, context: Context, names: tuple[str, ...]) -> Effects:
    for backend in sorted(state.held):
        if backend_resource(backend) in names:
            cache_audit.schedule(context, backend)
    return _pump_all(state, context)


def _pump_all(state: KeeperState, context: Context) -> Effects:
    effects: Effects = []
    for backend in list(state.queues):
        effects += keeper_run.pump(state, context, backend)
    return effects


def _cancel(state: KeeperState, context: Context, sender: str, attempt_id: str) -> Effects:
    attempt = state.attempts.get(attempt_id)
    if attempt is not None:
        if attempt.owner != sender:
            return []
        return keeper_run.stop(state, context, attempt, Reason.CANCELLED)
    if attempt_id in state.kept_results:
        return [SendMessage(sender, state.kept_results[attempt_id])]
    if state.seen(attempt_id):
        return []
    # Never say "not run" of an attempt that is unknown here: the process before this one may have
    # sent it and died. One would notice by an order placed twice. A late `Dispatch` is ignored.
    state.remember(attempt_id, now_ms=context.now_ms, time_limit_ms=0)
    done = keeper_answers.may_have_run(attempt_id, Reason.CANCELLED)
    return [SendMessage(sender, done)]


def _end_of_time(state: KeeperState, context: Context, attempt_id: str) -> Effects:
    attempt = state.attempts.get(attempt_id)
    if attempt is None:
        return []
    if attempt.running:
        return keeper_run.stop(state, context, attempt, Reason.DEADLINE)
    done = keeper_run.overload(state, attempt)
    return keeper_run.conclude(state, context, attempt, done)


def _take_claims(state: KeeperState, context: Context, resources: tuple[str, ...]) -> Effects:
    effects: Effects = []
    for resource in resources:
        if not resource.startswith(BACKEND_PREFIX):
            continue
        backend = resource.removeprefix(BACKEND_PREFIX)
        if context.claims.holder(resource) != context.members.self_id:
            state.held.discard(backend)
            effects += _hand_over(state, context, backend)
        else:
            state.held.add(backend)
            cache_audit.schedule(context, backend)
    return effects + _pump_all(state, context)


def _hand_over(state: KeeperState, context: Context, backend: str) -> Effects:
    """Sends owners of what waits to the new keeper; what runs goes on to its end."""
    queue = state.queues.get(backend)
    if queue is None:
        return []
    holder = context.claims.holder(backend_resource(backend)) or ""
    effects: Effects = []
    for attempt in list(queue.waiting):
        keeper_run.remove(state, context, attempt)
        elsewhere = KeeperElsewhere(attempt.attempt_id, backend, holder)
        effects.append(SendMessage(attempt.owner, elsewhere))
    return effects


def _lose_owner(state: KeeperState, context: Context, owner: str) -> Effects:
    effects: Effects = []
    for attempt in list(state.attempts.values()):
        if attempt.owner != owner:
            continue
        # A non-idempotent attempt that was sent cannot be taken back: breaking it off would only
        # turn a known outcome into "may have run".
        if attempt.running and attempt.dispatch.non_idempotent:
            continue
        effects += keeper_run.stop(state, context, attempt, Reason.CANCELLED)
    return effects


def _lose_dead_owners(state: KeeperState, context: Context, alive: set[str]) -> Effects:
    effects: Effects = []
    for owner in sorted({one.owner for one in state.attempts.values()} - alive):
        effects += _lose_owner(state, context, owner)
    return effects


def _wake(state: KeeperState, context: Context) -> Effects:
    """Drops what owners sent before this process stood still.

    They may have given up and gone on with their programs meanwhile. Sent now, an old attempt would
    take effect after a later call of its program.
    """
    effects: Effects = []
    for queue in list(state.queues.values()):
        effects += keeper_run.refuse_waiting(state, context, queue, Reason.NO_BACKEND)
    for owner in sorted({one.owner for one in state.attempts.values()}):
        if owner != context.members.self_id:
            effects += _lose_owner(state, context, owner)
    return effects


def _drain(state: KeeperState, context: Context) -> Effects:
    state.draining = True
    effects: Effects = []
    for queue in list(state.queues.values()):
        effects += keeper_run.refuse_waiting(state, context, queue, Reason.DRAINING)
    return effects
