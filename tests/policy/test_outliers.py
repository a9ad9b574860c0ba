"""Which backend servers are ejected by the reports of all daemons."""

from __future__ import annotations

import random

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from quincespool.policy.outliers import FIRST_SHARED_EJECTION_MS
from quincespool.policy.outliers import MAX_SHARED_EJECTION_MS
from quincespool.policy.outliers import REPORTS_NEEDED
from quincespool.policy.outliers import SHARED_EJECTION_MEMORY_MS
from quincespool.policy.outliers import OwnFailures
from quincespool.policy.outliers import SharedFailures
from quincespool.policy.recent_reports import MAX_REPORTS
from quincespool.policy.recent_reports import WINDOW_MS

GROUP = tuple(f"e{number}" for number in range(24))


def _report(shared: SharedFailures, backend_id: str, *reporters: str, now_ms: int = 0) -> None:
    for reporter in reporters:
        shared.record_report(backend_id, reporter, group=GROUP, now_ms=now_ms)


def _outliers(shared: SharedFailures, now_ms: int) -> set[str]:
    return {one for one in GROUP if shared.is_outlier(one, now_ms)}


def test_reports_of_several_daemons_eject_for_a_limited_time() -> None:
    shared = SharedFailures()
    _report(shared, "e1", "a", "b")
    assert not shared.is_outlier("e1", 0)
    _report(shared, "e1", "c")
    assert shared.is_outlier("e1", FIRST_SHARED_EJECTION_MS - 1)
    assert not shared.is_outlier("e1", FIRST_SHARED_EJECTION_MS)


def test_reports_of_one_daemon_eject_nothing() -> None:
    """Symptom: the engines of a whole zone get no calls though they are healthy.

    Events: one daemon loses its connection to them; each of its calls there fails and is reported.
    Cause: the reports of one daemon were enough.
    """
    shared = SharedFailures()
    for backend_id in GROUP[:8]:
        _report(shared, backend_id, *["cut"] * 10)
    assert not _outliers(shared, 0)


def test_a_burst_that_slows_all_engines_makes_no_outlier() -> None:
    """Symptom: under the highest load a third of the engines gets no calls while the others queue.

    Events: a burst fills all engines evenly; answers of all of them are overdue.
    Cause: the reports on an engine were not compared with those on the others.
    """
    shared = SharedFailures()
    rng = random.Random(3)
    for step in range(2_000):
        backend_id, reporter = rng.choice(GROUP), f"d{rng.randrange(32)}"
        if shared.should_report(backend_id, reporter, step):
            _report(shared, backend_id, reporter, now_ms=step)
    assert len(_outliers(shared, 2_000)) <= len(GROUP) // 8


def test_repeated_faults_double_the_ejection_up_to_a_limit() -> None:
    shared = SharedFailures()
    now_ms, ejections_ms = 0, []
    for _ in range(3):
        for reporter in ("a", "b", "c"):
            ejection_ms = shared.record_report("e1", reporter, group=GROUP, now_ms=now_ms)
        assert ejection_ms is not None
        ejections_ms.append(ejection_ms)
        now_ms += ejection_ms
    assert ejections_ms == [
        FIRST_SHARED_EJECTION_MS,
        2 * FIRST_SHARED_EJECTION_MS,
        MAX_SHARED_EJECTION_MS,
    ]

    now_ms += SHARED_EJECTION_MEMORY_MS + 1
    _report(shared, "e1", "a", "b", "c", now_ms=now_ms)
    assert not shared.is_outlier("e1", now_ms + FIRST_SHARED_EJECTION_MS)


def test_old_reports_and_those_on_a_former_incarnation_do_not_count() -> None:
    shared = SharedFailures()
    _report(shared, "e1", "a", "b")
    _report(shared, "e1", "c", now_ms=WINDOW_MS)
    assert not shared.is_outlier("e1", WINDOW_MS)

    _report(shared, "e1", "d", now_ms=WINDOW_MS)
    shared.forget("e1")
    _report(shared, "e1", "e", now_ms=WINDOW_MS)
    assert not shared.is_outlier("e1", WINDOW_MS)


def test_no_report_is_sent_that_the_others_do_not_need() -> None:
    shared = SharedFailures()
    _report(shared, "e1", "a", "b", "c")
    assert not shared.should_report("e1", "d", 1)
    for number in range(MAX_REPORTS):
        _report(shared, GROUP[2 + number % 20], f"d{number}")
    assert not shared.should_report("e23", "d", 1)
    assert shared.should_report("e23", "d", WINDOW_MS)


@settings(derandomize=True, deadline=None)
@given(st.lists(st.tuples(st.integers(0, 5), st.integers(0, 3), st.integers(0, 900)), max_size=80))
def test_at_most_half_of_a_service_is_ejected(steps: list[tuple[int, int, int]]) -> None:
    """Whatever reports arrive, an outlier has far more than the median of the other servers."""
    shared, group, now_ms = SharedFailures(), GROUP[:6], 0
    for number, reporter, gap_ms in steps:
        now_ms += gap_ms
        shared.record_report(group[number], f"d{reporter}", group=group, now_ms=now_ms)
        assert sum(shared.is_outlier(one, now_ms) for one in group) <= len(group) // 2


class _Fleet:
    """Daemons that place turns on engines, one of which loses power, in virtual time."""

    CALLS_PER_S = 200
    FAULT_MS = 5_500
    # Time until the loss of a call at the engine without power is detected.
    DETECT_MS = 500

    def __init__(self, daemons: int, *, shared: bool) -> None:
        self._rng = random.Random(7)
        self._daemons = [f"d{number}" for number in range(daemons)]
        self._own = {one: OwnFailures() for one in self._daemons}
        self._shared = SharedFailures() if shared else None
        self._due: list[tuple[int, str]] = []

    def lost_calls(self) -> int:
        """Returns how many calls reach the engine without power before its entry is removed."""
        lost = 0
        for now_ms in range(0, self.FAULT_MS, 1_000 // self.CALLS_PER_S):
            self._report_lost_calls(now_ms)
            daemon = self._rng.choice(self._daemons)
            usable = [one for one in GROUP if not self._is_avoided(daemon, one, now_ms)]
            if self._rng.choice(usable) == "e0":
                lost += 1
                self._due.append((now_ms + self.DETECT_MS, daemon))
        return lost

    def _report_lost_calls(self, now_ms: int) -> None:
        while self._due and self._due[0][0] <= now_ms:
            _, daemon = self._due.pop(0)
            self._own[daemon].record_failure("e0", now_ms, unreachable=True)
            if self._shared is not None and self._shared.should_report("e0", daemon, now_ms):
                _report(self._shared, "e0", daemon, now_ms=now_ms)

    def _is_avoided(self, daemon: str, backend_id: str, now_ms: int) -> bool:
        if self._own[daemon].is_ejected(backend_id, now_ms):
            return True
        return self._shared is not None and self._shared.is_outlier(backend_id, now_ms)


def test_calls_lost_at_a_failed_engine_do_not_grow_with_the_daemons() -> None:
    """Symptom: with hundreds of hosts answers stall for seconds whenever an engine fails.

    Events: one of 24 engines loses power under 200 turns a second; its entry remains for 5.5 s.
    Cause: each of 32 owners ejected the engine only after it had lost turns of its own there, and
    lost more after each ejection.
    """
    lost = _lost_by_size(shared=True)
    alone = _lost_by_size(shared=False)
    assert lost[32] <= 1.5 * lost[8]
    assert 2 * lost[32] <= alone[32]


def _lost_by_size(*, shared: bool) -> dict[int, int]:
    return {size: _Fleet(size, shared=shared).lost_calls() for size in (8, 32)}


def test_reports_needed_come_from_more_than_one_daemon() -> None:
    shared = SharedFailures()
    _report(shared, "e1", *["a"] * (REPORTS_NEEDED + 2))
    assert not shared.is_outlier("e1", 0)
    _report(shared, "e1", "b")
    assert shared.is_outlier("e1", 0)
