"""Before a call's first attempt: checks, and the log entries that must stand first."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quincespool.core import commit
from quincespool.core.accounts import reducer as accounts
from quincespool.core.effects import Count
from quincespool.core.outcomes import stored_answer
from quincespool.core.owner import dispatch as owner_dispatch
from quincespool.core.owner import finish as owner_finish
from quincespool.core.owner import permit as owner_permit
from quincespool.core.owner.budget import Spending
from quincespool.core.owner.budget import missing_tokens
from quincespool.core.owner.budget import most_tokens
from quincespool.core.owner.budget import next_slice
from quincespool.core.owner.checks import check_call
from quincespool.core.owner.checks import is_idempotent
from quincespool.core.owner.closing import finish
from quincespool.core.owner.closing import finish_refused
from quincespool.core.owner.env import COME_BACK_MS
from quincespool.core.owner.env import set_deadline
from quincespool.core.owner.program_run import Phase
from quincespool.core.reasons import Reason

if TYPE_CHECKING:
    from quincespool.core.effects import Effects
    from quincespool.core.events import AccountDecided
    from quincespool.core.ledger.program_record import ProgramRecord
    from quincespool.core.owner.env import OwnerEnv
    from quincespool.core.owner.program_run import CallRun
    from quincespool.core.records import LedgerEntry


def start(env: OwnerEnv, run: CallRun) -> Effects:
    """Starts a call whose turn it is."""
    call = run.call
    record = env.ledger.program(call.program_id)
    if record is not None and call.call_number <= record.last_call:
        return answer_taken(env, run, record)
    if record is not None and record.intent is not None:
        # Left by an earlier epoch; `owner_lifecycle` is recording its outcome, then we are called
        # again and find the call's number taken.
        run.phase = Phase.WAITING
        return []
    root = env.ledger.program(call.root_id)
    fault = check_call(env.context, call, record, root)
    if fault is not None:
        return finish_refused(env, run, fault.reason, retry_after_ms=fault.retry_after_ms)
    if env.quarantine.blocked(call.fingerprint):
        return finish_refused(env, run, Reason.QUARANTINED)
    slices = _reserve(env, run, root)
    if slices is None:
        return finish_refused(env, run, Reason.BUDGET)
    if run.ticket:
        return _write_entries(env, run, record, slices)
    # Before anything is written for the call: a refusal then costs no append and no licence.
    acquired = owner_permit.acquire(env, run)
    match acquired.decision:
        case accounts.Refused(retry_after_ms):
            return acquired.effects + _refuse_permit(env, run, retry_after_ms)
        case accounts.Pending():
            return [*acquired.effects, Count("owner_permits_total", labels=(("how", "waited"),))]
        case accounts.Granted():
            set_deadline(env, run)
    granted = Count("owner_permits_total", labels=(("how", "at_once"),))
    return [*acquired.effects, granted, *_write_entries(env, run, record, slices)]


def on_decided(env: OwnerEnv, event: AccountDecided) -> Effects:
    """A call that waited for its account's permit goes on or is refused for good."""
    run = env.state.runs.permits.pop(event.ticket, None)
    if run is None:
        return []
    if not event.granted:
        run.ticket = ""
        return _refuse_permit(env, run, event.retry_after_ms, unanswered=event.unanswered)
    owner_permit.keep_within(run, event.must_end_by_ms)
    set_deadline(env, run)
    return start(env, run)


def _refuse_permit(
    env: OwnerEnv, run: CallRun, retry_after_ms: int, *, unanswered: bool = False
) -> Effects:
    refused = Count("owner_permits_total", labels=(("how", "refused"),))
    known = env.context.catalogue.account_entry(run.call.account) is not None
    reason = Reason.RATE if known else Reason.NOT_ALLOWED
    if unanswered:
        reason = Reason.ACCOUNT_OUT
    return [refused, *finish_refused(env, run, reason, retry_after_ms=retry_after_ms)]


def _write_entries(
    env: OwnerEnv, run: CallRun, record: ProgramRecord | None, slices: list[LedgerEntry]
) -> Effects:
    entries = _entries(env, run, record, slices)
    if not entries:
        return owner_dispatch.first_dispatch(env, run)
    stream = env.ledger.stream_of(env.ledger.partition(run.call.program_id))
    run.phase = Phase.OPENING
    run.sequence, effects = commit.submit(env.commits, env.context, stream=stream, entries=entries)
    env.state.runs.committing.setdefault(stream, []).append(run)
    return effects


def answer_taken(env: OwnerEnv, run: CallRun, record: ProgramRecord) -> Effects:
    """The number of a call under way has got its outcome meanwhile."""
    stored = record.answer(run.call.call_number)
    if stored is None or stored.fingerprint != run.call.fingerprint:
        return finish_refused(env, run, Reason.CALL_CONFLICT)
    return finish(env, run, stored_answer(stored))


def resume(env: OwnerEnv, run: CallRun) -> Effects:
    """Goes on with a call after the pause between two tries."""
    if run.licensed:
        return owner_dispatch.dispatch(env, run)
    return start(env, run)


def on_applied(env: OwnerEnv, run: CallRun) -> Effects:
    """The entries have been read back: goes on if they count."""
    call = run.call
    record = env.ledger.program(call.program_id)
    if env.ledger.epoch_held(env.ledger.partition(call.program_id)) != run.epoch or record is None:
        if run.licensed:
            # Read back too late to be used: unless given back it would stand in the way for good.
            return owner_finish.give_up(env, run, Reason.LOG_OUT, retry_after_ms=COME_BACK_MS)
        return finish_refused(env, run, Reason.NO_OWNER, retry_after_ms=COME_BACK_MS)
    if not run.licensed:
        return start(env, run)
    intent = record.intent
    if intent is None or intent.call_number != call.call_number or intent.epoch != run.epoch:
        return finish_refused(env, run, Reason.NO_OWNER, retry_after_ms=COME_BACK_MS)
    run.licence_at_ms = env.context.now_ms
    return owner_dispatch.first_dispatch(env, run)


def _entries(
    env: OwnerEnv, run: CallRun, record: ProgramRecord | None, slices: list[LedgerEntry]
) -> list[LedgerEntry]:
    """Returns what must stand in the log before the call may run."""
    entries: list[LedgerEntry] = []
    if record is None:
        entries.append(_opened(env, run))
    entries += slices
    if not is_idempotent(env.context.catalogue, run.call):
        run.licensed = True
        entries.append(
            {
                "kind": "intent",
                "epoch": run.epoch,
                "program": run.call.program_id,
                "call_number": run.call.call_number,
                "fingerprint": run.call.fingerprint,
                "holder": env.state.member_id,
                "incarnation": env.state.incarnation,
            }
        )
    return entries


def _opened(env: OwnerEnv, run: CallRun) -> LedgerEntry:
    entry = env.context.catalogue.class_entry(run.call.class_name)
    versioned = env.context.catalogue.find(f"class/{run.call.class_name}")
    assert entry is not None
    assert versioned is not None
    return {
        "kind": "opened",
        "epoch": run.epoch,
        "program": run.call.program_id,
        "class_name": run.call.class_name,
        "class_version": versioned.version,
        "owner": entry["owner"],
        "account": run.call.account,
        "budget_tokens": entry["budget_tokens"],
        "opened_at_ms": env.context.now_ms,
    }


def _reserve(env: OwnerEnv, run: CallRun, root: ProgramRecord | None) -> list[LedgerEntry] | None:
    """Reserves the most the call can cost; returns the slice to write first, if one is needed."""
    need_tokens = most_tokens(run.call)
    if need_tokens == 0 or run.reserved_tokens:
        return []
    spending = env.state.runs.spending.get(run.call.root_id)
    if spending is None or spending.epoch != run.epoch:
        spending = Spending(run.epoch)
        env.state.runs.spending[run.call.root_id] = spending
    entry = env.context.catalogue.class_entry(run.call.class_name)
    budget_tokens = root.budget_tokens if root else entry["budget_tokens"] if entry else 0
    missing = missing_tokens(root, spending, need_tokens)
    if missing == 0:
        spending.reserved_tokens += need_tokens
        run.reserved_tokens = need_tokens
        return []
    tokens = next_slice(root, budget_tokens, missing)
    if tokens is None:
        return None
    return [
        {"kind": "slice", "epoch": run.epoch, "program": run.call.root_id, "tokens": tokens},
    ]
