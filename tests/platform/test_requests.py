"""Tests of requests and answers, in the form that the platform documents."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from quincespool.gateway.model import may_have_run
from quincespool.gateway.model import not_run
from quincespool.net.requests import HttpRequest
from quincespool.platform.requests import read_address_request
from quincespool.platform.requests import read_answer_head
from quincespool.platform.requests import read_call
from quincespool.platform.requests import write_addresses
from quincespool.platform.requests import write_attempt_headers
from quincespool.platform.requests import write_refusal_headers

TURN = {
    "host": "Ficu95.example:80",
    "request-id": "e5b2907c14da6f38",
    "program-id": "3fa81c",
    "session-id": "77d20b",
    "program-deadline-ms": "5200",
    "token-budget": "2304",
    "token-usage": "1840,288",
    "previous-turn": "40c8f1a7b3e9265d",
    "deadline-ms": "4000",
}


def _request(headers: dict[str, str], *extra: tuple[str, str]) -> HttpRequest:
    return HttpRequest("POST", "/lohu930/4b", (*headers.items(), *extra), b"body")


def test_a_turn_is_read() -> None:
    call = read_call(_request(TURN)).ok

    assert (call.call_id, call.host, call.left_ms) == ("e5b2907c14da6f38", "ficu95.example", 4000)
    assert call.turn is not None
    assert call.turn.previous_id == "40c8f1a7b3e9265d"
    assert (call.turn.budget_tokens, call.turn.max_tokens) == (2304, 288)
    assert call.turn.program_left_ms == 5200


def test_a_call_without_token_usage_is_no_turn() -> None:
    headers = {name: value for name, value in TURN.items() if name != "token-usage"}
    assert read_call(_request(headers)).ok.turn is None


@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("request-id", ""),
        ("request-id", "a b"),
        ("deadline-ms", "soon"),
        ("deadline-ms", "-1"),
        ("token-usage", "1840"),
        ("token-usage", "1840,many"),
        ("token-budget", "1e3"),
        ("program-deadline-ms", "5.5"),
    ],
)
def test_a_malformed_header_is_refused(name: str, value: str) -> None:
    result = read_call(_request({**TURN, name: value}))

    assert result.is_error()
    assert result.error.status == 400


@pytest.mark.parametrize(
    "name",
    ["request-id", "program-id", "deadline-ms", "token-budget", "credential", "tenant-id"],
)
def test_a_repeated_header_is_refused(name: str) -> None:
    assert read_call(_request({**TURN, name: "7"}, (name, "7"))).is_error()


def test_a_request_with_a_length_and_chunks_is_rejected() -> None:
    """Guards against request smuggling, by which a backend server runs a request nobody sent.

    Two parsers end a request with a length and chunks at different places, and the rest of the
    request becomes a second one.
    """
    smuggled = {**TURN, "content-length": "4", "transfer-encoding": "chunked"}
    assert read_call(_request(smuggled)).is_error()


def test_headers_that_the_gateway_sets_are_not_forwarded_from_callers() -> None:
    """Guards against callers making an engine pin or resume memory.

    A caller sends headers that only the gateway may set. They must not be forwarded.
    """
    own = {"hold": "1", "pin-ms": "9", "kv-backup": "x", "kv-from": "y", "request-priority": "0"}
    call = read_call(_request({**TURN, **own, "x-other": "kept"})).ok
    headers = write_attempt_headers(call, account="", backend_id="i-1", left_ms=90, priority=None)

    names = [name for name, _ in headers]
    assert not set(own) & set(names)
    assert ("x-other", "kept") in headers
    assert ("expect-instance", "i-1") in headers
    assert ("deadline-ms", "90") in headers
    assert names.count("deadline-ms") == 1


def test_a_backend_server_gets_the_account_and_not_the_key() -> None:
    """Guards against a backend server seeing keys, or an account that the caller chose.

    A caller sends its key and a header that names another account. Neither may be forwarded.
    """
    sent = {**TURN, "credential": "92cqf75rjvz48wuakn2f", "tenant-id": "another"}
    call = read_call(_request(sent)).ok
    headers = write_attempt_headers(
        call, account="hule930", backend_id="i-1", left_ms=90, priority=None
    )

    assert [value for name, value in headers if name == "tenant-id"] == ["hule930"]
    assert "92cqf75rjvz48wuakn2f" not in repr((call, headers))


def test_without_an_account_no_account_is_sent() -> None:
    call = read_call(_request({**TURN, "tenant-id": "another"})).ok
    headers = write_attempt_headers(call, account="", backend_id="i-1", left_ms=90, priority=None)
    assert "tenant-id" not in dict(headers)


def test_a_call_that_is_no_turn_has_its_program_id() -> None:
    plain = {"request-id": "r", "program-id": "3fa81c", "affinity-key": "17"}
    call = read_call(_request(plain)).ok
    assert (call.turn, call.program_id) == (None, "3fa81c")
    assert ("affinity-key", "17") in call.headers
    assert read_call(_request({**plain, "program-id": "a b"})).error.status == 400


def test_an_answer_without_a_stamp_or_with_an_encoding_is_not_stamped() -> None:
    assert read_answer_head(200, (("server-stamp", "s"),)).stamped
    assert not read_answer_head(200, ()).stamped
    assert not read_answer_head(200, (("server-stamp", "s"), ("content-encoding", "gzip"))).stamped


def test_a_refusal_of_a_backend_server_differs_from_a_failure() -> None:
    assert read_answer_head(503, (("not-executed", "1"),)).not_run
    assert read_answer_head(421, ()).not_run
    assert not read_answer_head(500, (("server-stamp", "s"),)).not_run
    assert read_answer_head(200, (("keep-alive", "timeout=10"),)).idle_s == 10.0


def test_a_refusal_has_a_retry_after_header() -> None:
    refusal = not_run("store_away", retry_after_ms=1300)
    assert ("retry-after", "1.300") in write_refusal_headers(refusal, "r")
    names = [name for name, _ in write_refusal_headers(may_have_run("answer_lost"), "r")]
    assert "retry-after" not in names


def test_an_address_query_is_parsed_and_answered() -> None:
    target = "/resolve?name=ficu95.example&region=addis&zone=bole"
    query = read_address_request(HttpRequest("GET", target, (), b""))
    assert query is not None
    assert query.zone == "bole"
    assert write_addresses(["10.1.0.38:8149"], 2000) == (
        b'{"addresses":["10.1.0.38:8149"],"ttl_s":2.0}'
    )


@given(st.dictionaries(st.sampled_from(sorted(TURN)), st.text(max_size=20)))
def test_any_headers_give_a_call_or_a_400(headers: dict[str, str]) -> None:
    result = read_call(_request(headers))
    assert result.is_ok() or result.error.status == 400
