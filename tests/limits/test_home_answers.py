"""What goes through while an account's home does not answer."""

from __future__ import annotations

from quincespool.limits.home import Denial
from quincespool.limits.home import Grant
from quincespool.limits.home_answers import PRESSED_MEMORY_MS
from quincespool.limits.home_answers import HomeAnswers

WINDOW_MS = 5_000


def _passed(calls: HomeAnswers, *, count: int, now_ms: int) -> int:
    return sum(calls.lets_through("a", 100.0, daemons=50, now_ms=now_ms) for _ in range(count))


def test_each_daemon_lets_its_part_of_the_rate_through() -> None:
    calls = HomeAnswers(window_ms=WINDOW_MS)
    assert _passed(calls, count=10, now_ms=0) == 1
    assert _passed(calls, count=10, now_ms=400) == 0
    assert _passed(calls, count=10, now_ms=500) == 1


def test_an_account_that_was_at_its_limit_gets_nothing() -> None:
    """Symptom: an account passes its limit while its home is frozen.

    Events: an account has used its limit up; its home freezes; all daemons get calls of it.
    Cause: each lets one through that knows nothing of the others'.
    """
    for pressed in (Denial(100), Grant(0, 0, is_pressed=True)):
        calls = HomeAnswers(window_ms=WINDOW_MS)
        calls.note("a", pressed, "h", 0)
        assert _passed(calls, count=10, now_ms=PRESSED_MEMORY_MS - 1) == 0
        assert _passed(calls, count=10, now_ms=PRESSED_MEMORY_MS) == 1


def test_a_later_answer_counts() -> None:
    calls = HomeAnswers(window_ms=WINDOW_MS)
    calls.note("a", Denial(100), "h", 0)
    calls.note("a", Grant(0, 9, is_pressed=False), "h", 10)
    assert _passed(calls, count=2, now_ms=20) == 1


def test_what_a_home_told_is_passed_on_for_a_window() -> None:
    calls = HomeAnswers(window_ms=WINDOW_MS)
    assert calls.told_calls("a", "g", 0) is None
    calls.note("a", Grant(0, 9, is_pressed=False), "h", 0)
    assert calls.told_calls("a", "g", WINDOW_MS) == 9
    assert calls.told_calls("a", "g", WINDOW_MS + 1) is None
    assert calls.told_calls("a", "h", 0) is None
    calls.note("a", Denial(100), "h", 10_000)
    assert calls.told_calls("a", "g", 10_000) == 0
