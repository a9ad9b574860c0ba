"""A call and its route as one message between daemons, and back."""

from __future__ import annotations

from quincespool.gateway.messages import HeaderPair
from quincespool.gateway.messages import RelayCall
from quincespool.gateway.messages import read_optional
from quincespool.gateway.messages import write_optional
from quincespool.gateway.model import Call
from quincespool.gateway.model import CallKind
from quincespool.gateway.model import Decision
from quincespool.gateway.model import Headers
from quincespool.gateway.model import Route
from quincespool.gateway.model import Service
from quincespool.gateway.model import Share
from quincespool.gateway.model import Turn


def write_relay(relay_id: int, call: Call, decision: Decision, *, left_ms: int) -> RelayCall:
    """Returns the message for a turn and the route that the receiver has decided on."""
    turn = call.turn
    assert turn is not None
    route, service = decision.route, decision.service
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
        configuration_version=decision.version,
        route_name=route.name,
        path_prefix=route.path_prefix,
        kind=route.kind.value,
        timeout_ms=route.timeout_ms,
        patience_ms=route.patience_ms,
        rank=route.rank,
        max_attempts=route.max_attempts,
        keeps_history=route.keeps_history,
        retention_ms=route.retention_ms,
        service=service.name,
        max_connections=service.max_connections,
        tokens_per_event=service.tokens_per_event,
        resident_tokens=service.resident_tokens,
        max_pin_ms=service.max_pin_ms,
        account=decision.account,
    )


def read_relay(message: RelayCall) -> tuple[Call, Decision]:
    """Returns the call and the route in a message."""
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
    )
    service = Service(
        name=message.service,
        max_connections=message.max_connections,
        tokens_per_event=message.tokens_per_event,
        resident_tokens=message.resident_tokens,
        max_pin_ms=message.max_pin_ms,
    )
    route = Route(
        name=message.route_name,
        host=message.host,
        path_prefix=message.path_prefix,
        kind=CallKind(message.kind),
        shares=(Share(message.service, 1),),
        timeout_ms=message.timeout_ms,
        patience_ms=message.patience_ms,
        rank=message.rank,
        max_attempts=message.max_attempts,
        keeps_history=message.keeps_history,
        retention_ms=message.retention_ms,
    )
    return call, Decision(message.configuration_version, route, service, message.account)


def write_headers(headers: Headers) -> tuple[HeaderPair, ...]:
    """Returns headers as they stand in messages."""
    return tuple(HeaderPair(name, value) for name, value in headers)


def read_headers(pairs: tuple[HeaderPair, ...]) -> Headers:
    """Returns headers as they stand in calls."""
    return tuple((pair.name, pair.value) for pair in pairs)
