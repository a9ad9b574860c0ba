"""Converts turns and their parameters to messages between daemons, and back."""

from __future__ import annotations

from quincespool.gateway.members.messages import HeaderPair
from quincespool.gateway.members.messages import RelayCall
from quincespool.gateway.members.messages import read_optional
from quincespool.gateway.members.messages import write_optional
from quincespool.gateway.model import Call
from quincespool.gateway.model import CallKind
from quincespool.gateway.model import Headers
from quincespool.gateway.model import Turn
from quincespool.gateway.model import TurnParameters
from quincespool.policy.urgency import Rank


def encode_relay_call(
    relay_id: int, call: Call, parameters: TurnParameters, *, left_ms: int
) -> RelayCall:
    """Returns the message that relays a turn to its owner.

    Args:
      relay_id: Identifies the turn in the messages of the answer.
      call: The call; its `turn` is set.
      parameters: Parameters that the daemon that received the call has determined for it.
      left_ms: Milliseconds until the time limit of the call.
    """
    turn = call.turn
    assert turn is not None
    return RelayCall(
        relay_id=relay_id,
        call_id=call.call_id,
        method=call.method,
        host=call.host,
        target=call.target,
        headers=encode_headers(call.headers),
        body=call.body,
        left_ms=left_ms,
        program_id=turn.program_id,
        previous_id=turn.previous_id,
        budget_tokens=write_optional(turn.budget_tokens),
        most_tokens=turn.max_tokens,
        program_left_ms=write_optional(turn.program_left_ms),
        configuration_version=parameters.version,
        kind=CallKind.STREAMING,
        timeout_ms=parameters.timeout_ms,
        patience_ms=parameters.max_event_gap_ms,
        rank=parameters.rank.primary,
        max_attempts=parameters.max_attempts,
        keeps_history=parameters.keeps_history,
        retention_ms=parameters.retention_ms,
        service=parameters.service,
        tokens_per_event=parameters.tokens_per_event,
        account=parameters.account,
        route=parameters.route,
        route_rank=parameters.rank.secondary,
        resumable=parameters.is_resumable,
        resumes_after=write_optional(call.resumes_after),
        pressed=parameters.is_near_limit,
    )


def decode_relay_call(message: RelayCall) -> tuple[Call, TurnParameters]:
    """Returns the call and the parameters that a message contains."""
    turn = Turn(
        program_id=message.program_id,
        previous_id=message.previous_id,
        budget_tokens=read_optional(message.budget_tokens),
        max_tokens=message.most_tokens,
        program_left_ms=read_optional(message.program_left_ms),
    )
    call = Call(
        call_id=message.call_id,
        method=message.method,
        host=message.host,
        target=message.target,
        headers=decode_headers(message.headers),
        body=message.body,
        left_ms=message.left_ms,
        turn=turn,
        program_id=message.program_id,
        resumes_after=read_optional(message.resumes_after),
    )
    parameters = TurnParameters(
        version=message.configuration_version,
        account=message.account,
        route=message.route,
        service=message.service,
        tokens_per_event=message.tokens_per_event,
        rank=Rank(message.rank, message.route_rank),
        timeout_ms=message.timeout_ms,
        max_event_gap_ms=message.patience_ms,
        max_attempts=message.max_attempts,
        keeps_history=message.keeps_history,
        retention_ms=message.retention_ms,
        is_resumable=message.resumable,
        is_near_limit=message.pressed,
    )
    return call, parameters


def encode_headers(headers: Headers) -> tuple[HeaderPair, ...]:
    """Returns headers in the form that messages between daemons contain."""
    return tuple(HeaderPair(name, value) for name, value in headers)


def decode_headers(pairs: tuple[HeaderPair, ...]) -> Headers:
    """Returns headers in the form that `Call` contains."""
    return tuple((pair.name, pair.value) for pair in pairs)
