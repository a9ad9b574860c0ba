"""Permit requests and verdicts as messages."""

from __future__ import annotations

import pytest

from quincespool.gateway.accounts.permit_codec import decode_request
from quincespool.gateway.accounts.permit_codec import decode_verdict
from quincespool.gateway.accounts.permit_codec import encode_not_limiter
from quincespool.gateway.accounts.permit_codec import encode_request
from quincespool.gateway.accounts.permit_codec import encode_verdict
from quincespool.gateway.members.messages import CODEC
from quincespool.limits.account_limiter import Denial
from quincespool.limits.account_limiter import Grant
from quincespool.limits.account_limiter import PermitRequest
from quincespool.policy.program_shapes import ProgramKind
from quincespool.policy.urgency import Rank


@pytest.mark.parametrize(
    "permit_request",
    [
        PermitRequest(""),
        PermitRequest("north p", ProgramKind("r-1", Rank(2)), may_begin=True, reported_calls=0),
    ],
)
def test_a_request_is_decoded_as_it_was_encoded(permit_request: PermitRequest) -> None:
    message = encode_request(7, "north", permit_request)
    _, decoded = CODEC.decode(CODEC.encode("a", message))
    assert decoded == message
    assert decode_request(decoded) == permit_request


@pytest.mark.parametrize("verdict", [Grant(30, 4, is_near_limit=True), Denial(250)])
def test_a_verdict_is_decoded_as_it_was_encoded(verdict: Grant | Denial) -> None:
    _, decoded = CODEC.decode(CODEC.encode("a", encode_verdict(7, verdict)))
    assert decode_verdict(decoded) == verdict


def test_a_daemon_that_is_not_the_limiter_gives_no_verdict() -> None:
    assert decode_verdict(encode_not_limiter(7)) is None
