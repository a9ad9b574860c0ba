"""Answers an auditor: from an outcome to the catalogue entry and owner that allowed it."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from quincespool.core.call import Answer
from quincespool.core.outcomes import parse_outcome_id
from quincespool.core.owner.env import tell
from quincespool.core.reasons import STATUS
from quincespool.core.reasons import Reason
from quincespool.verdict import Verdict

if TYPE_CHECKING:
    from quincespool.core.effects import Effects
    from quincespool.core.ledger.program_record import ProgramRecord
    from quincespool.core.outcomes import OutcomeId
    from quincespool.core.owner.env import OwnerEnv
    from quincespool.core.owner.program_run import Caller


def on_audit(env: OwnerEnv, caller: Caller, text: str) -> Effects:
    """Tells what stands behind an outcome, a refusal included."""
    outcome = parse_outcome_id(text)
    if outcome is None:
        answer = Answer(
            status=STATUS[Reason.MALFORMED],
            body=b"",
            verdict=Verdict.NOT_RUN,
            outcome_id=text,
            reason=Reason.MALFORMED,
        )
        return tell([caller], answer)
    record = env.ledger.program(outcome.program_id)
    body = {
        "outcome": text,
        "reason": outcome.reason,
        "recorded": _recorded(record, outcome, text),
        "entry": _entry(env, outcome),
        "program": _program(record),
        "steps": _steps(env, record, outcome),
    }
    return tell([caller], Answer(status=200, body=msgspec.json.encode(body), outcome_id=text))


def _recorded(record: ProgramRecord | None, outcome: OutcomeId, text: str) -> bool:
    """Whether the log holds this very outcome. Refusals are not recorded: their id says it all.

    Without this an id that somebody made up would look as good as one the system gave.
    """
    if record is None:
        return False
    stored = record.answer(outcome.call_number)
    if stored is not None:
        return stored.outcome_id == text
    return outcome.call_number == 0 and bool(record.ended)


def _entry(env: OwnerEnv, outcome: OutcomeId) -> dict[str, object]:
    name = f"class/{outcome.class_name}"
    described = env.context.catalogue.describe(name, outcome.class_version)
    if described is not None:
        return dict(described)
    # No entry of that name at that time: whoever owns the catalogue's newest edit is not to blame.
    return {"name": name, "version": outcome.class_version, "owner": "", "editor": ""}


def _program(record: ProgramRecord | None) -> dict[str, object] | None:
    if record is None:
        return None
    return {
        "program": record.program_id,
        "class": record.class_name,
        "class_version": record.class_version,
        "owner": record.owner,
        "account": record.account,
        "opened_at_ms": record.opened_at_ms,
        "budget_tokens": record.budget_tokens,
        "granted_tokens": record.granted_tokens,
        "calls": record.last_call,
        "ended": record.ended,
        "chain": record.chain,
    }


def _steps(
    env: OwnerEnv, record: ProgramRecord | None, outcome: OutcomeId
) -> list[dict[str, object]]:
    if record is None:
        return []
    stream = env.ledger.stream_of(env.ledger.partition(record.program_id))
    return [
        {
            "stream": stream,
            "offset": step.offset,
            "step": step.kind,
            "call": step.call_number,
            "detail": step.detail,
        }
        for step in record.steps
        if step.call_number in (0, outcome.call_number) or outcome.call_number == 0
    ]
