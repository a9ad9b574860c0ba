"""What the callers of the soak notice: each broken promise, made up here."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING
from typing import cast

import pytest

from tests.soak.callers import BUDGET_TOKENS
from tests.soak.callers import MOST_TOKENS
from tests.soak.callers import Callers
from tests.soak.callers import Turn
from tests.soak.diary import Diary
from tests.soak.diary import Limits
from tests.soak.diary import Work
from tests.soak.judge import Attempt
from tests.soak.judge import judge
from tests.soak.lines import ONCE
from tests.soak.lines import Line
from tests.soak.soak import find_errors
from tests.support.client import Reply
from tests.support.standins.platform_engine import Span

if TYPE_CHECKING:
    from pathlib import Path

    from tests.soak.deployment import SoakDeployment


class _Ran:
    def __init__(self, *runs: tuple[str, bytes]) -> None:
        self._runs = runs
        self.daemons: list[object] = []
        self.engines: dict[str, object] = {}
        self.diary = Diary()

    def runs(self) -> tuple[tuple[str, bytes], ...]:
        return self._runs


def _callers(*runs: tuple[str, bytes]) -> Callers:
    callers = Callers(cast("SoakDeployment", _Ran(*runs)), random.Random(1), "s")
    callers._once.add("t1")
    callers._bodies["t1"] = b"asks"
    return callers


def test_what_is_as_it_should_be_is_no_fault() -> None:
    callers = _callers(("t1", b"asks"))
    callers._spent["p"] = BUDGET_TOKENS + MOST_TOKENS
    callers.audit()
    assert callers.faults == []


@pytest.mark.parametrize(
    ("runs", "said", "spent", "promise"),
    [
        ([("t1", b"asks"), ("t1", b"asks")], {}, 0, "doubled"),
        ([("t1", b"another history")], {}, 0, "mixed"),
        ([("t1", b"asks")], {"t1": 503}, 0, "false not run"),
        ([], {}, BUDGET_TOKENS + MOST_TOKENS + 1, "overspent"),
    ],
)
def test_a_broken_promise_is_noticed(
    runs: list[tuple[str, bytes]], said: dict[str, int], spent: int, promise: str
) -> None:
    callers = _callers(*runs)
    callers._said_not_run.update(said)
    callers._spent["p"] = spent
    callers.audit()
    assert set(callers.counts) == {promise}


@pytest.mark.parametrize(("status", "is_lost"), [(404, True), (410, True), (503, False)])
async def test_a_turn_behind_a_whole_one_must_be_found(
    status: int, is_lost: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    callers = _callers()

    async def answer(*_: object) -> Reply:
        return Reply(status, {}, b"")

    monkeypatch.setattr(callers, "_fetch", answer)
    line = Line([], random.Random(1), ONCE)
    await callers._turn(line, "p", Turn("t0", b"asks"))
    assert callers.counts["lost"] == is_lost


def test_an_exception_that_a_daemon_logs_is_noticed(tmp_path: Path) -> None:
    lines = ['{"at_ms": 1, "level": "info"}', '{"at_ms": 2, "level": "error"}']
    (tmp_path / "d0.log").write_text("\n".join(lines))
    assert find_errors(tmp_path) == lines[1:]


# A daemon was told to stop at 100 s and had 4 s for it.
STOPPED = Work("stop", "d0", 100.0, 104.0)
ENDED = Attempt("c", "/stream/", "d0", True, False, 3_000, 101.0, 102.0, 0, False, False)
ANSWERED = ENDED._replace(status=503, is_whole=True)
RAN = Span("c", "model1", 101.1, 102.0, False)


def _judge(attempts: list[Attempt], spans: list[Span], *works: Work) -> list[str]:
    diary = Diary()
    diary.limits.append(Limits(0.0, {"/stream/": 3_000}))
    diary.done += works
    turns = [tuple(one.call_id for one in attempts)]
    return [finding.promise for finding in judge(attempts, turns, spans, diary)]


CUT = [
    (ENDED, RAN, [STOPPED]),
    (ENDED, None, [STOPPED]),
    (ENDED._replace(ended_s=101.1, status=200), RAN, [STOPPED]),
    (ENDED._replace(sent_s=99.5, ended_s=100.2), RAN, [STOPPED]),
    (ENDED._replace(sent_s=103.2, ended_s=103.9), RAN._replace(ended_s=103.9), [STOPPED]),
    (ENDED, RAN, [Work("reload", "d0", 100.0, 100.0)]),
    (ENDED, RAN, [Work("configure", "", 100.0, 100.0)]),
    (ENDED, RAN, [STOPPED, Work("kill", "d1", 90.0, 97.9)]),
    (ENDED, RAN, [STOPPED, Work("engine_leaves", "", 100.0, 103.0)]),
]
ALLOWED = [
    (ENDED._replace(is_whole=True, status=200), RAN, [STOPPED]),
    (ENDED._replace(ended_s=101.1), None, [STOPPED]),
    (ENDED, RAN._replace(broke_off=True), [STOPPED]),
    (ENDED._replace(budget_ms=1_000), RAN, [STOPPED]),
    (ENDED._replace(is_void=True), RAN, [STOPPED]),
    (ENDED._replace(ended_s=103.5), RAN._replace(ended_s=103.5), [STOPPED]),
    (ENDED, RAN, [STOPPED, Work("kill", "d1", 90.0, 98.1)]),
    (ENDED, RAN, [STOPPED._replace(where="d1")]),
    (ENDED, RAN, [Work("reload", "d0", 98.9, 98.9)]),
    (ENDED._replace(ended_s=103.2), RAN, [Work("configure", "", 100.0, 100.0)]),
    (ANSWERED._replace(ended_s=104.4), RAN, []),
    (ANSWERED._replace(ended_s=104.6), RAN, [Work("pause", "d0", 101.0, 102.0)]),
    (ANSWERED._replace(ended_s=104.6), RAN, [Work("store_down", "", 101.0, 102.0)]),
]
LATE = [
    (ANSWERED._replace(ended_s=104.6), RAN, []),
    (ANSWERED._replace(ended_s=104.6), RAN, [Work("kill", "d1", 101.0, 102.0)]),
]


@pytest.mark.parametrize(
    ("attempt", "span", "works", "findings"),
    [
        *((*case, ["cut"]) for case in CUT),
        *((*case, ["too late"]) for case in LATE),
        *((*case, []) for case in ALLOWED),
    ],
)
def test_a_request_that_is_cut_or_late_is_noticed(
    attempt: Attempt, span: Span | None, works: list[Work], findings: list[str]
) -> None:
    assert _judge([attempt], [span] if span else [], *works) == findings


@pytest.mark.parametrize(
    ("count", "changes", "works", "closed"),
    [
        (4, {}, [], 4),
        (3, {}, [], 0),
        (4, {"is_kept": False}, [], 0),
        (4, {"status": 200}, [], 0),
        (4, {}, [Work("pause", "d0", 90.0, 98.5)], 0),
        (4, {}, [Work("backend_reset", "model1", 101.0, 101.0)], 0),
        (4, {}, [Work("pause", "d1", 90.0, 98.5)], 4),
    ],
)
def test_connections_that_are_closed_on_calls_that_ran_are_noticed(
    count: int, changes: dict[str, object], works: list[Work], closed: int
) -> None:
    calls = [f"c{number}" for number in range(count)]
    attempts = [ENDED._replace(call_id=call_id, **changes) for call_id in calls]  # type: ignore[arg-type]
    spans = [RAN._replace(call_id=call_id) for call_id in calls]
    assert _judge(attempts, spans, *works) == ["closed"] * closed


@pytest.mark.parametrize(
    ("tries", "changes", "works", "spans", "findings"),
    [
        (5, {}, [], [], ["unreached"]),
        (4, {}, [], [], []),
        (5, {"status": 402}, [], [], []),
        (5, {}, [], [RAN._replace(call_id="c3")], []),
        (5, {}, [Work("store_down", "", 90.0, 99.0)], [], []),
        (5, {}, [STOPPED], [], []),
        (5, {}, [STOPPED._replace(where="d1")], [], ["unreached"]),
    ],
)
def test_a_turn_that_reaches_no_engine_is_noticed(
    tries: int,
    changes: dict[str, object],
    works: list[Work],
    spans: list[Span],
    findings: list[str],
) -> None:
    refused = ANSWERED._replace(**changes)  # type: ignore[arg-type]
    attempts = [refused._replace(call_id=f"c{number}") for number in range(tries)]
    assert _judge(attempts, spans, *works) == findings
