"""Calls that generate no tokens: sent straight to a backend server and answered unstreamed."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from quincespool.gateway.backends.attempt import AnswerLost
from quincespool.gateway.backends.attempt import Attempt
from quincespool.gateway.backends.attempt import CompleteAnswer
from quincespool.gateway.backends.attempt import NotRun
from quincespool.gateway.clock import now_ms
from quincespool.gateway.model import CallKind
from quincespool.gateway.model import Refusal
from quincespool.gateway.model import may_have_run
from quincespool.gateway.model import not_run

if TYPE_CHECKING:
    from quincespool.gateway.backends.attempt import AttemptContext
    from quincespool.gateway.model import BackendEntry
    from quincespool.gateway.model import Call
    from quincespool.gateway.model import Decision

# Maximum number of tried backend servers that are unreachable or refuse the call; each one costs a
# round trip.
MAX_REFUSALS = 4
# When all backend servers are full, a slot becomes free after about one call; callers are told to
# retry after this time.
FULL_RETRY_MS = 200
NO_BACKEND_RETRY_MS = 400
# A backend server that has not answered an idempotent call within this share of the remaining time
# is not expected to answer; the remaining time is enough for another attempt.
FIRST_ATTEMPT_SHARE = 0.5
# Subtracted from the deadline that is sent to the backend server: transit time of the answer.
ANSWER_TRIP_MS = 10


class PlainCallHandler:
    """Sends plain calls to backend servers, and retries idempotent calls that failed."""

    def __init__(self, context: AttemptContext) -> None:
        self._context = context

    async def run(
        self, call: Call, decision: Decision, *, until_ms: int
    ) -> CompleteAnswer | Refusal:
        """Returns the answer of a backend server, or the gateway's refusal.

        Args:
          call: The call.
          decision: Route, service and account of the call.
          until_ms: Monotonic clock in ms at which the time limit of the caller or the route ends.
        """
        tried: set[str] = set()
        sent = 0
        refusals = 0
        outcome: CompleteAnswer | NotRun | AnswerLost = NotRun("no_backend", sent=False)
        while sent < decision.route.max_attempts and refusals < MAX_REFUSALS:
            entry = self._context.backends.choose(
                decision.service.name,
                now_ms=now_ms(),
                exclude=frozenset(tried),
                connected=self._context.pool.idle_backend_ids(),
            )
            if entry is None or now_ms() >= until_ms:
                break
            tried.add(entry.backend_id)
            is_last_attempt = sent + 1 >= decision.route.max_attempts
            result = await self._attempt(
                call, decision, entry, until_ms=until_ms, is_last_attempt=is_last_attempt
            )
            if isinstance(result, NotRun):
                refusals += 1
                outcome = outcome if isinstance(outcome, AnswerLost) else result
                continue
            sent += 1
            outcome = result
            if decision.route.kind is not CallKind.IDEMPOTENT or _is_success(result):
                break
        return _final_answer(outcome, timed_out=now_ms() >= until_ms)

    async def _attempt(
        self,
        call: Call,
        decision: Decision,
        entry: BackendEntry,
        *,
        until_ms: int,
        is_last_attempt: bool,
    ) -> CompleteAnswer | NotRun | AnswerLost:
        left_ms = until_ms - now_ms()
        limit_ms = left_ms
        if decision.route.kind is CallKind.IDEMPOTENT and not is_last_attempt:
            limit_ms = int(left_ms * FIRST_ATTEMPT_SHARE)
        headers = self._context.codec.write_attempt_headers(
            call,
            account=decision.account,
            backend_id=entry.backend_id,
            left_ms=max(1, left_ms - ANSWER_TRIP_MS),
            priority=None,
        )
        async with Attempt(self._context, entry, call) as attempt:
            try:
                async with asyncio.timeout(limit_ms / 1000):
                    failure = await attempt.send(call.body, headers)
                    if failure is not None:
                        return failure
                    return await _read_answer(attempt)
            except TimeoutError:
                return attempt.timed_out()


async def _read_answer(attempt: Attempt) -> CompleteAnswer | NotRun | AnswerLost:
    head = await attempt.head()
    if isinstance(head, NotRun | AnswerLost):
        return head
    body = await attempt.body(head)
    if isinstance(body, AnswerLost):
        return body
    attempt.complete(is_valid=head.status < 500)
    return CompleteAnswer(head.status, head.headers, body)


def _is_success(result: CompleteAnswer | AnswerLost) -> bool:
    return isinstance(result, CompleteAnswer) and result.status < 500


def _final_answer(
    outcome: CompleteAnswer | NotRun | AnswerLost, *, timed_out: bool
) -> CompleteAnswer | Refusal:
    if isinstance(outcome, CompleteAnswer):
        return outcome
    if isinstance(outcome, NotRun):
        retry_ms = FULL_RETRY_MS if outcome.sent else NO_BACKEND_RETRY_MS
        return not_run(outcome.reason, retry_after_ms=retry_ms)
    return may_have_run("answer_lost", status=504 if timed_out else 502)
