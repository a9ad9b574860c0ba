"""What a home is asked and answers, as messages."""

from __future__ import annotations

import pytest

from quincespool.gateway.accounts.permit_codec import read_question
from quincespool.gateway.accounts.permit_codec import read_verdict
from quincespool.gateway.accounts.permit_codec import write_not_home
from quincespool.gateway.accounts.permit_codec import write_question
from quincespool.gateway.accounts.permit_codec import write_verdict
from quincespool.gateway.members.messages import CODEC
from quincespool.limits.home import Ask
from quincespool.limits.home import Denial
from quincespool.limits.home import Grant
from quincespool.policy.program_shapes import ProgramKind
from quincespool.policy.urgency import Rank


@pytest.mark.parametrize(
    "ask", [Ask(""), Ask("north p", ProgramKind("r-1", Rank(2)), may_begin=True, told_calls=0)]
)
def test_a_question_comes_as_it_was_asked(ask: Ask) -> None:
    question = write_question(7, "north", ask)
    _, decoded = CODEC.decode(CODEC.encode("a", question))
    assert decoded == question
    assert read_question(decoded) == ask


@pytest.mark.parametrize("verdict", [Grant(30, 4, is_pressed=True), Denial(250)])
def test_a_verdict_comes_as_it_was_given(verdict: Grant | Denial) -> None:
    _, decoded = CODEC.decode(CODEC.encode("a", write_verdict(7, verdict)))
    assert read_verdict(decoded) == verdict


def test_a_daemon_that_is_not_the_home_gives_no_verdict() -> None:
    assert read_verdict(write_not_home(7)) is None
