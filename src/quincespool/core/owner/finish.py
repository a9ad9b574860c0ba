"""After an attempt: records outcomes, withdraws unused licences, tells the callers."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Literal

from quincespool.core import commit
from quincespool.core.call import Answer
from quincespool.core.call import CallKind
from quincespool.core.call import Usage
from quincespool.core.effects import Count
from quincespool.core.effects import Observe
from quincespool.core.effects import SendMessage
from quincespool.core.ledger.program_record import next_chain
from quincespool.core.messages import DispatchCancel
from quincespool.core.outcomes import OK
from quincespool.core.outcomes import OutcomeId
from quincespool.core.outcomes import completion_body
from quincespool.core.outcomes import encode_body
from quincespool.core.outcomes import stored_answer
from quincespool.core.owner import permit as owner_permit
from quincespool.core.owner import retries as owner_retries
from quincespool.core.owner.closing import finish
from quincespool.core.owner.closing import finish_refused
from quincespool.core.owner.closing import unused_licence_verdict
from quincespool.core.owner.env import COME_BACK_MS
from quincespool.core.owner.env import PART
from quincespool.core.owner.env import refuse
from quincespool.core.owner.env import tell
from quincespool.core.owner.program_run import Phase
from quincespool.core.reasons import STATUS
from quincespool.core.reasons import Reason
from quincespool.core.timers import TimerKey
from quincespool.verdict import Verdict

if TYPE_CHECKING:
    from quincespool.core.effects import Effects
    from quincespool.core.messages import DispatchDone
    from quincespool.core.owner.env import OwnerEnv
    from quincespool.core.owner.program_run import CallRun
    from quincespool.core.records import Outcome


def on_done(env: OwnerEnv, message: DispatchDone) -> Effects:
    """Handles the end of an attempt. One that was given up belongs to nobody any more."""
    # A keeper that started anew says so: what its earlier process sent may still run.
    is_over = (message.verdict, message.reason) != (Verdict.MAY_HAVE_RUN, Reason.NO_OWNER)
    known = env.state.runs.attempts.get(message.attempt_id)
    if known is not None and not is_over:
        owner_permit.leave(env, known)
    run = take_attempt(env, message.attempt_id)
    if run is None:
        return owner_permit.attempt_over(env, message.attempt_id) if is_over else []
    run.tries += 1
    effects: Effects = []
    if message.crashed:
        run.avoid.add(run.backend)
        effects += env.quarantine.note_crash(
            env.context,
            fingerprint=run.call.fingerprint,
            backend=run.backend,
            program_id=run.call.program_id,
            call_number=run.call.call_number,
            class_name=run.call.class_name,
        )
    if message.verdict == Verdict.RAN:
        return effects + _ran(env, run, message)
    reason = Reason(message.reason) if message.reason else Reason.BACKEND_FAILED
    if message.verdict == Verdict.NOT_RUN:
        run.retry_after_ms = message.retry_after_ms
        return effects + _not_run(env, run, reason)
    return effects + _may_have_run(env, run, reason)


def take_attempt(env: OwnerEnv, attempt_id: str) -> CallRun | None:
    """Ends the bookkeeping of an attempt; None if it was given up before."""
    run = env.state.runs.attempts.pop(attempt_id, None)
    if run is None:
        return None
    left = env.state.outstanding.get(run.backend, 0) - 1
    if left > 0:
        env.state.outstanding[run.backend] = left
    else:
        env.state.outstanding.pop(run.backend, None)
    run.attempt_id = ""
    return run


def attempt_lost(env: OwnerEnv, run: CallRun, reason: Reason) -> Effects:
    """The keeper can't be asked any more what became of the attempt."""
    owner_permit.leave(env, run)
    take_attempt(env, run.attempt_id)
    run.tries += 1
    return _may_have_run(env, run, reason)


def give_up(env: OwnerEnv, run: CallRun, reason: Reason, *, retry_after_ms: int) -> Effects:
    """Answers at once that the call will not be run now.

    A licence that was not used is withdrawn. The caller needn't wait for that: only this process
    could use the licence, and from here on it won't.
    """
    if not run.licensed:
        return finish_refused(env, run, reason, retry_after_ms=retry_after_ms)
    effects = refuse(
        env,
        run.call,
        run.callers,
        reason,
        retry_after_ms=retry_after_ms,
        verdict=unused_licence_verdict(env, run),
    )
    run.callers = []
    return effects + _withdraw(env, run)


def on_deadline(env: OwnerEnv, run: CallRun) -> Effects:
    """A call's time is over: its callers get the final answer now."""
    match run.phase:
        case Phase.WAITING:
            return finish_refused(env, run, Reason.CALL_GAP, retry_after_ms=COME_BACK_MS)
        case Phase.PERMIT:
            # The account's home has not answered, which says nothing of the account's limit.
            return finish_refused(env, run, Reason.ACCOUNT_OUT, retry_after_ms=COME_BACK_MS)
        case Phase.OPENING:
            # An intent on its way may yet count; its withdrawal follows it in sequence.
            return give_up(env, run, Reason.LOG_OUT, retry_after_ms=COME_BACK_MS)
        case Phase.BACKOFF:
            return give_up(env, run, Reason.DEADLINE, retry_after_ms=run.retry_after_ms)
        case Phase.CLOSING:
            effects = refuse(
                env,
                run.call,
                run.callers,
                Reason.LOG_OUT,
                retry_after_ms=COME_BACK_MS,
                verdict=Verdict.MAY_HAVE_RUN,
            )
            run.callers = []
            return effects
    cancel = SendMessage(run.keeper, DispatchCancel(run.attempt_id))
    owner_permit.leave(env, run)
    take_attempt(env, run.attempt_id)
    run.tries = owner_retries.MAX_TRIES
    return [cancel, *_may_have_run(env, run, Reason.DEADLINE)]


def on_applied(env: OwnerEnv, run: CallRun) -> Effects:
    """The outcome (or the withdrawal) has been read back: tells the callers if it counts."""
    record = env.ledger.program(run.call.program_id)
    stored = record.answer(run.call.call_number) if record else None
    if stored is not None and stored.epoch == run.epoch:
        effects = finish(env, run, stored_answer(stored))
        latency_ms = env.context.now_ms - run.received_ms
        return [*effects, Count("owner_outcomes_total"), Observe("owner_call_ms", latency_ms)]
    return finish_refused(
        env, run, Reason.NO_OWNER, retry_after_ms=COME_BACK_MS, verdict=Verdict.MAY_HAVE_RUN
    )


def _ran(env: OwnerEnv, run: CallRun, message: DispatchDone) -> Effects:
    call = run.call
    program = env.state.runs.program(call.program_id)
    root = env.state.runs.program(call.root_id)
    elapsed_ms = env.context.now_ms - run.dispatched_ms
    root.attained_ms += elapsed_ms
    if program is not root:
        program.attained_ms += elapsed_ms
    usage = Usage(message.prompt_tokens, message.cached_tokens, message.completion_tokens)
    outcome_id = str(_outcome_id(env, run, OK))
    body, content_type = message.body, message.content_type
    if call.kind == CallKind.MODEL and message.status < 400:
        program.cached_backend = run.backend
        program.cached_tokens = usage.prompt_tokens + usage.completion_tokens
        content_type = "application/json"
        body = completion_body(
            outcome_id=outcome_id,
            call=call,
            text="".join(run.text),
            usage=usage,
            finish_reason=message.finish_reason,
            tool_calls=message.body,
            at_ms=env.context.now_ms,
        )
    answer = Answer(
        status=message.status,
        body=body,
        content_type=content_type,
        verdict=Verdict.RAN,
        outcome_id=outcome_id,
    )
    tokens = usage.prompt_tokens + usage.completion_tokens
    return [
        *_record(env, run, answer, tokens=tokens),
        *env.quarantine.note_completed(
            env.context,
            fingerprint=call.fingerprint,
            program_id=call.program_id,
            call_number=call.call_number,
        ),
        Count("tokens_total", usage.completion_tokens),
        Count("prompt_tokens_total", usage.prompt_tokens),
        Count("cached_tokens_total", usage.cached_tokens),
    ]


def _not_run(env: OwnerEnv, run: CallRun, reason: Reason) -> Effects:
    if reason != Reason.OVERLOAD:
        run.avoid.add(run.backend)
    if owner_retries.may_go_elsewhere(env, run) or owner_retries.may_retry(env, run):
        return owner_retries.retry_later(env, run)
    retry_after_ms = run.retry_after_ms or COME_BACK_MS
    return give_up(env, run, reason, retry_after_ms=retry_after_ms)


def _may_have_run(env: OwnerEnv, run: CallRun, reason: Reason) -> Effects:
    if run.licensed:
        return _record_unresolved(env, run, reason)
    # The next attempt costs tokens anew, so it needs a permit of its own.
    effects = owner_permit.release(env, run)
    program = env.state.runs.program(run.call.program_id)
    program.tainted_call = run.call.call_number
    run.avoid.add(run.backend)
    _count_as_spent(env, run)
    if env.quarantine.blocked(run.call.fingerprint):
        return effects + finish_refused(env, run, Reason.QUARANTINED, verdict=Verdict.MAY_HAVE_RUN)
    if run.told_text or not owner_retries.may_retry(env, run):
        return effects + finish_refused(
            env, run, reason, retry_after_ms=COME_BACK_MS, verdict=Verdict.MAY_HAVE_RUN
        )
    return effects + owner_retries.retry_later(env, run)


def _count_as_spent(env: OwnerEnv, run: CallRun) -> None:
    """What a failed attempt generated is unknown: all that was reserved counts as spent."""
    spending = env.state.runs.spending.get(run.call.root_id)
    if spending is not None:
        spending.unrecorded_tokens += run.reserved_tokens
        spending.reserved_tokens -= run.reserved_tokens
    run.reserved_tokens = 0


def _record_unresolved(env: OwnerEnv, run: CallRun, reason: Reason) -> Effects:
    """A non-idempotent call may have run: that is its final outcome, and nobody runs it again."""
    answer = Answer(
        status=STATUS[reason],
        body=b"",
        verdict=Verdict.MAY_HAVE_RUN,
        outcome_id=str(_outcome_id(env, run, reason)),
        reason=reason,
    )
    effects = tell(run.callers, answer)
    run.callers = []
    return effects + _record(env, run, answer, tokens=0)


def _record(env: OwnerEnv, run: CallRun, answer: Answer, *, tokens: int) -> Effects:
    body, encoding = encode_body(answer.body)
    entry = _outcome(env, run, answer, body=body, encoding=encoding, tokens=tokens)
    return _submit(env, run, entry)


def _outcome(
    env: OwnerEnv,
    run: CallRun,
    answer: Answer,
    *,
    body: str,
    encoding: Literal["utf8", "base64"],
    tokens: int,
) -> Outcome:
    call = run.call
    record = env.ledger.program(call.program_id)
    return {
        "kind": "outcome",
        "epoch": run.epoch,
        "program": call.program_id,
        "call_number": call.call_number,
        "fingerprint": call.fingerprint,
        "verdict": answer.verdict,
        "status": answer.status,
        "reason": answer.reason,
        "body": body,
        "encoding": encoding,
        "content_type": answer.content_type,
        "tokens": tokens,
        "backend": run.backend,
        "class_version": record.class_version if record else -1,
        "outcome_id": answer.outcome_id,
        "chain": next_chain(
            record.chain if record else "",
            call_number=call.call_number,
            fingerprint=call.fingerprint,
            body=body,
        ),
        "at_ms": env.context.now_ms,
    }


def _withdraw(env: OwnerEnv, run: CallRun) -> Effects:
    answer = Answer(status=STATUS[Reason.CANCELLED], body=b"", verdict=Verdict.NOT_RUN)
    entry = _outcome(env, run, answer, body="", encoding="utf8", tokens=0)
    return _submit(env, run, entry)


def _submit(env: OwnerEnv, run: CallRun, entry: Outcome) -> Effects:
    stream = env.ledger.stream_of(env.ledger.partition(run.call.program_id))
    env.context.timers.cancel(TimerKey(PART, "retry", run.key))
    run.phase = Phase.CLOSING
    run.sequence, effects = commit.submit(env.commits, env.context, stream=stream, entries=[entry])
    waiting = env.state.runs.committing.setdefault(stream, [])
    if run not in waiting:
        waiting.append(run)
    # Nothing of the call runs any more; the permit needn't wait for the log.
    return effects + owner_permit.release(env, run)


def _outcome_id(env: OwnerEnv, run: CallRun, reason: str) -> OutcomeId:
    record = env.ledger.program(run.call.program_id)
    return OutcomeId(
        class_name=run.call.class_name,
        class_version=record.class_version if record else -1,
        reason=reason,
        call_number=run.call.call_number,
        program_id=run.call.program_id,
    )
