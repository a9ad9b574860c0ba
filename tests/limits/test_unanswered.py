"""What goes through while an account's home does not answer."""

from __future__ import annotations

from quincespool.limits.home import Denial
from quincespool.limits.home import Grant
from quincespool.limits.unanswered import PRESSED_MEMORY_MS
from quincespool.limits.unanswered import UnansweredCalls


def _passed(calls: UnansweredCalls, *, count: int, now_ms: int) -> int:
    return sum(calls.lets_through("a", 100.0, daemons=50, now_ms=now_ms) for _ in range(count))


def test_each_daemon_lets_its_part_of_the_rate_through() -> None:
    calls = UnansweredCalls()
    assert _passed(calls, count=10, now_ms=0) == 1
    assert _passed(calls, count=10, now_ms=400) == 0
    assert _passed(calls, count=10, now_ms=500) == 1


def test_an_account_that_was_at_its_limit_gets_nothing() -> None:
    """Symptom: an account passes its limit while its home is frozen.

    Events: an account has used its limit up; its home freezes; all daemons get calls of it.
    Cause: each lets one through that knows nothing of the others'.
    """
    for pressed in (Denial(100), Grant(0, is_pressed=True)):
        calls = UnansweredCalls()
        calls.note("a", pressed, 0)
        assert _passed(calls, count=10, now_ms=PRESSED_MEMORY_MS - 1) == 0
        assert _passed(calls, count=10, now_ms=PRESSED_MEMORY_MS) == 1


def test_a_later_answer_counts() -> None:
    calls = UnansweredCalls()
    calls.note("a", Denial(100), 0)
    calls.note("a", Grant(0, is_pressed=False), 10)
    assert _passed(calls, count=2, now_ms=20) == 1
