"""Takeover and loss of partitions, and the turn of waiting calls."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quincespool.core import commit
from quincespool.core.effects import Count
from quincespool.core.effects import Log
from quincespool.core.effects import SendMessage
from quincespool.core.ledger.program_record import next_chain
from quincespool.core.messages import DispatchCancel
from quincespool.core.messages import ProgramsOver
from quincespool.core.outcomes import OutcomeId
from quincespool.core.owner import ending
from quincespool.core.owner import finish as owner_finish
from quincespool.core.owner import permit as owner_permit
from quincespool.core.owner import start as owner_start
from quincespool.core.owner.closing import finish_refused
from quincespool.core.owner.env import COME_BACK_MS
from quincespool.core.owner.env import tell
from quincespool.core.owner.program_run import Phase
from quincespool.core.placement import PARTITION_PREFIX
from quincespool.core.reasons import STATUS
from quincespool.core.reasons import Reason
from quincespool.verdict import Verdict

if TYPE_CHECKING:
    from quincespool.core.effects import Effects
    from quincespool.core.events import LedgerAdvanced
    from quincespool.core.ledger.program_record import ProgramRecord
    from quincespool.core.messages import ProgramsAsked
    from quincespool.core.owner.env import OwnerEnv
    from quincespool.core.owner.program_run import CallRun
    from quincespool.core.records import LedgerEntry


def on_advance(env: OwnerEnv, event: LedgerAdvanced) -> Effects:
    """Goes on with what waited for the stream to be read this far."""
    effects: Effects = []
    for resource in event.resources:
        if resource.startswith(PARTITION_PREFIX):
            effects += _on_claim_changed(env, resource)
    effects += _on_committed(env, event.stream, event.last_sequence)
    for program_id in event.programs:
        effects += _on_program_changed(env, program_id)
    return effects


def on_programs_asked(env: OwnerEnv, sender: str, message: ProgramsAsked) -> Effects:
    """A keeper found cache of these programs on its engine."""
    over, unknown = [], []
    for program_id in message.program_ids:
        if env.ledger.epoch_held(env.ledger.partition(program_id)) is None:
            continue
        record = env.ledger.program(program_id)
        if record is None and program_id not in env.state.runs.programs:
            unknown.append(program_id)
        elif record is not None and record.ended:
            over.append(program_id)
    reply = ProgramsOver(
        ticket=message.ticket,
        backend=message.backend,
        over=tuple(over),
        unknown=tuple(unknown),
    )
    return [SendMessage(sender, reply)]


def busy(env: OwnerEnv, partition: str) -> bool:
    """Whether anything of a partition is under way."""
    return any(
        (program.calls or program.ending) and env.ledger.partition(program_id) == partition
        for program_id, program in env.state.runs.programs.items()
    )


def unrecorded_tokens(env: OwnerEnv, partition: str) -> dict[str, int]:
    """Returns what failed attempts have spent that no outcome says, by root program."""
    return {
        root_id: spending.unrecorded_tokens
        for root_id, spending in env.state.runs.spending.items()
        if spending.unrecorded_tokens and env.ledger.partition(root_id) == partition
    }


def _on_claim_changed(env: OwnerEnv, partition: str) -> Effects:
    epoch = env.ledger.epoch_believed(partition)
    if env.state.known_epochs.get(partition) == epoch:
        return []
    effects = _drop_runs(env, partition)
    if epoch is None:
        env.state.known_epochs.pop(partition, None)
        return effects
    env.state.known_epochs[partition] = epoch
    effects.append(Log("info", "holds a partition", {"partition": partition, "epoch": epoch}))
    return effects + _resolve_intents(env, partition, epoch)


def _drop_runs(env: OwnerEnv, partition: str) -> Effects:
    """Lets go of a partition that has changed hands; its new owner has the history from the log."""
    effects: Effects = []
    for program_id, program in list(env.state.runs.programs.items()):
        if env.ledger.partition(program_id) != partition:
            continue
        for run in list(program.calls.values()):
            effects += _drop_run(env, run)
        effects += tell(
            program.ending, ending.end_refusal(program_id, Reason.NO_OWNER, COME_BACK_MS)
        )
        env.state.runs.programs.pop(program_id, None)
        env.state.runs.spending.pop(program_id, None)
    return effects


def _drop_run(env: OwnerEnv, run: CallRun) -> Effects:
    effects: Effects = []
    if run.phase == Phase.DISPATCHED:
        if not run.licensed:
            effects.append(SendMessage(run.keeper, DispatchCancel(run.attempt_id)))
        owner_permit.leave(env, run)
        owner_finish.take_attempt(env, run.attempt_id)
    for waiting in env.state.runs.committing.values():
        if run in waiting:
            waiting.remove(run)
    return effects + finish_refused(
        env, run, Reason.NO_OWNER, retry_after_ms=COME_BACK_MS, verdict=Verdict.MAY_HAVE_RUN
    )


def _resolve_intents(env: OwnerEnv, partition: str, epoch: int) -> Effects:
    """Settles the licences that earlier epochs left without an outcome.

    Whether such a call ran is known to nobody here: running it again could double it, and calling
    it not run could be a lie. So its outcome is that it may have run.
    """
    ledger = env.ledger.stream_ledger(partition)
    if ledger is None:
        return []
    entries: list[LedgerEntry] = []
    for record in ledger.state.programs.values():
        if record.intent is None or record.ended or record.intent.epoch == epoch:
            continue
        if env.ledger.partition(record.program_id) == partition:
            entries.append(_unresolved(env, record, epoch))
    if not entries:
        return []
    stream = env.ledger.stream_of(partition)
    _, effects = commit.submit(env.commits, env.context, stream=stream, entries=entries)
    return [*effects, Count("owner_unresolved_total", len(entries))]


def _unresolved(env: OwnerEnv, record: ProgramRecord, epoch: int) -> LedgerEntry:
    intent = record.intent
    assert intent is not None
    reason = Reason.UNRESOLVED
    return {
        "kind": "outcome",
        "epoch": epoch,
        "program": record.program_id,
        "call_number": intent.call_number,
        "fingerprint": intent.fingerprint,
        "verdict": Verdict.MAY_HAVE_RUN,
        "status": STATUS[reason],
        "reason": reason,
        "body": "",
        "encoding": "utf8",
        "content_type": "application/json",
        "tokens": 0,
        "backend": "",
        "class_version": record.class_version,
        "outcome_id": str(
            OutcomeId(
                record.class_name,
                record.class_version,
                reason,
                intent.call_number,
                record.program_id,
            )
        ),
        "chain": next_chain(
            record.chain,
            call_number=intent.call_number,
            fingerprint=intent.fingerprint,
            body="",
        ),
        "at_ms": env.context.now_ms,
    }


def _on_committed(env: OwnerEnv, stream: str, last_sequence: int) -> Effects:
    waiting = env.state.runs.committing.get(stream)
    if not waiting:
        return []
    effects: Effects = []
    ready = [run for run in waiting if run.sequence <= last_sequence]
    env.state.runs.committing[stream] = [run for run in waiting if run.sequence > last_sequence]
    for run in ready:
        if env.state.runs.find_call(run.call.program_id, run.call.call_number) is not run:
            # Answered and forgotten while its entries were on their way; running it now would make
            # two runs of one call, of which only one can be recorded.
            continue
        if run.phase == Phase.OPENING:
            effects += owner_start.on_applied(env, run)
        elif run.phase == Phase.CLOSING:
            effects += owner_finish.on_applied(env, run)
    return effects


def _on_program_changed(env: OwnerEnv, program_id: str) -> Effects:
    record = env.ledger.program(program_id)
    program = env.state.runs.programs.get(program_id)
    if record is None or program is None:
        return []
    if record.ended:
        return ending.on_ended(env, record)
    effects: Effects = []
    for run in sorted(program.calls.values(), key=lambda run: run.call.call_number):
        if run.phase != Phase.WAITING or run.call.call_number > record.last_call + 1:
            continue
        if run.call.call_number == record.last_call + 1:
            effects += owner_start.start(env, run)
        else:
            effects += owner_start.answer_taken(env, run, record)
    if program.end_reason and not program.end_sequence:
        effects += ending.try_end(env, record)
    return effects
