"""A turn and its terms as one message between daemons, and back."""

from __future__ import annotations

from quincespool.gateway.members.messages import HeaderPair
from quincespool.gateway.members.messages import RelayCall
from quincespool.gateway.members.messages import read_optional
from quincespool.gateway.members.messages import write_optional
from quincespool.gateway.model import Call
from quincespool.gateway.model import CallKind
from quincespool.gateway.model import Headers
from quincespool.gateway.model import Turn
from quincespool.gateway.model import TurnTerms
from quincespool.policy.urgency import Rank


def write_relay(relay_id: int, call: Call, terms: TurnTerms, *, left_ms: int) -> RelayCall:
    """Returns the message for a turn and what the receiver has decided on it."""
    turn = call.turn
    assert turn is not None
    return RelayCall(
        relay_id=relay_id,
        call_id=call.call_id,
        method=call.method,
        host=call.host,
        target=call.target,
        headers=write_headers(call.headers),
        body=call.body,
        left_ms=left_ms,
        program_id=turn.program_id,
        previous_id=turn.previous_id,
        budget_tokens=write_optional(turn.budget_tokens),
        most_tokens=turn.most_tokens,
        program_left_ms=write_optional(turn.program_left_ms),
        configuration_version=terms.version,
        kind=CallKind.STREAMING,
        timeout_ms=terms.timeout_ms,
        patience_ms=terms.patience_ms,
        rank=terms.rank.primary,
        max_attempts=terms.max_attempts,
        keeps_history=terms.keeps_history,
        retention_ms=terms.retention_ms,
        service=terms.service,
        tokens_per_event=terms.tokens_per_event,
        account=terms.account,
        route=terms.route,
        route_rank=terms.rank.secondary,
        resumable=terms.is_resumable,
        resumes_after=write_optional(call.resumes_after),
        pressed=terms.is_pressed,
    )


def read_relay(message: RelayCall) -> tuple[Call, TurnTerms]:
    """Returns the call and the terms in a message."""
    turn = Turn(
        program_id=message.program_id,
        previous_id=message.previous_id,
        budget_tokens=read_optional(message.budget_tokens),
        most_tokens=message.most_tokens,
        program_left_ms=read_optional(message.program_left_ms),
    )
    call = Call(
        call_id=message.call_id,
        method=message.method,
        host=message.host,
        target=message.target,
        headers=read_headers(message.headers),
        body=message.body,
        left_ms=message.left_ms,
        turn=turn,
        program_id=message.program_id,
        resumes_after=read_optional(message.resumes_after),
    )
    terms = TurnTerms(
        version=message.configuration_version,
        account=message.account,
        route=message.route,
        service=message.service,
        tokens_per_event=message.tokens_per_event,
        rank=Rank(message.rank, message.route_rank),
        timeout_ms=message.timeout_ms,
        patience_ms=message.patience_ms,
        max_attempts=message.max_attempts,
        keeps_history=message.keeps_history,
        retention_ms=message.retention_ms,
        is_resumable=message.resumable,
        is_pressed=message.pressed,
    )
    return call, terms


def write_headers(headers: Headers) -> tuple[HeaderPair, ...]:
    """Returns headers as they stand in messages."""
    return tuple(HeaderPair(name, value) for name, value in headers)


def read_headers(pairs: tuple[HeaderPair, ...]) -> Headers:
    """Returns headers as they stand in calls."""
    return tuple((pair.name, pair.value) for pair in pairs)
