"""Takes an owner's attempt in, or refuses it at once."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quincespool.core.effects import Count
from quincespool.core.effects import Observe
from quincespool.core.effects import SendMessage
from quincespool.core.keeper import answers as keeper_answers
from quincespool.core.keeper import run as keeper_run
from quincespool.core.keeper import summary as keeper_summary
from quincespool.core.keeper import timers as keeper_timers
from quincespool.core.keeper.queue import Attempt
from quincespool.core.messages import KeeperElsewhere
from quincespool.core.placement import backend_resource
from quincespool.core.placement import partition_of
from quincespool.core.reasons import Reason

if TYPE_CHECKING:
    from quincespool.core.context import Context
    from quincespool.core.effects import Effects
    from quincespool.core.keeper.state import KeeperState
    from quincespool.core.messages import Dispatch


def take_dispatch(state: KeeperState, context: Context, owner: str, dispatch: Dispatch) -> Effects:
    """Queues an attempt and starts it if there is room."""
    if state.seen(dispatch.attempt_id):
        return [Count("keeper_duplicates_total")]
    if dispatch.keeper_incarnation not in (0, state.incarnation):
        # Meant for the process before this one, whose attempts and order we know nothing of. A link
        # delivers once, so that one has not got it.
        elsewhere = KeeperElsewhere(dispatch.attempt_id, dispatch.backend, "")
        return [SendMessage(owner, elsewhere)]
    resource = backend_resource(dispatch.backend)
    holder = context.claims.holder(resource) or ""
    held = context.claims.epoch_held(resource) is not None
    # Held by a ledger that is not fresh (right after a freeze): wait in the queue until it is.
    if not held and holder != context.members.self_id:
        elsewhere = KeeperElsewhere(dispatch.attempt_id, dispatch.backend, holder)
        return [SendMessage(owner, elsewhere)]
    state.held.add(dispatch.backend)
    state.remember(dispatch.attempt_id, now_ms=context.now_ms, time_limit_ms=dispatch.time_limit_ms)
    reason = _refusal(state, context, dispatch)
    if reason is not None:
        done = keeper_answers.not_run(dispatch.attempt_id, reason)
        refused = Count("keeper_refused_total", labels=(("reason", reason.value),))
        return [refused, SendMessage(owner, done)]
    partition = partition_of(dispatch.program_id, state.settings.partition_count)
    state.owner_epochs[partition] = dispatch.epoch
    return _refuse_overtaken(state, context, dispatch) + _enqueue(
        state, context, _attempt(state, context, owner, dispatch)
    )


def _refusal(state: KeeperState, context: Context, dispatch: Dispatch) -> Reason | None:
    if state.draining:
        return Reason.DRAINING
    if keeper_run.superseded(state, dispatch.program_id, dispatch.epoch):
        return Reason.NO_OWNER
    if state.order.overtaken(dispatch.program_id, dispatch.call_number):
        return Reason.NO_OWNER
    if state.quarantine.blocked(dispatch.fingerprint):
        return Reason.QUARANTINED
    entry = context.catalogue.backends().get(dispatch.backend)
    if entry is None or keeper_run.leaving(context, entry):
        return Reason.NO_BACKEND
    return None


def _refuse_overtaken(state: KeeperState, context: Context, dispatch: Dispatch) -> Effects:
    """Notes the call and refuses what still waits of earlier ones of its program."""
    until_ms = context.now_ms + state.keep_ms(dispatch.time_limit_ms)
    state.order.note(dispatch.program_id, dispatch.call_number, until_ms=until_ms)
    effects: Effects = []
    for attempt in list(state.attempts.values()):
        earlier = attempt.dispatch
        if attempt.running or earlier.program_id != dispatch.program_id:
            continue
        if earlier.call_number < dispatch.call_number:
            effects += keeper_run.stop(state, context, attempt, Reason.NO_OWNER)
    return effects


def _attempt(state: KeeperState, context: Context, owner: str, dispatch: Dispatch) -> Attempt:
    # After `licence_ms` a new owner may answer "may have run" and let the program go on. A licensed
    # attempt that starts later would take effect after the program's next call.
    wait_ms = dispatch.time_limit_ms
    if dispatch.non_idempotent:
        wait_ms = min(wait_ms, state.settings.licence_ms)
    return Attempt(
        dispatch=dispatch,
        owner=owner,
        arrival=state.next_arrival(),
        arrived_ms=context.now_ms,
        start_by_ms=context.now_ms + wait_ms,
    )


def _enqueue(state: KeeperState, context: Context, attempt: Attempt) -> Effects:
    backend = attempt.dispatch.backend
    queue = state.queue(backend)
    slots = context.catalogue.backends()[backend]["slots"]
    late = queue.expected_wait_ms(attempt.rank, slots) >= attempt.start_by_ms - context.now_ms
    worst = queue.waiting[-1] if queue.waiting else attempt
    if late or (queue.full(slots) and attempt.rank > worst.rank):
        done = keeper_run.overload(state, attempt, slots=slots)
        refused = Count("keeper_refused_total", labels=(("reason", done.reason),))
        return [refused, SendMessage(attempt.owner, done)]
    effects: Effects = []
    if queue.full(slots):
        done = keeper_run.overload(state, worst, slots=slots)
        effects += keeper_run.conclude(state, context, worst, done)
    queue.add(attempt)
    state.attempts[attempt.attempt_id] = attempt
    key = keeper_timers.timer_key(keeper_timers.LIMIT, attempt.attempt_id)
    context.timers.subscribe(key, at_ms=attempt.start_by_ms)
    keeper_summary.changed(state, context, backend)
    waiting = Observe("keeper_waiting", len(queue.waiting) - 1)
    return [*effects, waiting, *keeper_run.pump(state, context, backend)]
