"""Which backend servers all daemons together pass over."""

from __future__ import annotations

import random

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from quincespool.policy.outliers import FIRST_HOLD_MS
from quincespool.policy.outliers import HOLD_MEMORY_MS
from quincespool.policy.outliers import MAX_HOLD_MS
from quincespool.policy.outliers import REPORTS_NEEDED
from quincespool.policy.outliers import OwnFailures
from quincespool.policy.outliers import SharedFailures
from quincespool.policy.recent_reports import MOST_REPORTS
from quincespool.policy.recent_reports import WINDOW_MS

GROUP = tuple(f"e{number}" for number in range(24))


def _report(shared: SharedFailures, backend_id: str, *reporters: str, now_ms: int = 0) -> None:
    for reporter in reporters:
        shared.note(backend_id, reporter, group=GROUP, now_ms=now_ms)


def _outliers(shared: SharedFailures, now_ms: int) -> set[str]:
    return {one for one in GROUP if shared.is_outlier(one, now_ms)}


def test_what_several_daemons_report_is_passed_over_for_a_while() -> None:
    shared = SharedFailures()
    _report(shared, "e1", "a", "b")
    assert not shared.is_outlier("e1", 0)
    _report(shared, "e1", "c")
    assert shared.is_outlier("e1", FIRST_HOLD_MS - 1)
    assert not shared.is_outlier("e1", FIRST_HOLD_MS)


def test_a_daemon_that_is_cut_off_imposes_nothing() -> None:
    """Symptom: the engines of a whole zone get no calls though they are sound.

    Events: one daemon loses its way to them; each of its calls there fails and is told to all.
    Cause: the word of one daemon was enough.
    """
    shared = SharedFailures()
    for backend_id in GROUP[:8]:
        _report(shared, backend_id, *["cut"] * 10)
    assert not _outliers(shared, 0)


def test_a_burst_that_slows_all_engines_makes_no_outlier() -> None:
    """Symptom: under the worst load a third of the engines gets nothing while the others queue.

    Events: a burst fills all engines alike; answers everywhere are overdue.
    Cause: reports were counted for each engine without regard to the rest.
    """
    shared = SharedFailures()
    rng = random.Random(3)
    for step in range(2_000):
        backend_id, reporter = rng.choice(GROUP), f"d{rng.randrange(32)}"
        if shared.is_worth_telling(backend_id, reporter, step):
            _report(shared, backend_id, reporter, now_ms=step)
    assert len(_outliers(shared, 2_000)) <= len(GROUP) // 8


def test_repeated_faults_double_the_pause_up_to_a_bound() -> None:
    shared = SharedFailures()
    now_ms, pauses = 0, []
    for _ in range(3):
        for reporter in ("a", "b", "c"):
            hold_ms = shared.note("e1", reporter, group=GROUP, now_ms=now_ms)
        assert hold_ms is not None
        pauses.append(hold_ms)
        now_ms += hold_ms
    assert pauses == [FIRST_HOLD_MS, 2 * FIRST_HOLD_MS, MAX_HOLD_MS]

    now_ms += HOLD_MEMORY_MS + 1
    _report(shared, "e1", "a", "b", "c", now_ms=now_ms)
    assert not shared.is_outlier("e1", now_ms + FIRST_HOLD_MS)


def test_old_reports_and_those_of_an_earlier_life_do_not_count() -> None:
    shared = SharedFailures()
    _report(shared, "e1", "a", "b")
    _report(shared, "e1", "c", now_ms=WINDOW_MS)
    assert not shared.is_outlier("e1", WINDOW_MS)

    _report(shared, "e1", "d", now_ms=WINDOW_MS)
    shared.forget("e1")
    _report(shared, "e1", "e", now_ms=WINDOW_MS)
    assert not shared.is_outlier("e1", WINDOW_MS)


def test_nobody_tells_more_than_the_others_need() -> None:
    shared = SharedFailures()
    _report(shared, "e1", "a", "b", "c")
    assert not shared.is_worth_telling("e1", "d", 1)
    for number in range(MOST_REPORTS):
        _report(shared, GROUP[2 + number % 20], f"d{number}")
    assert not shared.is_worth_telling("e23", "d", 1)
    assert shared.is_worth_telling("e23", "d", WINDOW_MS)


@settings(derandomize=True, deadline=None)
@given(st.lists(st.tuples(st.integers(0, 5), st.integers(0, 3), st.integers(0, 900)), max_size=80))
def test_at_most_half_of_a_service_stands_out(steps: list[tuple[int, int, int]]) -> None:
    """Whoever reports what: the middle one of the others has to be far below."""
    shared, group, now_ms = SharedFailures(), GROUP[:6], 0
    for number, reporter, pause_ms in steps:
        now_ms += pause_ms
        shared.note(group[number], f"d{reporter}", group=group, now_ms=now_ms)
        assert sum(shared.is_outlier(one, now_ms) for one in group) <= len(group) // 2


class _Fleet:
    """Daemons that place turns on engines, one of which goes dark, in virtual time."""

    CALLS_PER_S = 200
    FAULT_MS = 5_500
    # Until a call at a dark engine is seen to be lost.
    DETECT_MS = 500

    def __init__(self, daemons: int, *, shared: bool) -> None:
        self._rng = random.Random(7)
        self._daemons = [f"d{number}" for number in range(daemons)]
        self._own = {one: OwnFailures() for one in self._daemons}
        self._shared = SharedFailures() if shared else None
        self._due: list[tuple[int, str]] = []

    def lost_calls(self) -> int:
        """Returns how many calls end at the dark engine before its entry goes."""
        lost = 0
        for now_ms in range(0, self.FAULT_MS, 1_000 // self.CALLS_PER_S):
            self._learn(now_ms)
            daemon = self._rng.choice(self._daemons)
            usable = [one for one in GROUP if not self._passed_over(daemon, one, now_ms)]
            if self._rng.choice(usable) == "e0":
                lost += 1
                self._due.append((now_ms + self.DETECT_MS, daemon))
        return lost

    def _learn(self, now_ms: int) -> None:
        while self._due and self._due[0][0] <= now_ms:
            _, daemon = self._due.pop(0)
            self._own[daemon].failed("e0", now_ms, unreachable=True)
            if self._shared is not None and self._shared.is_worth_telling("e0", daemon, now_ms):
                _report(self._shared, "e0", daemon, now_ms=now_ms)

    def _passed_over(self, daemon: str, backend_id: str, now_ms: int) -> bool:
        if self._own[daemon].is_ejected(backend_id, now_ms):
            return True
        return self._shared is not None and self._shared.is_outlier(backend_id, now_ms)


def test_what_a_dark_engine_costs_does_not_grow_with_the_daemons() -> None:
    """Symptom: at hundreds of hosts answers stall for seconds whenever an engine goes down.

    Events: an engine of 24 loses its power under 200 turns a second; its entry stands for 5.5 s.
    Cause: each of 32 owners had to lose turns of its own there, again after each pause.
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
