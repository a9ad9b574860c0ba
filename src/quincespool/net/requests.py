"""What a caller's or operator's HTTP request asks for: a pure mapping, without sockets."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING
from typing import Annotated
from typing import Literal
from typing import NamedTuple
from urllib.parse import parse_qs
from urllib.parse import unquote
from urllib.parse import urlsplit

import msgspec
from expression import Error
from expression import Ok
from expression import Result

from quincespool.core.call import Call
from quincespool.core.call import CallKind

if TYPE_CHECKING:
    from collections.abc import Callable

DEFAULT_MAX_TOKENS = 1024
MAX_CALL_NUMBER = 1_000_000
MAX_DEADLINE_MS = 7 * 24 * 3600 * 1000

_MAX_PROGRAM_ID_CHARS = 200
_MAX_NAME_CHARS = 200
_MAX_PATH_CHARS = 2000
_PROGRAM_ID = re.compile(r"[A-Za-z0-9._-]+(/[A-Za-z0-9._-]+)*")
_NAME = re.compile(r"[A-Za-z0-9._:/-]*")
_PATH = re.compile(r"/[A-Za-z0-9._~!$&'()*+,;=:@/-]*(\?[A-Za-z0-9._~!$&'()*+,;=:@/?%-]*)?")
_DECIMAL = re.compile(r"[0-9]{1,15}")
_BOOLEANS = {"true": True, "1": True, "false": False, "0": False}


class HttpRequest(NamedTuple):
    """A whole HTTP request; header names are in lower case."""

    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes


class RequestError(NamedTuple):
    """A refusal of the request as such: it was not run."""

    status: int
    message: str
    allow: str = ""


class CallRequest(NamedTuple):
    """A call of a program; `model` is what the caller named, empty for services."""

    call: Call
    model: str


class EndRequest(NamedTuple):
    """A caller ends its program."""

    program_id: str


class WhereRequest(NamedTuple):
    """A caller asks which address to use."""

    program_id: str


class AuditRequest(NamedTuple):
    """An auditor asks for the steps behind an outcome."""

    outcome_id: str


class OperatorRequest(NamedTuple):
    """What the shell answers by itself."""

    kind: Literal["dump", "drain", "metrics", "ready"]


EventRequest = CallRequest | EndRequest | WhereRequest | AuditRequest
Request = EventRequest | OperatorRequest

_TokenLimit = Annotated[int, msgspec.Meta(ge=1, le=100_000_000)] | None


class _ChatMessage(msgspec.Struct):
    role: str


class _ChatBody(msgspec.Struct):
    model: Annotated[str, msgspec.Meta(min_length=1, max_length=_MAX_NAME_CHARS)]
    messages: Annotated[list[_ChatMessage], msgspec.Meta(min_length=1)]
    stream: bool | None = None
    max_tokens: _TokenLimit = None
    max_completion_tokens: _TokenLimit = None
    n: Literal[1] | None = None


class _BadRequestError(Exception):
    """Carries the text of a 400 out of the helpers below."""


def read_request(
    request: HttpRequest, *, fresh_id: Callable[[], str]
) -> Result[Request, RequestError]:
    """Returns what the request asks for.

    Args:
      request: The whole request.
      fresh_id: Gives the program id of a chat completion that is a program of its own.
    """
    parts = urlsplit(request.target)
    allowed, read = _find_route(parts.path)
    if read is None:
        return Error(RequestError(status=404, message=f"no such path: {parts.path[:200]}"))
    if request.method != allowed:
        message = f"{parts.path[:200]} takes {allowed} only"
        return Error(RequestError(status=405, message=message, allow=allowed))
    try:
        return Ok(read(request, fresh_id))
    except _BadRequestError as error:
        return Error(RequestError(status=400, message=str(error)))


def _find_route(path: str) -> tuple[str, Callable[..., Request] | None]:
    """Returns the method that a path takes and the function that reads such a request."""
    exact = _EXACT_ROUTES.get(path)
    if exact is not None:
        return exact
    if path.startswith("/v1/services/"):
        return "POST", _read_service_call
    if path.startswith("/v1/programs/") and path.endswith("/end"):
        return "POST", _read_end
    if path.startswith("/v1/audit/"):
        return "GET", _read_audit
    return "", None


def _read_model_call(request: HttpRequest, fresh_id: Callable[[], str]) -> CallRequest:
    headers = _control_headers(request)
    try:
        body = msgspec.json.decode(request.body, type=_ChatBody)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise _BadRequestError(f"the body is no chat completion request: {error}") from error
    except RecursionError as error:
        raise _BadRequestError("the body is nested too deeply") from error
    _check_name(body.model, "model")
    has_program = "x-program-id" in headers
    limits = (body.max_completion_tokens, body.max_tokens, DEFAULT_MAX_TOKENS)
    call = Call(
        program_id=_program_id(headers["x-program-id"]) if has_program else fresh_id(),
        call_number=_call_number(headers, default=None if has_program else 1),
        class_name=_name(headers, "x-class"),
        account=_name(headers, "x-account"),
        kind=CallKind.MODEL,
        target=body.model,
        path="/v1/chat/completions",
        body=request.body,
        stream=bool(body.stream),
        idempotent=_boolean(headers, "x-idempotent", default=True),
        max_tokens=next(limit for limit in limits if limit is not None),
        deadline_ms=_number(headers, "x-deadline-ms", default=0, most=MAX_DEADLINE_MS),
        # Nobody can have sent a call of a program whose id has just been made up.
        first_send=_boolean(headers, "x-first-send", default=not has_program),
    )
    return CallRequest(call=call, model=body.model)


def _read_service_call(request: HttpRequest, fresh_id: Callable[[], str]) -> CallRequest:
    headers = _control_headers(request)
    service, slash, path = request.target.removeprefix("/v1/services/").partition("/")
    if not service or not slash:
        raise _BadRequestError("the path must be /v1/services/NAME/PATH")
    _check_name(service, "service")
    if "x-program-id" not in headers:
        raise _BadRequestError("a service call needs the header x-program-id")
    call = Call(
        program_id=_program_id(headers["x-program-id"]),
        call_number=_call_number(headers, default=None),
        class_name=_name(headers, "x-class"),
        account=_name(headers, "x-account"),
        kind=CallKind.SERVICE,
        target=service,
        path=_service_path("/" + path),
        body=request.body,
        idempotent=_boolean(headers, "x-idempotent", default=False),
        deadline_ms=_number(headers, "x-deadline-ms", default=0, most=MAX_DEADLINE_MS),
        first_send=_boolean(headers, "x-first-send", default=False),
    )
    return CallRequest(call=call, model="")


def _read_end(request: HttpRequest, _: Callable[[], str]) -> EndRequest:
    path = urlsplit(request.target).path
    text = unquote(path.removeprefix("/v1/programs/").removesuffix("/end"))
    return EndRequest(program_id=_program_id(text))


def _read_where(request: HttpRequest, _: Callable[[], str]) -> WhereRequest:
    try:
        query = parse_qs(urlsplit(request.target).query, max_num_fields=10)
    except ValueError as error:
        raise _BadRequestError("the query has too many fields") from error
    program_id = query.get("program", [""])[0]
    return WhereRequest(program_id=_program_id(program_id) if program_id else "")


def _read_audit(request: HttpRequest, _: Callable[[], str]) -> AuditRequest:
    outcome_id = unquote(urlsplit(request.target).path.removeprefix("/v1/audit/"))
    if not outcome_id or len(outcome_id) > 2 * _MAX_PATH_CHARS or not outcome_id.isprintable():
        raise _BadRequestError("the path must be /v1/audit/OUTCOME")
    return AuditRequest(outcome_id=outcome_id)


def _operator(kind: Literal["dump", "drain", "metrics", "ready"]) -> Callable[..., Request]:
    return lambda _request, _fresh_id: OperatorRequest(kind=kind)


def _control_headers(request: HttpRequest) -> dict[str, str]:
    """Returns the `x-` headers; two that differ would let a proxy and us read different calls."""
    headers: dict[str, str] = {}
    for name, value in request.headers:
        if not name.startswith("x-"):
            continue
        if headers.setdefault(name, value) != value:
            raise _BadRequestError(f"the header {name} is given twice")
    return headers


def _program_id(text: str) -> str:
    if len(text) > _MAX_PROGRAM_ID_CHARS or not _PROGRAM_ID.fullmatch(text):
        raise _BadRequestError(
            f"a program id has at most {_MAX_PROGRAM_ID_CHARS} of A-Z a-z 0-9 . _ - "
            "and single slashes between them"
        )
    return text


def _call_number(headers: dict[str, str], *, default: int | None) -> int:
    if "x-call-number" not in headers and default is None:
        raise _BadRequestError("a call of a program needs the header x-call-number")
    number = _number(headers, "x-call-number", default=default or 0, most=MAX_CALL_NUMBER)
    if number < 1:
        raise _BadRequestError(f"x-call-number must be from 1 to {MAX_CALL_NUMBER}")
    return number


def _number(headers: dict[str, str], name: str, *, default: int, most: int) -> int:
    text = headers.get(name)
    if text is None:
        return default
    if not _DECIMAL.fullmatch(text) or int(text) > most:
        raise _BadRequestError(f"{name} must be a whole number up to {most}")
    return int(text)


def _boolean(headers: dict[str, str], name: str, *, default: bool) -> bool:
    text = headers.get(name)
    if text is None:
        return default
    value = _BOOLEANS.get(text.lower())
    if value is None:
        raise _BadRequestError(f"{name} must be true or false")
    return value


def _name(headers: dict[str, str], header: str) -> str:
    return _check_name(headers.get(header, ""), header)


def _check_name(text: str, what: str) -> str:
    if len(text) > _MAX_NAME_CHARS or not _NAME.fullmatch(text):
        raise _BadRequestError(f"{what} has characters that no name has, or too many of them")
    return text


def _service_path(path: str) -> str:
    """Returns the path if it is in the one form that the catalogue's prefixes are written in.

    Otherwise `/%6frder` or `/x/../order` would not match the prefix `/order` of the calls that may
    not be repeated, but the backend server would read it as `/order` and run it again. One would
    notice a doubled order after a retry. Without escapes, dots and empty segments there is only one
    way to write a path.
    """
    segments = path.partition("?")[0].split("/")[1:]
    unclear = any(segment in {".", ".."} for segment in segments) or "" in segments[:-1]
    if unclear or len(path) > _MAX_PATH_CHARS or not _PATH.fullmatch(path):
        raise _BadRequestError(
            "the path of a service call must be plain: no escapes, no . or .. or empty segments"
        )
    return path


_EXACT_ROUTES: dict[str, tuple[str, Callable[..., Request]]] = {
    "/v1/chat/completions": ("POST", _read_model_call),
    "/v1/where": ("GET", _read_where),
    "/v1/dump": ("GET", _operator("dump")),
    "/v1/drain": ("POST", _operator("drain")),
    "/v1/ready": ("GET", _operator("ready")),
    "/metrics": ("GET", _operator("metrics")),
}
