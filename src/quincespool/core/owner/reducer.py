"""The owner part: runs the programs of the partitions this daemon holds.

A call goes through `_accept` (is it ours, is it known, is it its turn), `owner_start` (may it run;
open the program, draw a slice, write the intent), `owner_dispatch` (choose a backend server, send
the attempt to its keeper, try again) and `owner_finish` (record the outcome, tell the callers).
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from quincespool.core.call import Call
from quincespool.core.call import CallKind
from quincespool.core.claims import yielding
from quincespool.core.effects import SendMessage
from quincespool.core.events import AccountDecided
from quincespool.core.events import CatalogueChanged
from quincespool.core.events import LedgerAdvanced
from quincespool.core.events import LinkDown
from quincespool.core.events import MembersChanged
from quincespool.core.events import MessageReceived
from quincespool.core.events import Started
from quincespool.core.events import TimerFired
from quincespool.core.messages import BackendSummary
from quincespool.core.messages import DispatchDone
from quincespool.core.messages import DispatchText
from quincespool.core.messages import ForwardAudit
from quincespool.core.messages import ForwardCall
from quincespool.core.messages import ForwardEnd
from quincespool.core.messages import ForwardGone
from quincespool.core.messages import ForwardText
from quincespool.core.messages import KeeperElsewhere
from quincespool.core.messages import ProgramsAsked
from quincespool.core.outcomes import stored_answer
from quincespool.core.owner import audit as owner_audit
from quincespool.core.owner import dispatch as owner_dispatch
from quincespool.core.owner import ending
from quincespool.core.owner import finish as owner_finish
from quincespool.core.owner import lifecycle as owner_lifecycle
from quincespool.core.owner import start as owner_start
from quincespool.core.owner.checks import time_limit_ms
from quincespool.core.owner.env import COME_BACK_MS
from quincespool.core.owner.env import PART
from quincespool.core.owner.env import KnownSummary
from quincespool.core.owner.env import refuse
from quincespool.core.owner.env import set_deadline
from quincespool.core.owner.env import tell
from quincespool.core.owner.program_run import Caller
from quincespool.core.owner.program_run import CallRun
from quincespool.core.owner.program_run import Phase
from quincespool.core.reasons import Reason
from quincespool.verdict import Verdict

if TYPE_CHECKING:
    from quincespool.core.effects import Effects
    from quincespool.core.events import Event
    from quincespool.core.ledger.program_record import ProgramRecord
    from quincespool.core.owner.env import OwnerEnv

MAX_WAITING_CALLS = 64
GAP_LIMIT_MS = 5_000
"""How long a call waits for the one before it to arrive."""


def reduce(env: OwnerEnv, event: Event) -> Effects:
    """Handles calls, keepers' answers, read-back and timers."""
    match event:
        case MessageReceived():
            return _on_message(env, event)
        case LedgerAdvanced():
            return owner_lifecycle.on_advance(env, event)
        case TimerFired(part=part) if part == PART:
            return _on_timer(env, event)
        case AccountDecided():
            return owner_start.on_decided(env, event)
        case LinkDown():
            return owner_dispatch.on_link_down(env, event.member_id)
        case MembersChanged():
            return owner_dispatch.on_members(env)
        case Started():
            ending.subscribe_review(env.context)
            return []
        case CatalogueChanged():
            env.state.policies.clear()
            return []
        case _:
            return []


def _on_message(env: OwnerEnv, event: MessageReceived) -> Effects:
    sender = event.sender
    env.state.unreachable.discard(sender)
    match event.message:
        case ForwardCall() as message:
            return _accept(env, sender, message)
        case DispatchText() as message:
            return _pass_text(env, message)
        case DispatchDone() as message:
            return owner_finish.on_done(env, message)
        case KeeperElsewhere() as message:
            return owner_dispatch.on_elsewhere(env, message)
        case ForwardEnd() as message:
            return ending.on_end(env, Caller(sender, message.ticket), message.program_id)
        case ForwardAudit() as message:
            return owner_audit.on_audit(env, Caller(sender, message.ticket), message.outcome_id)
        case ForwardGone() as message:
            _on_gone(env, Caller(sender, message.ticket))
            return []
        case ProgramsAsked() as message:
            return owner_lifecycle.on_programs_asked(env, sender, message)
        case BackendSummary() as message:
            known = KnownSummary(message, env.context.now_ms)
            env.state.summaries[message.backend] = known
            return []
        case _:
            return []


def call_of(message: ForwardCall) -> Call:
    """Returns the call that a front door passed on."""
    return Call(
        program_id=message.program_id,
        call_number=message.call_number,
        class_name=message.class_name,
        account=message.account,
        kind=CallKind(message.call_kind),
        target=message.target,
        path=message.path,
        body=message.body,
        stream=message.stream,
        idempotent=message.idempotent,
        max_tokens=message.max_tokens,
        deadline_ms=message.deadline_ms,
        first_send=message.first_send,
    )


def _accept(env: OwnerEnv, sender: str, message: ForwardCall) -> Effects:
    call = call_of(message)
    caller = Caller(sender, message.ticket, message.first_send)
    running = env.state.runs.find_call(call.program_id, call.call_number)
    if running is not None:
        return _join(env, running, call, caller)
    partition = env.ledger.partition(call.program_id)
    epoch = env.ledger.epoch_held(partition)
    if epoch is None:
        return _not_held(env, call, caller, partition)
    record = env.ledger.program(call.program_id)
    if record is not None and call.call_number <= record.last_call:
        return _repeat(env, call, caller, record)
    if yielding(env.claims, partition):
        return refuse(env, call, [caller], Reason.DRAINING, retry_after_ms=COME_BACK_MS)
    if record is not None and record.ended:
        return refuse(env, call, [caller], Reason.PROGRAM_ENDED)
    return _begin(env, call, caller, epoch, record)


def _begin(
    env: OwnerEnv, call: Call, caller: Caller, epoch: int, record: ProgramRecord | None
) -> Effects:
    program = env.state.runs.program(call.program_id)
    if _is_ending(env, call):
        return refuse(env, call, [caller], Reason.PROGRAM_ENDED)
    if len(program.calls) >= MAX_WAITING_CALLS:
        return refuse(env, call, [caller], Reason.OVERLOAD, retry_after_ms=COME_BACK_MS)
    now_ms = env.context.now_ms
    run = CallRun(
        call=call,
        caller=caller,
        epoch=epoch,
        received_ms=now_ms,
        deadline_at_ms=now_ms + time_limit_ms(env.context.catalogue, call),
    )
    program.calls[call.call_number] = run
    last_call = record.last_call if record is not None else 0
    if call.call_number > last_call + 1:
        run.deadline_at_ms = min(run.deadline_at_ms, now_ms + GAP_LIMIT_MS)
        set_deadline(env, run)
        return []
    set_deadline(env, run)
    return owner_start.start(env, run)


def _is_ending(env: OwnerEnv, call: Call) -> bool:
    """Whether the program's end, or its root's, is on its way to the log.

    A call dispatched now would be run and then be refused, since its outcome no longer counts.
    """
    runs = (env.state.runs.programs.get(one) for one in (call.program_id, call.root_id))
    return any(run is not None and run.end_reason for run in runs)


def _not_held(env: OwnerEnv, call: Call, caller: Caller, partition: str) -> Effects:
    """Refuses what this daemon cannot decide; the front door asks whom the hint names."""
    if env.ledger.epoch_believed(partition) is not None:
        return refuse(env, call, [caller], Reason.LOG_OUT, retry_after_ms=COME_BACK_MS)
    holder = env.ledger.holder(partition) or ""
    return refuse(env, call, [caller], Reason.NO_OWNER, retry_after_ms=COME_BACK_MS, hint=holder)


def _join(env: OwnerEnv, run: CallRun, call: Call, caller: Caller) -> Effects:
    """A call that is under way already came again: one run, one answer, for both callers."""
    if run.call.fingerprint != call.fingerprint:
        verdict = Verdict.NOT_RUN if call.first_send else Verdict.MAY_HAVE_RUN
        return refuse(env, call, [caller], Reason.CALL_CONFLICT, verdict=verdict)
    run.callers = [known for known in run.callers if known[:2] != caller[:2]] + [caller]
    if call.stream and run.text:
        return [SendMessage(caller.member_id, ForwardText(caller.ticket, "".join(run.text)))]
    return []


def _repeat(env: OwnerEnv, call: Call, caller: Caller, record: ProgramRecord) -> Effects:
    """A call with an outcome came again: it gets the recorded answer and nothing runs."""
    stored = record.answer(call.call_number)
    if stored is None:
        return refuse(env, call, [caller], Reason.ANSWER_NOT_KEPT, verdict=Verdict.MAY_HAVE_RUN)
    if stored.fingerprint != call.fingerprint:
        return refuse(env, call, [caller], Reason.CALL_CONFLICT)
    return tell([caller], stored_answer(stored))


def _pass_text(env: OwnerEnv, message: DispatchText) -> Effects:
    """Passes generated text on; text of an attempt given up belongs to nobody and is dropped."""
    run = env.state.runs.attempts.get(message.attempt_id)
    if run is None or run.phase != Phase.DISPATCHED:
        return []
    run.text.append(message.text)
    if not run.call.stream:
        return []
    run.told_text = True
    return [
        SendMessage(caller.member_id, ForwardText(caller.ticket, message.text))
        for caller in run.callers
    ]


def _on_gone(env: OwnerEnv, caller: Caller) -> None:
    """A caller went away. Its call runs on: the outcome is kept for when it sends it again."""
    for program in env.state.runs.programs.values():
        for run in program.calls.values():
            run.callers = [known for known in run.callers if known[:2] != caller[:2]]


def _on_timer(env: OwnerEnv, event: TimerFired) -> Effects:
    if event.name == "review":
        return ending.review(env)
    program_id, _, number = event.argument.rpartition("#")
    run = env.state.runs.find_call(program_id, int(number))
    if run is None:
        return []
    if event.name == "retry":
        return owner_start.resume(env, run)
    return owner_finish.on_deadline(env, run)
