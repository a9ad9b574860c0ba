"""Starts attempts on backend servers, takes their responses and ends them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quincespool.core.effects import Count
from quincespool.core.effects import Log
from quincespool.core.effects import Observe
from quincespool.core.effects import SendMessage
from quincespool.core.effects import StartExchange
from quincespool.core.effects import StopExchange
from quincespool.core.events import ExchangeData
from quincespool.core.events import ExchangeEnd
from quincespool.core.events import ExchangeFailed
from quincespool.core.events import ExchangeHead
from quincespool.core.keeper import answers as keeper_answers
from quincespool.core.keeper import summary as keeper_summary
from quincespool.core.keeper import timers as keeper_timers
from quincespool.core.keeper.chat_stream import MalformedReplyError
from quincespool.core.keeper.exchange import Reply
from quincespool.core.keeper.exchange import request_body
from quincespool.core.keeper.exchange import request_headers
from quincespool.core.messages import DispatchText
from quincespool.core.placement import backend_resource
from quincespool.core.placement import partition_of
from quincespool.core.reasons import Reason
from quincespool.verdict import Verdict

if TYPE_CHECKING:
    from quincespool.core.context import Context
    from quincespool.core.effects import Effects
    from quincespool.core.entries import BackendEntry
    from quincespool.core.events import ExchangeEvent
    from quincespool.core.keeper.queue import Attempt
    from quincespool.core.keeper.queue import BackendQueue
    from quincespool.core.keeper.state import KeeperState
    from quincespool.core.messages import DispatchDone

PUMP_AGAIN_MS = 100
CRASH_HOLD_MS = 500


def pump(state: KeeperState, context: Context, backend: str) -> Effects:
    """Starts what may start on a backend server, and refuses what never will."""
    queue = state.queue(backend)
    if not queue.waiting:
        return []
    entry = context.catalogue.backends().get(backend)
    if entry is None or leaving(context, entry):
        return refuse_waiting(state, context, queue, Reason.NO_BACKEND)
    effects: Effects = []
    epoch = context.claims.epoch_held(backend_resource(backend))
    # Without a fresh ledger another daemon may be the keeper by now, with its own count of slots.
    if epoch is not None:
        while (attempt := _next(state, context, queue, slots=entry["slots"])) is not None:
            effects += _start(state, context, queue, attempt, entry=entry, epoch=epoch)
    if queue.waiting and len(queue.running) < entry["slots"]:
        key = keeper_timers.timer_key(keeper_timers.PUMP, backend)
        context.timers.subscribe(key, at_ms=context.now_ms + PUMP_AGAIN_MS)
    return effects


def leaving(context: Context, entry: BackendEntry) -> bool:
    """Whether a backend server gets nothing new, by the catalogue or the host list."""
    return entry.get("leaving", False) or context.members.backend_leaving(entry["address"])


def refuse_waiting(
    state: KeeperState, context: Context, queue: BackendQueue, reason: Reason
) -> Effects:
    """Refuses all that waits in a queue; nothing of it has been sent."""
    effects: Effects = []
    for attempt in list(queue.waiting):
        done = keeper_answers.not_run(attempt.attempt_id, reason)
        effects += conclude(state, context, attempt, done)
    return effects


def take_exchange(state: KeeperState, context: Context, event: ExchangeEvent) -> Effects:
    """Takes an event of a running attempt's exchange."""
    attempt = state.running.get(event.exchange_id)
    if attempt is None or attempt.reply is None:
        return []
    if isinstance(event, ExchangeHead):
        attempt.reply.take_head(event)
        return []
    if isinstance(event, ExchangeData):
        return _take_data(state, context, attempt, attempt.reply, event.data)
    if isinstance(event, ExchangeEnd):
        return _take_end(state, context, attempt, attempt.reply)
    return _take_failure(state, context, attempt, event)


def stop(state: KeeperState, context: Context, attempt: Attempt, reason: Reason) -> Effects:
    """Ends an attempt early: not run if it waits, may have run if it was sent."""
    if not attempt.running:
        done = keeper_answers.not_run(attempt.attempt_id, reason)
        return conclude(state, context, attempt, done)
    done = keeper_answers.may_have_run(attempt.attempt_id, reason)
    return [StopExchange(attempt.exchange_id), *conclude(state, context, attempt, done)]


def conclude(state: KeeperState, context: Context, attempt: Attempt, done: DispatchDone) -> Effects:
    """Takes an attempt out, tells its owner, and lets the next one start."""
    backend = attempt.dispatch.backend
    effects: Effects = [Count("keeper_finished_total", labels=(("verdict", done.verdict),))]
    if done.verdict == Verdict.NOT_RUN:
        effects.append(Count("keeper_refused_total", labels=(("reason", done.reason),)))
    if attempt.running:
        effects.append(Observe("keeper_run_ms", context.now_ms - attempt.started_ms))
    remove(state, context, attempt)
    effects += _tell_owner(state, context, attempt, done)
    # Through the timer: a refusal in the midst of a sweep must not start others on the spot.
    key = keeper_timers.timer_key(keeper_timers.PUMP, backend)
    context.timers.subscribe(key, at_ms=context.now_ms)
    return effects


def remove(state: KeeperState, context: Context, attempt: Attempt) -> None:
    """Forgets an attempt without telling anybody."""
    state.queue(attempt.dispatch.backend).remove(attempt, now_ms=context.now_ms)
    del state.attempts[attempt.attempt_id]
    state.running.pop(attempt.exchange_id, None)
    if attempt.running and attempt.dispatch.non_idempotent:
        state.order.closed(attempt.dispatch.program_id, attempt.dispatch.call_number)
    context.timers.cancel(keeper_timers.timer_key(keeper_timers.LIMIT, attempt.attempt_id))
    keeper_summary.changed(state, context, attempt.dispatch.backend)


def _next(
    state: KeeperState, context: Context, queue: BackendQueue, *, slots: int
) -> Attempt | None:
    if len(queue.running) >= slots or context.now_ms < queue.resume_at_ms:
        return None
    # Right after a start the crashes known to the log are not in memory: a request stopped for good
    # would run once more on every newcomer.
    if not state.quarantine.ready:
        return None
    return next((one for one in queue.waiting if _may_start(state, context, queue, one)), None)


def _may_start(state: KeeperState, context: Context, queue: BackendQueue, attempt: Attempt) -> bool:
    dispatch = attempt.dispatch
    if state.order.must_wait(dispatch.program_id, dispatch.call_number):
        return False
    fingerprint = dispatch.fingerprint
    quarantine = state.quarantine
    if not quarantine.suspect(fingerprint):
        return True
    # Two suspects together could crash the backend server once more and leave both with two
    # crashes, of which one is innocent; one at a time, the second crash names the guilty one.
    if any(quarantine.suspect(one.dispatch.fingerprint) for one in queue.running.values()):
        return False
    return quarantine.may_try(fingerprint, queue.backend, now_ms=context.now_ms)


def _start(
    state: KeeperState,
    context: Context,
    queue: BackendQueue,
    attempt: Attempt,
    *,
    entry: BackendEntry,
    epoch: int,
) -> Effects:
    dispatch = attempt.dispatch
    refusal = _last_check(state, attempt, now_ms=context.now_ms)
    if refusal is not None:
        return conclude(state, context, attempt, refusal)
    body = request_body(dispatch)
    if body.is_error():
        done = keeper_answers.not_run(attempt.attempt_id, Reason.MALFORMED)
        return conclude(state, context, attempt, done)
    assert epoch is not None
    attempt.exchange_id = state.next_exchange_id()
    attempt.started_ms = context.now_ms
    attempt.reply = Reply(call_kind=dispatch.call_kind, limit_bytes=state.settings.max_body_bytes)
    queue.start(attempt)
    state.running[attempt.exchange_id] = attempt
    if dispatch.non_idempotent:
        state.order.opened(dispatch.program_id, dispatch.call_number)
    context.timers.subscribe(
        keeper_timers.timer_key(keeper_timers.LIMIT, attempt.attempt_id), at_ms=attempt.end_by_ms
    )
    keeper_summary.changed(state, context, queue.backend)
    return [
        StartExchange(
            exchange_id=attempt.exchange_id,
            address=entry["address"],
            method="POST",
            path=dispatch.path,
            headers=request_headers(dispatch, epoch=epoch),
            body=body.ok,
            time_limit_ms=attempt.end_by_ms - context.now_ms,
        ),
        Count("keeper_started_total", labels=(("kind", dispatch.call_kind),)),
        Observe("keeper_queue_wait_ms", context.now_ms - attempt.arrived_ms),
    ]


def _last_check(state: KeeperState, attempt: Attempt, *, now_ms: int) -> DispatchDone | None:
    dispatch = attempt.dispatch
    if state.quarantine.blocked(dispatch.fingerprint):
        return keeper_answers.not_run(attempt.attempt_id, Reason.QUARANTINED)
    if superseded(state, attempt.dispatch.program_id, dispatch.epoch):
        return keeper_answers.not_run(attempt.attempt_id, Reason.NO_OWNER)
    if state.order.overtaken(dispatch.program_id, dispatch.call_number):
        return keeper_answers.not_run(attempt.attempt_id, Reason.NO_OWNER)
    if now_ms >= attempt.start_by_ms:
        return overload(state, attempt)
    return None


def superseded(state: KeeperState, program_id: str, epoch: int) -> bool:
    """Whether a newer owner of the program's partition has been heard from.

    An owner that stood still while another took over sends on as if it still held the partition.
    One would notice by calls of a program that take effect out of order: the new owner's next call,
    then the old one's. The higher epoch seen here tells the old owner apart.
    """
    partition = partition_of(program_id, state.settings.partition_count)
    return epoch < state.owner_epochs.get(partition, -1)


def overload(state: KeeperState, attempt: Attempt, *, slots: int = 1) -> DispatchDone:
    """Returns the refusal of an attempt that cannot start in time."""
    queue = state.queue(attempt.dispatch.backend)
    wait_ms = queue.expected_wait_ms(attempt.rank, slots)
    retry_after_ms = min(max(wait_ms, 200), 30_000)
    return keeper_answers.not_run(
        attempt.attempt_id, Reason.OVERLOAD, retry_after_ms=retry_after_ms
    )


def _take_data(
    state: KeeperState, context: Context, attempt: Attempt, reply: Reply, data: bytes
) -> Effects:
    try:
        text = reply.take_data(data)
    except MalformedReplyError as error:
        detail: dict[str, object] = {"attempt_id": attempt.attempt_id, "detail": str(error)}
        log = Log("error", "response of a backend server not understood", detail)
        return [log, *stop(state, context, attempt, Reason.BACKEND_FAILED)]
    if not text:
        return []
    return [SendMessage(attempt.owner, DispatchText(attempt.attempt_id, text))]


def _take_end(state: KeeperState, context: Context, attempt: Attempt, reply: Reply) -> Effects:
    dispatch = attempt.dispatch
    entry = context.catalogue.backends().get(dispatch.backend)
    checks_fencing = entry is not None and entry.get("checks_fencing", False)
    done = keeper_answers.answered(dispatch, reply, checks_fencing=checks_fencing)
    effects = conclude(state, context, attempt, done)
    if done.reason == Reason.NO_OWNER:
        detail: dict[str, object] = {"backend": dispatch.backend, "attempt_id": dispatch.attempt_id}
        effects += [
            Log("warning", "a backend server knows a newer keeper", detail),
            Count("keeper_fenced_total"),
        ]
    return effects


def _take_failure(
    state: KeeperState, context: Context, attempt: Attempt, event: ExchangeFailed
) -> Effects:
    attempt_id = attempt.attempt_id
    reply = attempt.reply
    if reply is not None and reply.chat is not None and reply.chat.ended:
        return _take_end(state, context, attempt, reply)
    if not event.sent:
        done = keeper_answers.not_run(attempt_id, Reason.NO_BACKEND)
        return conclude(state, context, attempt, done)
    if not event.cut:
        done = keeper_answers.may_have_run(attempt_id, Reason.DEADLINE)
        return conclude(state, context, attempt, done)
    # The other connections of a crashed backend server break within moments. An attempt started
    # in between would be cut too and stand there as a suspect, although it did nothing.
    state.queue(attempt.dispatch.backend).resume_at_ms = context.now_ms + CRASH_HOLD_MS
    done = keeper_answers.may_have_run(attempt_id, Reason.BACKEND_FAILED, crashed=True)
    detail: dict[str, object] = {
        "backend": attempt.dispatch.backend,
        "attempt_id": attempt_id,
        "program_id": attempt.dispatch.program_id,
        "call_number": attempt.dispatch.call_number,
        "fingerprint": attempt.dispatch.fingerprint,
        "detail": event.detail,
    }
    return [
        Log("warning", "a backend server cut the connection of an attempt", detail),
        Count("keeper_crashes_total"),
        *conclude(state, context, attempt, done),
    ]


def _tell_owner(
    state: KeeperState, context: Context, attempt: Attempt, done: DispatchDone
) -> Effects:
    if attempt.dispatch.non_idempotent and done.verdict != Verdict.NOT_RUN:
        state.keep_result(done)
    if context.members.find(attempt.owner) is not None:
        return [SendMessage(attempt.owner, done)]
    detail: dict[str, object] = {
        "attempt_id": attempt.attempt_id,
        "program_id": attempt.dispatch.program_id,
        "call_number": attempt.dispatch.call_number,
        "owner": attempt.owner,
        "non_idempotent": attempt.dispatch.non_idempotent,
        "verdict": done.verdict,
        "status": done.status,
    }
    return [
        Log("warning", "an attempt ended after its owner", detail),
        Count("keeper_orphans_total"),
    ]
