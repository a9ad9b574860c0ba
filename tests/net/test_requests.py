"""Tests of the mapping from HTTP requests to calls."""

from __future__ import annotations

import pytest

from quincespool.core.call import Call
from quincespool.core.call import CallKind
from quincespool.net.requests import AuditRequest
from quincespool.net.requests import CallRequest
from quincespool.net.requests import EndRequest
from quincespool.net.requests import HttpRequest
from quincespool.net.requests import OperatorRequest
from quincespool.net.requests import Request
from quincespool.net.requests import WhereRequest
from quincespool.net.requests import read_request

CHAT = b'{"model":"m","messages":[{"role":"user","content":"hi"}]}'
PROGRAM = (("x-program-id", "p/c"), ("x-call-number", "3"))


def read(
    method: str, target: str, headers: tuple[tuple[str, str], ...] = (), body: bytes = b""
) -> Request | int:
    """Returns the request, or the status of its refusal."""
    request = HttpRequest(method=method, target=target, headers=headers, body=body)
    result = read_request(request, fresh_id=lambda: "fresh")
    return result.error.status if result.is_error() else result.ok


def test_chat_completion_with_all_headers() -> None:
    headers = (*PROGRAM, ("x-class", "stock"), ("x-account", "a"), ("x-deadline-ms", "500"))
    body = CHAT[:-1] + b',"stream":true,"max_tokens":7}'

    assert read("POST", "/v1/chat/completions", headers, body) == CallRequest(
        model="m",
        call=Call(
            program_id="p/c",
            call_number=3,
            class_name="stock",
            account="a",
            kind=CallKind.MODEL,
            target="m",
            path="/v1/chat/completions",
            body=body,
            stream=True,
            idempotent=True,
            max_tokens=7,
            deadline_ms=500,
        ),
    )


def test_chat_completion_without_program_is_a_program_of_its_own() -> None:
    request = read("POST", "/v1/chat/completions", (), CHAT)

    assert isinstance(request, CallRequest)
    assert (request.call.program_id, request.call.call_number) == ("fresh", 1)
    assert request.call.max_tokens == 1024
    assert request.call.first_send


def test_service_call_is_not_idempotent_unless_the_caller_says_so() -> None:
    for extra, idempotent in (((), False), ((("x-idempotent", "true"),), True)):
        request = read("POST", "/v1/services/orders/v1/place?x=1", (*PROGRAM, *extra), b"{}")
        assert isinstance(request, CallRequest)
        assert request.call.kind is CallKind.SERVICE
        assert (request.call.target, request.call.path) == ("orders", "/v1/place?x=1")
        assert request.call.idempotent is idempotent


@pytest.mark.parametrize(
    "path", ["/%6frder", "/x/../order", "/./order", "//order", "/x//order", "/or der", "/order%2f"]
)
def test_service_paths_have_one_form_only(path: str) -> None:
    """A doubled order through another spelling of its path.

    Symptom: an order is placed twice. Events: the catalogue lists `/order` as not to be repeated;
    a caller marks `/%6frder` as idempotent and the system repeats it. Cause: prefixes compared
    with a path that the backend server reads differently.
    """
    assert read("POST", f"/v1/services/orders{path}", PROGRAM) == 400


@pytest.mark.parametrize(
    ("method", "target", "request_"),
    [
        ("POST", "/v1/programs/a/b/end", EndRequest("a/b")),
        ("GET", "/v1/where?program=a", WhereRequest("a")),
        ("GET", "/v1/where", WhereRequest("")),
        ("GET", "/v1/audit/m1:5/x", AuditRequest("m1:5/x")),
        ("GET", "/v1/dump", OperatorRequest("dump")),
        ("POST", "/v1/drain", OperatorRequest("drain")),
        ("GET", "/metrics", OperatorRequest("metrics")),
        ("GET", "/v1/drain", 405),
        ("DELETE", "/v1/chat/completions", 405),
        ("GET", "/nothing", 404),
        ("POST", "/v1/programs/a b/end", 400),
        ("GET", "/v1/audit/", 400),
        ("GET", "/v1/where?program=/", 400),
    ],
)
def test_other_paths(method: str, target: str, request_: Request | int) -> None:
    assert read(method, target) == request_


@pytest.mark.parametrize(
    "headers",
    [
        (("x-program-id", "p"),),
        (("x-program-id", "a//b"), ("x-call-number", "1")),
        (("x-program-id", "p" * 201), ("x-call-number", "1")),
        (("x-program-id", "p"), ("x-call-number", "0")),
        (("x-program-id", "p"), ("x-call-number", "1000001")),
        (("x-program-id", "p"), ("x-call-number", "+1")),
        (*PROGRAM, ("x-call-number", "4")),
        (*PROGRAM, ("x-idempotent", "perhaps")),
        (*PROGRAM, ("x-deadline-ms", "1.5")),
        (*PROGRAM, ("x-class", "a\tb")),
    ],
)
def test_unclear_headers_are_refused(headers: tuple[tuple[str, str], ...]) -> None:
    assert read("POST", "/v1/chat/completions", headers, CHAT) == 400


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"[]",
        b"{",
        b'{"model":"m","messages":[]}',
        b'{"model":"","messages":[{"role":"user"}]}',
        CHAT[:-1] + b',"max_tokens":0}',
        CHAT[:-1] + b',"n":2}',
        CHAT[:-1] + b',"x":' + b"[" * 100_000 + b"]" * 100_000 + b"}",
        b'{"model":"\xff","messages":[{"role":"user"}]}',
    ],
)
def test_malformed_bodies_are_refused(body: bytes) -> None:
    assert read("POST", "/v1/chat/completions", (), body) == 400
