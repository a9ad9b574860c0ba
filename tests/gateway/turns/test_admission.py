"""Tests of the admission of new programs while all engines are full."""

from __future__ import annotations

from typing import Any

import pytest

from quincespool.gateway.model import Call
from quincespool.gateway.model import Turn
from quincespool.gateway.model import TurnParameters
from quincespool.gateway.turns.admission import make_admission
from quincespool.gateway.turns.ledger import Ledger
from quincespool.gateway.turns.records import TurnStarted
from quincespool.net.metrics import Metrics
from quincespool.policy.urgency import Rank
from quincespool.verdict import Verdict

PARAMETERS = TurnParameters(
    version=1,
    account="",
    route="r",
    service="s",
    tokens_per_event=1,
    rank=Rank(),
    timeout_ms=3_000,
    max_event_gap_ms=2_000,
    max_attempts=1,
    keeps_history=False,
    retention_ms=60_000,
    is_resumable=False,
    is_near_limit=False,
)


class _Log:
    def __init__(self) -> None:
        self.lines: list[dict[str, Any]] = []

    def write(self, message: str, **fields: object) -> None:
        self.lines.append({"message": message, **fields})


@pytest.fixture
def log() -> _Log:
    return _Log()


def _call(program_id: str, *, previous_id: str = "", left_ms: int | None = 1_500) -> Call:
    turn = Turn(program_id, previous_id, None, 10, left_ms)
    return Call("c1", "POST", "h", "/", (), b"", 3_000, turn, program_id)


def _admission_with_full_engines(log: _Log, *, is_controlled: bool = True) -> Any:
    metrics = Metrics()
    admission = make_admission(is_controlled=is_controlled, log=log, metrics=metrics)  # type: ignore[arg-type]
    for _ in range(20):
        admission.record_full(PARAMETERS)
    return admission


def test_a_first_turn_is_refused_as_not_run_and_the_reason_is_logged(log: _Log) -> None:
    refusal = _admission_with_full_engines(log).refuse(_call("p"), PARAMETERS, Ledger())

    assert refusal is not None
    assert (refusal.status, refusal.verdict) == (503, Verdict.NOT_RUN)
    assert refusal.retry_after_ms > 0
    line = log.lines[-1]
    assert line["message"] == "program rejected"
    assert line.keys() >= {"call_id", "program_id", "wait_ms", "wait_age_ms", "turns"}


def test_a_program_that_has_started_is_admitted(log: _Log) -> None:
    """If it were refused, the engine time of its earlier turns would be wasted."""
    admission, ledger = _admission_with_full_engines(log), Ledger()
    ledger.apply(TurnStarted("t0", "known", 10, 0))
    assert admission.refuse(_call("known"), PARAMETERS, ledger) is None
    assert admission.refuse(_call("new", previous_id="t0"), PARAMETERS, ledger) is None


def test_a_program_without_a_deadline_is_never_refused(log: _Log) -> None:
    assert (
        _admission_with_full_engines(log).refuse(_call("p", left_ms=None), PARAMETERS, Ledger())
        is None
    )


def test_nothing_is_refused_if_the_settings_turn_admission_control_off(log: _Log) -> None:
    admission = _admission_with_full_engines(log, is_controlled=False)
    assert admission.refuse(_call("p"), PARAMETERS, Ledger()) is None
    assert admission.dump() == {}
