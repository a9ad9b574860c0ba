"""Converts permit requests and verdicts to messages between daemons, and back."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING

from quincespool.gateway.members.messages import PermitAnswer
from quincespool.gateway.members.messages import PermitQuestion
from quincespool.gateway.members.messages import read_optional
from quincespool.gateway.members.messages import write_optional
from quincespool.limits.account_limiter import Denial
from quincespool.limits.account_limiter import Grant
from quincespool.limits.account_limiter import PermitRequest
from quincespool.policy.program_shapes import ProgramKind
from quincespool.policy.urgency import Rank

if TYPE_CHECKING:
    from quincespool.limits.account_limiter import Verdict


class PermitOutcome(StrEnum):
    """The answer to a permit request; `NOT_LIMITER` if the daemon doesn't limit the account."""

    GRANTED = "granted"
    DENIED = "denied"
    NOT_LIMITER = "not_home"


def encode_request(permit_id: int, account: str, request: PermitRequest) -> PermitQuestion:
    """Returns the message that requests a permit from an account's limiter."""
    return PermitQuestion(
        permit_id=permit_id,
        account=account,
        program_id=request.program_id,
        may_begin=request.may_begin,
        kind=request.kind.name,
        rank=request.kind.rank.primary,
        told_calls=write_optional(request.reported_calls),
    )


def decode_request(request_message: PermitQuestion) -> PermitRequest:
    """Returns the request in a message."""
    return PermitRequest(
        program_id=request_message.program_id,
        kind=ProgramKind(request_message.kind, Rank(request_message.rank)),
        may_begin=request_message.may_begin,
        reported_calls=read_optional(request_message.told_calls),
    )


def encode_verdict(permit_id: int, verdict: Verdict) -> PermitAnswer:
    """Returns the answer of an account's limiter."""
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
        is_pressed=verdict.is_near_limit,
        left_calls=verdict.left_calls,
    )


def encode_not_limiter(permit_id: int) -> PermitAnswer:
    """Returns the answer of a daemon that is not the account's limiter."""
    return PermitAnswer(
        permit_id=permit_id,
        outcome=PermitOutcome.NOT_LIMITER,
        after_ms=0,
        is_pressed=False,
        left_calls=0,
    )


def decode_verdict(answer: PermitAnswer) -> Verdict | None:
    """Returns the verdict in an answer, None if its sender is not the account's limiter."""
    if answer.outcome == PermitOutcome.GRANTED:
        return Grant(answer.after_ms, answer.left_calls, answer.is_pressed)
    if answer.outcome == PermitOutcome.DENIED:
        return Denial(answer.after_ms)
    return None
