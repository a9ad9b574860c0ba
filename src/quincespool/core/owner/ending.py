"""The end of programs: asked for by their callers, for idleness, or at their deadline."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from quincespool.core import commit
from quincespool.core.call import Answer
from quincespool.core.effects import SendMessage
from quincespool.core.messages import CacheRelease
from quincespool.core.outcomes import OK
from quincespool.core.outcomes import OutcomeId
from quincespool.core.owner import finish as owner_finish
from quincespool.core.owner.closing import finish_refused
from quincespool.core.owner.dispatch import keeper_of
from quincespool.core.owner.env import COME_BACK_MS
from quincespool.core.owner.env import PART
from quincespool.core.owner.env import tell
from quincespool.core.owner.program_run import Phase
from quincespool.core.reasons import STATUS
from quincespool.core.reasons import Reason
from quincespool.core.timers import TimerKey
from quincespool.verdict import Verdict

if TYPE_CHECKING:
    from quincespool.core.context import Context
    from quincespool.core.effects import Effects
    from quincespool.core.ledger.program_record import ProgramRecord
    from quincespool.core.owner.env import OwnerEnv
    from quincespool.core.owner.program_run import Caller
    from quincespool.core.records import LedgerEntry

REVIEW_MS = 2_000
"""How often programs are looked through for those that are idle or too old."""


def subscribe_review(context: Context) -> None:
    """Subscribes to the next look through all programs."""
    context.timers.subscribe(TimerKey(PART, "review"), at_ms=context.now_ms + REVIEW_MS)


def on_end(env: OwnerEnv, caller: Caller, program_id: str) -> Effects:
    """A caller ends its program."""
    if env.ledger.epoch_held(env.ledger.partition(program_id)) is None:
        return tell([caller], end_refusal(program_id, Reason.NO_OWNER, COME_BACK_MS))
    record = env.ledger.program(program_id)
    if record is None:
        return tell([caller], end_refusal(program_id, Reason.UNKNOWN_PROGRAM, 0))
    if record.ended:
        return tell([caller], _end_answer(record))
    program = env.state.runs.program(program_id)
    program.ending.append(caller)
    program.end_reason = program.end_reason or "caller"
    return try_end(env, record)


def review(env: OwnerEnv) -> Effects:
    """Ends programs that have been idle too long or have passed their deadline."""
    subscribe_review(env.context)
    effects = _refuse_unread(env)
    for partition in env.state.known_epochs:
        ledger = env.ledger.stream_ledger(partition)
        for program_id in ledger.open_roots(partition) if ledger else ():
            record = env.ledger.program(program_id)
            if record is not None:
                effects += _review_program(env, record)
    return effects


def on_ended(env: OwnerEnv, record: ProgramRecord) -> Effects:
    """The end stands in the log: answers who asked for it and has the engines release the cache."""
    program = env.state.runs.programs.pop(record.program_id, None)
    env.state.runs.spending.pop(record.program_id, None)
    effects: Effects = []
    if program is not None:
        effects += tell(program.ending, _end_answer(record))
        for run in list(program.calls.values()):
            effects += finish_refused(env, run, Reason.PROGRAM_ENDED)
    for backend in record.backends:
        keeper = keeper_of(env, backend)
        if keeper:
            release = CacheRelease(backend=backend, program_id=record.program_id)
            effects.append(SendMessage(keeper, release))
    return effects


def try_end(env: OwnerEnv, record: ProgramRecord) -> Effects:
    """Writes the end once no call of the program or its sub-agents is under way."""
    program = env.state.runs.program(record.program_id)
    epoch = env.ledger.epoch_held(env.ledger.partition(record.program_id))
    if epoch is None or _active(env, record) or program.end_sequence:
        return []
    entry: LedgerEntry = {
        "kind": "ended",
        "epoch": epoch,
        "program": record.program_id,
        "reason": program.end_reason,
        "at_ms": env.context.now_ms,
    }
    stream = env.ledger.stream_of(env.ledger.partition(record.program_id))
    program.end_sequence, effects = commit.submit(
        env.commits, env.context, stream=stream, entries=[entry]
    )
    return effects


def _refuse_unread(env: OwnerEnv) -> Effects:
    """Answers the calls whose entries can't be read back now, the log being out."""
    effects: Effects = []
    for stream, waiting in env.state.runs.committing.items():
        if env.ledger.fresh(stream):
            continue
        for run in list(waiting):
            if run.phase == Phase.OPENING and run.callers:
                effects += owner_finish.on_deadline(env, run)
    return effects


def _review_program(env: OwnerEnv, record: ProgramRecord) -> Effects:
    partition = env.ledger.partition(record.program_id)
    if env.ledger.epoch_held(partition) is None:
        return []
    entry = env.context.catalogue.class_entry(record.class_name)
    if entry is None:
        return []
    program = env.state.runs.program(record.program_id)
    if program.end_reason:
        return [] if program.end_sequence else try_end(env, record)
    now_ms = env.context.now_ms
    if now_ms > record.opened_at_ms + entry["program_deadline_ms"]:
        program.end_reason = "deadline"
    elif not _active(env, record) and now_ms > _last_at_ms(env, record) + entry["idle_limit_ms"]:
        program.end_reason = "idle"
    else:
        return []
    return try_end(env, record)


def _last_at_ms(env: OwnerEnv, record: ProgramRecord) -> int:
    family = [record.last_at_ms]
    for child_id in record.children:
        child = env.ledger.program(child_id)
        if child is not None:
            family.append(child.last_at_ms)
    return max(family)


def _active(env: OwnerEnv, record: ProgramRecord) -> bool:
    return any(
        program_id in env.state.runs.programs and env.state.runs.programs[program_id].calls
        for program_id in (record.program_id, *record.children)
    )


def _end_answer(record: ProgramRecord) -> Answer:
    outcome_id = OutcomeId(record.class_name, record.class_version, OK, 0, record.program_id)
    body = {"program": record.program_id, "ended": record.ended, "calls": record.last_call}
    return Answer(status=200, body=msgspec.json.encode(body), outcome_id=str(outcome_id))


def end_refusal(program_id: str, reason: Reason, retry_after_ms: int) -> Answer:
    """Returns the answer to who asked for an end that can't be had here or now."""
    outcome_id = OutcomeId("", -1, reason, 0, program_id)
    return Answer(
        status=STATUS[reason],
        body=b"",
        verdict=Verdict.NOT_RUN,
        outcome_id=str(outcome_id),
        retry_after_ms=retry_after_ms,
        reason=reason,
    )
