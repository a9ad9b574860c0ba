"""The JSON bodies and headers of refusals and failures."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from quincespool.core.call import Answer
from quincespool.core.outcomes import OutcomeId
from quincespool.core.reasons import Reason
from quincespool.verdict import Verdict

if TYPE_CHECKING:
    from quincespool.net.requests import RequestError

NO_PROGRAM = "-"
"""Stands for the program in the outcome id of a request that was not read as a call."""

_MESSAGES: dict[str, str] = {
    Reason.UNKNOWN_CLASS: "the catalogue has no such class",
    Reason.NOT_ALLOWED: "the class does not allow this model, service or account",
    Reason.UNKNOWN_TARGET: "the catalogue has no such model or service",
    Reason.BUDGET: "the budget of the program does not cover this call",
    Reason.TURN_LIMIT: "the program has reached its turn limit",
    Reason.RATE: "the account has reached its limit",
    Reason.PROGRAM_ENDED: "the program has ended",
    Reason.CALL_CONFLICT: "this call number was used for another request",
    Reason.CALL_GAP: "an earlier call of the program is missing",
    Reason.DEADLINE: "the time for this call is over",
    Reason.OVERLOAD: "there is too much to do",
    Reason.NO_BACKEND: "no backend server serves this at present",
    Reason.BACKEND_FAILED: "the backend server failed",
    Reason.QUARANTINED: "this request has crashed backend servers and is not run again",
    Reason.LOG_OUT: "the log service cannot be reached",
    Reason.NO_OWNER: "no daemon holds the program's partition at present",
    Reason.DRAINING: "this daemon is leaving",
    Reason.UNRESOLVED: "whether this call has run cannot be found out",
    Reason.CANCELLED: "the caller has gone",
    Reason.MALFORMED: "the request is malformed",
    Reason.UNKNOWN_PROGRAM: "no such program is known here",
    Reason.ANSWER_NOT_KEPT: "the answer to this call is not kept any more",
    Reason.ACCOUNT_OUT: "the account's permits cannot be had at present",
    Reason.NOT_READY: "this daemon has not read the log yet",
}


def error_body(answer: Answer, message: str = "") -> bytes:
    """Returns the error object for an answer that brings no body of its own."""
    error = {
        "message": message or _MESSAGES.get(answer.reason, "the call failed"),
        "type": _error_type(answer.status),
        "code": answer.reason,
        "verdict": str(answer.verdict),
        "outcome_id": answer.outcome_id,
    }
    return msgspec.json.encode({"error": error})


def refusal(error: RequestError) -> Answer:
    """Returns the answer to a request that is refused as such."""
    answer = Answer(
        status=error.status,
        body=b"",
        verdict=Verdict.NOT_RUN,
        outcome_id=_outcome_id(Reason.MALFORMED),
        reason=Reason.MALFORMED,
    )
    return answer._replace(body=error_body(answer, error.message))


def unavailable(reason: Reason, *, retry_after_ms: int) -> Answer:
    """Returns the answer to a request that the shell itself turns away, unread.

    It did not run, but it may be the repeat of a call that did: "not run" would speak for that too.
    """
    answer = Answer(
        status=503,
        body=b"",
        verdict=Verdict.MAY_HAVE_RUN,
        outcome_id=_outcome_id(reason),
        retry_after_ms=retry_after_ms,
        reason=reason,
    )
    return answer._replace(body=error_body(answer))


def _outcome_id(reason: Reason) -> str:
    """Returns the id of a refusal that no catalogue entry had a part in."""
    return str(OutcomeId("", -1, reason, call_number=0, program_id=NO_PROGRAM))


def answer_headers(answer: Answer) -> list[tuple[str, str]]:
    """Returns the headers that tell the caller the verdict and when to come back."""
    headers = [("content-type", answer.content_type), ("x-verdict", str(answer.verdict))]
    if answer.outcome_id:
        headers.append(("x-outcome-id", answer.outcome_id))
    if answer.retry_after_ms > 0:
        headers.append(("retry-after", str(-(-answer.retry_after_ms // 1000))))
        headers.append(("retry-after-ms", str(answer.retry_after_ms)))
    return headers


def _error_type(status: int) -> str:
    if status == 429:
        return "rate_limit_error"
    return "invalid_request_error" if status < 500 else "server_error"
