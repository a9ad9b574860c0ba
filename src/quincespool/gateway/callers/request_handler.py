"""Handles requests of callers: parses, routes, admits and answers each call."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec

from quincespool.gateway.backends.attempt import CompleteAnswer
from quincespool.gateway.backends.crashes import fingerprint
from quincespool.gateway.clock import now_ms
from quincespool.gateway.model import FAILED
from quincespool.gateway.model import TIMEOUT
from quincespool.gateway.model import CallKind
from quincespool.gateway.model import Turn
from quincespool.gateway.model import make_turn_parameters
from quincespool.gateway.model import may_have_run
from quincespool.gateway.model import not_run
from quincespool.gateway.model import scoped_program
from quincespool.net.http_response import HttpResponse
from quincespool.verdict import Verdict

if TYPE_CHECKING:
    from collections.abc import Callable

    from quincespool.gateway.accounts.limits import AccountLimits
    from quincespool.gateway.backends.attempt import AttemptContext
    from quincespool.gateway.callers.plain_calls import PlainCallHandler
    from quincespool.gateway.callers.routes import RouteTable
    from quincespool.gateway.callers.service_slots import ServiceSlots
    from quincespool.gateway.model import Call
    from quincespool.gateway.model import Decision
    from quincespool.gateway.model import Headers
    from quincespool.gateway.model import Refusal
    from quincespool.gateway.turns.relay import Relay
    from quincespool.net.http_connection import Connection
    from quincespool.net.requests import HttpRequest
    from quincespool.net.requests import RequestError


# Outcomes without an answer of a backend server: the caller has disconnected, the call was cut off
# when this process ended, or it was refused because this daemon is stopping.
CALLER_GONE = "caller_gone"
CUT_OFF = "cut_off"
STOPPING = "stopping"
# Callers may retry soon, as another daemon accepts the call at once.
STOPPING_RETRY_MS = 50
# Some calls of the service end within this time unless all its backend servers hang.
SERVICE_CROWDED = "service_crowded"
SERVICE_CROWDED_RETRY_MS = 200
_CROWDED_REFUSAL = not_run(SERVICE_CROWDED, retry_after_ms=SERVICE_CROWDED_RETRY_MS)
_STOPPING_REFUSAL = not_run(STOPPING, retry_after_ms=STOPPING_RETRY_MS)


class RequestHandler:
    """Answers the requests of callers."""

    def __init__(
        self,
        context: AttemptContext,
        *,
        routes: RouteTable,
        limits: AccountLimits,
        plain_calls: PlainCallHandler,
        relay: Relay,
        service_slots: ServiceSlots,
        has_time_until: Callable[[int], bool],
    ) -> None:
        self._context = context
        self._routes = routes
        self._limits = limits
        self._plain = plain_calls
        self._relay = relay
        self._service_slots = service_slots
        self._has_time_until = has_time_until

    async def handle(self, connection: Connection, request: HttpRequest) -> None:
        """Answers one request."""
        # A caller's time runs from when it sent the request, also behind an earlier one.
        started_ms = now_ms() - int(1_000 * connection.waited_s)
        parsed = self._context.codec.read_call(request)
        if parsed.is_error():
            connection.respond(self.make_error_response(request, parsed.error))
            return
        call = parsed.ok
        reply = _ConnectionReply(connection, call, self._context)
        decided = self._routes.decide(call)
        if decided.is_error():
            reply.refuse(decided.error)
            self._record_call(call, None, reply, started_ms, served_by="")
            return
        decision = decided.ok
        call = _scope_to_account(call, decision)
        served_by = ""
        service = decision.service.name
        if not self._service_slots.has_room(service):
            reply.refuse(_CROWDED_REFUSAL)
            self._record_call(call, decision, reply, started_ms, served_by="")
            return
        try:
            with self._service_slots.occupied(service):
                served_by = await self._serve(call, decision, reply, started_ms)
        except asyncio.CancelledError:
            if not reply.outcome and not connection.lost:
                reply.refuse(may_have_run(CUT_OFF))
            raise
        except Exception as error:
            self._context.log.write_always(
                "call failed", call_id=call.call_id, program_id=call.program_id, error=repr(error)
            )
            if not reply.outcome:
                reply.refuse(may_have_run(FAILED))
            raise
        finally:
            self._record_call(call, decision, reply, started_ms, served_by=served_by)

    async def _serve(
        self, call: Call, decision: Decision, reply: _ConnectionReply, started_ms: int
    ) -> str:
        """Answers a routed call; returns the id of the daemon that served it, if it is a turn.

        A turn is served by the owner of its program. Its account's limit is checked at this daemon,
        as for all calls.
        """
        if self._context.crashes.is_refused(fingerprint(call), now_ms()):
            reply.refuse(not_run("crashes_backends"))
            return ""
        until_ms = started_ms + min(call.left_ms, decision.route.timeout_ms)
        if now_ms() >= until_ms:
            reply.refuse(not_run(TIMEOUT))
            return ""
        if not self._has_time_until(until_ms):
            reply.refuse(_STOPPING_REFUSAL)
            return ""
        permit = await self._limits.admit(call, decision, until_ms=until_ms)
        if permit.refusal is not None:
            reply.refuse(permit.refusal)
            return ""
        decision = decision._replace(is_near_limit=permit.is_near_limit)
        try:
            if not self._has_time_until(until_ms):
                # The daemon began to stop while the call waited for its permit.
                reply.refuse(_STOPPING_REFUSAL)
                return ""
            if decision.route.kind is CallKind.STREAMING:
                return await self._relay.run(
                    call, make_turn_parameters(decision), reply, until_ms=until_ms
                )
            reply.send_answer(await self._plain.run(call, decision, until_ms=until_ms))
            return ""
        finally:
            if permit.is_counted and reply.verdict is Verdict.NOT_RUN:
                self._limits.return_permit(decision)

    def make_error_response(self, request: HttpRequest | None, error: RequestError) -> HttpResponse:
        """Returns the answer to a request that cannot be parsed."""
        call_id = self._context.codec.read_call_id(request) if request is not None else ""
        self._context.log.write(
            "request unreadable", call_id=call_id, status=error.status, detail=error.message
        )
        refusal = not_run(error.message, status=error.status)
        return _refusal_response(self._context, refusal, call_id)

    def make_fault_response(self, request: HttpRequest) -> HttpResponse:
        """Returns the answer to a request whose handler raised an unexpected exception."""
        refusal = may_have_run(FAILED)
        return _refusal_response(self._context, refusal, self._context.codec.read_call_id(request))

    def _record_call(
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
        self._context.metrics.count("gateway_calls_total", outcome=outcome)
        self._context.metrics.observe("gateway_call_ms", took_ms)
        self._context.log.write(
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


def _scope_to_account(call: Call, decision: Decision) -> Call:
    """Returns a call whose program id is scoped to its account.

    A streamed call without a program becomes a program of its own.
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
      outcome: How the call ended; empty until then.
      status: HTTP status sent to the caller; 0 before that.
      verdict: Whether the call may have run, if the gateway refused it; None otherwise.
    """

    def __init__(self, connection: Connection, call: Call, context: AttemptContext) -> None:
        self.outcome = ""
        self.status = 0
        self.verdict: Verdict | None = None
        self._connection = connection
        self._call = call
        self._context = context

    def start(self, status: int, headers: Headers) -> None:
        self.status = status
        self._connection.start_stream(status, list(headers))

    def send_chunk(self, data: bytes) -> None:
        if data:
            self._connection.send_piece(data)

    def end(self) -> None:
        self.outcome = "whole"
        self._connection.end_stream()

    def send_answer(self, answer: CompleteAnswer | Refusal) -> None:
        if not isinstance(answer, CompleteAnswer):
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
            # The caller must not mistake the part that it has received for a complete answer.
            self._connection.abort()
            return
        self.status = refusal.status
        self._connection.respond(_refusal_response(self._context, refusal, self._call.call_id))


def _refusal_response(context: AttemptContext, refusal: Refusal, call_id: str) -> HttpResponse:
    body = msgspec.json.encode(
        {"error": refusal.reason, "may_have_run": refusal.verdict is not Verdict.NOT_RUN}
    )
    headers = context.codec.write_refusal_headers(refusal, call_id)
    return HttpResponse(refusal.status, list(headers), body)
