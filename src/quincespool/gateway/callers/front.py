"""Callers' requests: each becomes a call, gets a route, and an answer."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec

from quincespool.gateway.backends.attempt import Whole
from quincespool.gateway.backends.crashes import fingerprint
from quincespool.gateway.clock import now_ms
from quincespool.gateway.model import FAILED
from quincespool.gateway.model import CallKind
from quincespool.gateway.model import Turn
from quincespool.gateway.model import make_turn_parameters
from quincespool.gateway.model import may_have_run
from quincespool.gateway.model import not_run
from quincespool.gateway.model import scoped_program
from quincespool.net.http_connection import HttpResponse
from quincespool.verdict import Verdict

if TYPE_CHECKING:
    from collections.abc import Callable

    from quincespool.gateway.accounts.limits import AccountLimits
    from quincespool.gateway.backends.attempt import Services
    from quincespool.gateway.callers.plain import PlainCalls
    from quincespool.gateway.callers.routes import RouteTable
    from quincespool.gateway.model import Call
    from quincespool.gateway.model import Decision
    from quincespool.gateway.model import Headers
    from quincespool.gateway.model import Refusal
    from quincespool.gateway.turns.relay import Relay
    from quincespool.net.http_connection import Connection
    from quincespool.net.requests import HttpRequest
    from quincespool.net.requests import RequestError


# How calls end otherwise: their caller has left, or this process ends first.
CALLER_GONE = "caller_gone"
CUT_OFF = "cut_off"
STOPPING = "stopping"
# Another daemon takes the call at once.
STOPPING_RETRY_MS = 50
_ENDS_FIRST = not_run(STOPPING, retry_after_ms=STOPPING_RETRY_MS)


class Front:
    """Answers callers."""

    def __init__(
        self,
        services: Services,
        *,
        routes: RouteTable,
        limits: AccountLimits,
        plain: PlainCalls,
        relay: Relay,
        has_time_until: Callable[[int], bool],
    ) -> None:
        self._services = services
        self._routes = routes
        self._limits = limits
        self._plain = plain
        self._relay = relay
        self._has_time_until = has_time_until

    async def handle(self, connection: Connection, request: HttpRequest) -> None:
        """Answers one request."""
        started_ms = now_ms()
        read = self._services.wire.read_call(request)
        if read.is_error():
            connection.respond(self.refuse(request, read.error))
            return
        call = read.ok
        reply = _ConnectionReply(connection, call, self._services)
        decided = self._routes.decide(call)
        if decided.is_error():
            reply.refuse(decided.error)
            self._note(call, None, reply, started_ms, served_by="")
            return
        decision = decided.ok
        call = _of_account(call, decision)
        served_by = ""
        try:
            served_by = await self._serve(call, decision, reply, started_ms)
        except asyncio.CancelledError:
            if not reply.outcome and not connection.lost:
                reply.refuse(may_have_run(CUT_OFF))
            raise
        except Exception as error:
            self._services.log.write_always(
                "call failed", call_id=call.call_id, program_id=call.program_id, error=repr(error)
            )
            if not reply.outcome:
                reply.refuse(may_have_run(FAILED))
            raise
        finally:
            self._note(call, decision, reply, started_ms, served_by=served_by)

    async def _serve(
        self, call: Call, decision: Decision, reply: _ConnectionReply, started_ms: int
    ) -> str:
        """Answers a call that the configuration allows; returns which daemon did, if it is a turn.

        A turn is served by the owner of its program; what it may cost its account is decided here,
        as for all calls.
        """
        if self._services.crashes.is_refused(fingerprint(call), now_ms()):
            reply.refuse(not_run("crashes_backends"))
            return ""
        until_ms = started_ms + min(call.left_ms, decision.route.timeout_ms)
        if not self._has_time_until(until_ms):
            reply.refuse(_ENDS_FIRST)
            return ""
        permit = await self._limits.admit(call, decision, until_ms=until_ms)
        if permit.refusal is not None:
            reply.refuse(permit.refusal)
            return ""
        decision = decision._replace(is_near_limit=permit.is_pressed)
        try:
            if not self._has_time_until(until_ms):
                # The stop has begun while the call waited for its permit.
                reply.refuse(_ENDS_FIRST)
                return ""
            if decision.route.kind is CallKind.STREAMING:
                return await self._relay.run(
                    call, make_turn_parameters(decision), reply, until_ms=until_ms
                )
            reply.whole(await self._plain.run(call, decision, until_ms=until_ms))
            return ""
        finally:
            if permit.is_counted and reply.verdict is Verdict.NOT_RUN:
                self._limits.give_back(decision)

    def refuse(self, request: HttpRequest | None, error: RequestError) -> HttpResponse:
        """Returns the answer to a request that cannot be read."""
        call_id = self._services.wire.read_call_id(request) if request is not None else ""
        self._services.log.write(
            "request unreadable", call_id=call_id, status=error.status, detail=error.message
        )
        refusal = not_run(error.message, status=error.status)
        return _refusal_response(self._services, refusal, call_id)

    def failed(self, request: HttpRequest) -> HttpResponse:
        """Returns the answer to a request whose handling has met a fault of this program."""
        refusal = may_have_run(FAILED)
        return _refusal_response(self._services, refusal, self._services.wire.read_call_id(request))

    def _note(
        self,
        call: Call,
        decision: Decision | None,
        reply: _ConnectionReply,
        started_ms: int,
        *,
        served_by: str,
    ) -> None:
        took_ms = now_ms() - started_ms
        outcome = reply.outcome or CALLER_GONE
        route = decision.route.name if decision is not None else ""
        self._services.metrics.count("gateway_calls_total", outcome=outcome)
        self._services.metrics.observe("gateway_call_ms", took_ms)
        self._services.log.write(
            "call answered",
            call_id=call.call_id,
            program_id=call.program_id,
            account=decision.account if decision is not None else "",
            route=route,
            service=decision.service.name if decision is not None else "",
            configuration_version=decision.version if decision is not None else 0,
            served_by=served_by,
            outcome=outcome,
            status=reply.status,
            took_ms=took_ms,
            left_ms=call.left_ms,
        )


def _of_account(call: Call, decision: Decision) -> Call:
    """Returns a call with its program as that of its account.

    A streamed call without a program is a program of its own.
    """
    turn = call.turn
    if turn is None and decision.route.kind is CallKind.STREAMING:
        turn = Turn(call.call_id, "", None, 0, None)
    if turn is not None:
        scoped = scoped_program(decision.account, turn.program_id)
        return call._replace(program_id=scoped, turn=turn._replace(program_id=scoped))
    if not call.program_id:
        return call
    return call._replace(program_id=scoped_program(decision.account, call.program_id))


class _ConnectionReply:
    """Writes an answer to a caller's connection.

    Attributes:
      outcome: How it ended; empty if it has not.
      status: Sent to the caller; 0 if nothing was.
      verdict: Whether the call may have run, of an answer of the gateway's own; None without one.
    """

    def __init__(self, connection: Connection, call: Call, services: Services) -> None:
        self.outcome = ""
        self.status = 0
        self.verdict: Verdict | None = None
        self._connection = connection
        self._call = call
        self._services = services

    def head(self, status: int, headers: Headers) -> None:
        self.status = status
        self._connection.start_stream(status, list(headers))

    def piece(self, data: bytes) -> None:
        if data:
            self._connection.send_piece(data)

    def end(self) -> None:
        self.outcome = "whole"
        self._connection.end_stream()

    def whole(self, answer: Whole | Refusal) -> None:
        if not isinstance(answer, Whole):
            self.refuse(answer)
            return
        self.status = answer.status
        self.outcome = "whole"
        response = HttpResponse(answer.status, list(answer.headers), answer.body)
        self._connection.respond(response)

    def refuse(self, refusal: Refusal) -> None:
        self.outcome = refusal.reason
        self.verdict = refusal.verdict
        if self.status:
            # The caller must not take what it has for a whole answer.
            self._connection.abort()
            return
        self.status = refusal.status
        self._connection.respond(_refusal_response(self._services, refusal, self._call.call_id))


def _refusal_response(services: Services, refusal: Refusal, call_id: str) -> HttpResponse:
    body = msgspec.json.encode(
        {"error": refusal.reason, "may_have_run": refusal.verdict is not Verdict.NOT_RUN}
    )
    headers = services.wire.write_refusal_headers(refusal, call_id)
    return HttpResponse(refusal.status, list(headers), body)
