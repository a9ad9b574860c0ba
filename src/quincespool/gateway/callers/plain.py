"""Calls that generate no tokens: sent straight to a backend server, answered as a whole."""

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

# Backend servers tried that could not be reached or refused the call; each costs a round trip.
MAX_REFUSALS = 4
# When all are full a place is free after about one call; callers come back within this time.
FULL_RETRY_MS = 200
NO_BACKEND_RETRY_MS = 400
# A backend server that has not answered an idempotent call in this part of the time left is not
# going to; the rest is enough for another one.
FIRST_ATTEMPT_SHARE = 0.5
# Handed on with the deadline: the way back of the answer.
WAY_MS = 10


class PlainCalls:
    """Serves plain calls."""

    def __init__(self, services: AttemptContext) -> None:
        self._services = services

    async def run(
        self, call: Call, decision: Decision, *, until_ms: int
    ) -> CompleteAnswer | Refusal:
        """Returns the answer of a backend server, or the gateway's own final answer.

        Args:
          call: The call.
          decision: Where it goes.
          until_ms: Steady clock at which the caller or the route has waited long enough.
        """
        tried: set[str] = set()
        sent = 0
        refusals = 0
        outcome: CompleteAnswer | NotRun | AnswerLost = NotRun("no_backend", sent=False)
        while sent < decision.route.max_attempts and refusals < MAX_REFUSALS:
            entry = self._services.backends.choose(
                decision.service.name,
                now_ms=now_ms(),
                exclude=frozenset(tried),
                connected=self._services.pool.idle_backend_ids(),
            )
            if entry is None or now_ms() >= until_ms:
                break
            tried.add(entry.backend_id)
            last = sent + 1 >= decision.route.max_attempts
            result = await self._attempt(call, decision, entry, until_ms=until_ms, last=last)
            if isinstance(result, NotRun):
                refusals += 1
                outcome = outcome if isinstance(outcome, AnswerLost) else result
                continue
            sent += 1
            outcome = result
            if decision.route.kind is not CallKind.IDEMPOTENT or _is_sound(result):
                break
        return _final(outcome, timed_out=now_ms() >= until_ms)

    async def _attempt(
        self, call: Call, decision: Decision, entry: BackendEntry, *, until_ms: int, last: bool
    ) -> CompleteAnswer | NotRun | AnswerLost:
        left_ms = until_ms - now_ms()
        limit_ms = left_ms
        if decision.route.kind is CallKind.IDEMPOTENT and not last:
            limit_ms = int(left_ms * FIRST_ATTEMPT_SHARE)
        headers = self._services.codec.write_attempt_headers(
            call,
            account=decision.account,
            backend_id=entry.backend_id,
            left_ms=max(1, left_ms - WAY_MS),
            priority=None,
        )
        async with Attempt(self._services, entry, call) as attempt:
            try:
                async with asyncio.timeout(limit_ms / 1000):
                    failed = await attempt.send(call.body, headers)
                    if failed is not None:
                        return failed
                    return await _read_whole(attempt)
            except TimeoutError:
                return attempt.timed_out()


async def _read_whole(attempt: Attempt) -> CompleteAnswer | NotRun | AnswerLost:
    head = await attempt.head()
    if isinstance(head, NotRun | AnswerLost):
        return head
    body = await attempt.body()
    if isinstance(body, AnswerLost):
        return body
    attempt.complete(is_valid=head.status < 500)
    return CompleteAnswer(head.status, head.headers, body)


def _is_sound(result: CompleteAnswer | AnswerLost) -> bool:
    return isinstance(result, CompleteAnswer) and result.status < 500


def _final(
    outcome: CompleteAnswer | NotRun | AnswerLost, *, timed_out: bool
) -> CompleteAnswer | Refusal:
    if isinstance(outcome, CompleteAnswer):
        return outcome
    if isinstance(outcome, NotRun):
        retry_ms = FULL_RETRY_MS if outcome.sent else NO_BACKEND_RETRY_MS
        return not_run(outcome.reason, retry_after_ms=retry_ms)
    return may_have_run("answer_lost", status=504 if timed_out else 502)
