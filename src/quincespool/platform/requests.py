"""Translates the platform's requests and answers to the gateway's types and back."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING
from urllib.parse import parse_qs
from urllib.parse import urlsplit

import msgspec
from expression import Error
from expression import Ok
from expression import Result

from quincespool.gateway.model import Call
from quincespool.gateway.model import Refusal
from quincespool.gateway.model import Turn
from quincespool.gateway.model import digest_key
from quincespool.gateway.platform_codec import AddressRequest
from quincespool.gateway.platform_codec import AnswerHead
from quincespool.net.requests import RequestError

if TYPE_CHECKING:
    from collections.abc import Iterable

    from quincespool.gateway.model import Headers
    from quincespool.net.requests import HttpRequest

# Headers that concern one connection only or that the gateway sets for each attempt.
_NOT_FORWARDED = frozenset(
    {
        "connection",
        "content-length",
        "credential",
        "deadline-ms",
        "expect",
        "expect-instance",
        "expect-version",
        "hold",
        "keep-alive",
        "kv-backup",
        "kv-fetch",
        "kv-from",
        "pin-ms",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "request-priority",
        "te",
        "tenant-id",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
_NOT_RETURNED = frozenset(
    {"connection", "content-length", "keep-alive", "proxy-connection", "transfer-encoding"}
)
# Must not be repeated: the backend server might use another value than the one read here.
_IDENTIFYING_HEADERS = (
    "credential",
    "deadline-ms",
    "host",
    "previous-turn",
    "program-id",
    "request-id",
    "tenant-id",
    "token-budget",
)
_LAST_EVENT_HEADER = "last-event-id"
_ID = re.compile(r"[!-~]{1,128}")
_NUMBER = re.compile(r"[0-9]{1,12}")
_MAX_LEFT_MS = 600_000


def read_call(request: HttpRequest) -> Result[Call, RequestError]:
    """Parses the call in a caller's request; the error is answered with its status."""
    headers = dict(request.headers)
    if len(headers) != len(request.headers) and _repeats_identifying_header(request.headers):
        return Error(RequestError(400, "a header that identifies the call is repeated"))
    if "transfer-encoding" in headers and "content-length" in headers:
        # Request smuggling: two parsers may disagree on where such a request ends, and treat the
        # rest as another request that no caller sent.
        return Error(RequestError(400, "both a length and chunks"))
    call_id = headers.get("request-id", "")
    if not _ID.fullmatch(call_id):
        return Error(RequestError(400, "Request-Id is missing or malformed"))
    left_text = headers.get("deadline-ms", "")
    if left_text and not _NUMBER.fullmatch(left_text):
        return Error(RequestError(400, "Deadline-Ms is not a number"))
    program_id = headers.get("program-id", "")
    if program_id and not _ID.fullmatch(program_id):
        return Error(RequestError(400, "Program-Id is malformed"))
    turn = _read_turn(headers)
    if turn.is_error():
        return Error(turn.error)
    return Ok(
        Call(
            call_id=call_id,
            method=request.method,
            host=headers.get("host", "").partition(":")[0].lower(),
            target=request.target,
            headers=tuple(pair for pair in request.headers if pair[0] not in _NOT_FORWARDED),
            body=request.body,
            left_ms=min(int(left_text or _MAX_LEFT_MS), _MAX_LEFT_MS),
            turn=turn.ok,
            program_id=program_id,
            key_digest=digest_key(headers["credential"]) if "credential" in headers else "",
            resumes_after=_read_event_number(headers.get(_LAST_EVENT_HEADER, "")),
        )
    )


def read_call_id(request: HttpRequest) -> str:
    """Returns the call id of a request; empty if it has none."""
    return dict(request.headers).get("request-id", "")


def read_address_request(request: HttpRequest) -> AddressRequest | None:
    """Parses a query for daemon addresses; None if the request is for something else."""
    parts = urlsplit(request.target)
    if request.method != "GET" or parts.path != "/resolve":
        return None
    return AddressRequest(zone=parse_qs(parts.query).get("zone", [""])[0])


def write_addresses(addresses: list[str], valid_ms: int) -> bytes:
    """Returns the body of the answer to a query for daemon addresses."""
    return msgspec.json.encode({"addresses": addresses, "ttl_s": valid_ms / 1000})


def is_readiness_request(request: HttpRequest) -> bool:
    """Whether a request is a readiness check of the platform."""
    return request.method == "GET" and request.target.partition("?")[0] == "/ready"


def write_attempt_headers(
    call: Call,
    *,
    account: str,
    backend_id: str,
    left_ms: int,
    priority: int | None,
    after_event: int | None = None,
) -> Headers:
    """Returns the headers of one attempt at a backend server.

    Args:
      call: The call.
      account: Name of the client account; empty if there is none.
      backend_id: Backend server that may run it; another one at the same address refuses it.
      left_ms: Time until the deadline.
      priority: Sent if not None.
      after_event: Number of the event after which a stream is resumed; None keeps the
        caller's header.
    """
    forwarded: Iterable[tuple[str, str]] = call.headers
    if after_event is not None:
        forwarded = [pair for pair in call.headers if pair[0] != _LAST_EVENT_HEADER]
        forwarded.append((_LAST_EVENT_HEADER, str(after_event)))
    headers = [*forwarded, ("deadline-ms", str(left_ms)), ("expect-instance", backend_id)]
    if account:
        headers.append(("tenant-id", account))
    if priority is not None:
        headers.append(("request-priority", str(priority)))
    return tuple(headers)


def read_answer_head(status: int, pairs: Headers) -> AnswerHead:
    """Parses status and headers of a backend server's answer."""
    headers = dict(pairs)
    return AnswerHead(
        status=status,
        call_id=headers.get("request-id", ""),
        stamped="server-stamp" in headers and "content-encoding" not in headers,
        # Another backend server that now has the address answers 421.
        not_run="not-executed" in headers or status == 421,
        headers=tuple(pair for pair in pairs if pair[0] not in _NOT_RETURNED),
        idle_s=_read_idle_s(headers.get("keep-alive", "")),
    )


def write_refusal_headers(refusal: Refusal, call_id: str) -> Headers:
    """Returns the headers of a refusal."""
    headers = [("request-id", call_id)] if call_id else []
    headers.append(("content-type", "application/json"))
    if refusal.retry_after_ms:
        # The platform's unit is seconds, with fractions.
        headers.append(("retry-after", f"{refusal.retry_after_ms / 1000:.3f}"))
    return tuple(headers)


def _read_turn(headers: dict[str, str]) -> Result[Turn | None, RequestError]:
    # Token-Usage holds two numbers: tokens of the prompt and the maximum to generate.
    usage = headers.get("token-usage")
    program_id = headers.get("program-id")
    if usage is None or program_id is None:
        return Ok(None)
    _, _, most_text = usage.partition(",")
    budget_text = headers.get("token-budget")
    left_text = headers.get("program-deadline-ms")
    for text in (most_text.strip(), budget_text, left_text):
        if text is not None and not _NUMBER.fullmatch(text):
            return Error(RequestError(400, "Token-Usage, Token-Budget or Program-Deadline-Ms"))
    return Ok(
        Turn(
            program_id=program_id,
            previous_id=headers.get("previous-turn", ""),
            budget_tokens=None if budget_text is None else int(budget_text),
            max_tokens=int(most_text),
            program_left_ms=None if left_text is None else int(left_text),
        )
    )


def _read_event_number(text: str) -> int | None:
    return int(text) if _NUMBER.fullmatch(text) else None


def _repeats_identifying_header(pairs: Headers) -> bool:
    names = [name for name, _ in pairs]
    return any(names.count(name) > 1 for name in _IDENTIFYING_HEADERS)


def _read_idle_s(text: str) -> float | None:
    match = re.search(r"timeout=([0-9]{1,6})", text)
    return float(match[1]) if match else None
