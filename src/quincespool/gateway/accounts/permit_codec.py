"""What a home is asked and answers, as messages between daemons, and back."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING

from quincespool.gateway.members.messages import PermitAnswer
from quincespool.gateway.members.messages import PermitQuestion
from quincespool.gateway.members.messages import read_optional
from quincespool.gateway.members.messages import write_optional
from quincespool.limits.home import Ask
from quincespool.limits.home import Denial
from quincespool.limits.home import Grant
from quincespool.policy.program_shapes import ProgramKind
from quincespool.policy.urgency import Rank

if TYPE_CHECKING:
    from quincespool.limits.home import Verdict


class PermitOutcome(StrEnum):
    """What a daemon answers that is asked as the home of an account."""

    GRANTED = "granted"
    DENIED = "denied"
    NOT_HOME = "not_home"


def write_question(permit_id: int, account: str, ask: Ask) -> PermitQuestion:
    """Returns the question for an account's home."""
    return PermitQuestion(
        permit_id=permit_id,
        account=account,
        program_id=ask.program_id,
        may_begin=ask.may_begin,
        kind=ask.kind.name,
        rank=ask.kind.rank.primary,
        told_calls=write_optional(ask.told_calls),
    )


def read_question(question: PermitQuestion) -> Ask:
    """Returns what is asked."""
    return Ask(
        program_id=question.program_id,
        kind=ProgramKind(question.kind, Rank(question.rank)),
        may_begin=question.may_begin,
        told_calls=read_optional(question.told_calls),
    )


def write_verdict(permit_id: int, verdict: Verdict) -> PermitAnswer:
    """Returns the answer of an account's home."""
    if isinstance(verdict, Denial):
        return PermitAnswer(
            permit_id=permit_id,
            outcome=PermitOutcome.DENIED,
            after_ms=verdict.retry_after_ms,
            is_pressed=True,
            left_calls=0,
        )
    return PermitAnswer(
        permit_id=permit_id,
        outcome=PermitOutcome.GRANTED,
        after_ms=verdict.wait_ms,
        is_pressed=verdict.is_pressed,
        left_calls=verdict.left_calls,
    )


def write_not_home(permit_id: int) -> PermitAnswer:
    """Returns the answer of a daemon that is not the account's home."""
    return PermitAnswer(
        permit_id=permit_id,
        outcome=PermitOutcome.NOT_HOME,
        after_ms=0,
        is_pressed=False,
        left_calls=0,
    )


def read_verdict(answer: PermitAnswer) -> Verdict | None:
    """Returns what the home has decided, None if the daemon that was asked is not the home."""
    if answer.outcome == PermitOutcome.GRANTED:
        return Grant(answer.after_ms, answer.left_calls, answer.is_pressed)
    if answer.outcome == PermitOutcome.DENIED:
        return Denial(answer.after_ms)
    return None
