"""Which calls are allowed while an account's limiter does not answer."""

from __future__ import annotations

from quincespool.limits.account_limiter import Denial
from quincespool.limits.account_limiter import Grant
from quincespool.limits.recent_permits import NEAR_LIMIT_MEMORY_MS
from quincespool.limits.recent_permits import RecentPermits

WINDOW_MS = 5_000


def _allowed(permits: RecentPermits, *, count: int, now_ms: int) -> int:
    return sum(
        permits.admit_without_answer("a", 100.0, daemons=50, now_ms=now_ms) for _ in range(count)
    )


def test_each_daemon_allows_its_share_of_the_rate() -> None:
    permits = RecentPermits(window_ms=WINDOW_MS)
    assert _allowed(permits, count=10, now_ms=0) == 1
    assert _allowed(permits, count=10, now_ms=400) == 0
    assert _allowed(permits, count=10, now_ms=500) == 1


def test_an_account_that_was_at_its_limit_gets_nothing() -> None:
    """An account must not exceed its limit while its limiter is frozen.

    An account has used up its limit; its limiter freezes; all daemons receive calls of the account.
    The fault occurs if each daemon allows a call without knowing of the calls at the others.
    """
    for near_limit in (Denial(100), Grant(0, 0, is_near_limit=True)):
        permits = RecentPermits(window_ms=WINDOW_MS)
        permits.record_verdict("a", near_limit, "h", 0)
        assert _allowed(permits, count=10, now_ms=NEAR_LIMIT_MEMORY_MS - 1) == 0
        assert _allowed(permits, count=10, now_ms=NEAR_LIMIT_MEMORY_MS) == 1


def test_the_latest_verdict_counts() -> None:
    permits = RecentPermits(window_ms=WINDOW_MS)
    permits.record_verdict("a", Denial(100), "h", 0)
    permits.record_verdict("a", Grant(0, 9, is_near_limit=False), "h", 10)
    assert _allowed(permits, count=2, now_ms=20) == 1


def test_the_last_reported_level_is_passed_to_other_limiters_for_a_window() -> None:
    permits = RecentPermits(window_ms=WINDOW_MS)
    assert permits.reported_calls("a", "g", 0) is None
    permits.record_verdict("a", Grant(0, 9, is_near_limit=False), "h", 0)
    assert permits.reported_calls("a", "g", WINDOW_MS) == 9
    assert permits.reported_calls("a", "g", WINDOW_MS + 1) is None
    assert permits.reported_calls("a", "h", 0) is None
    permits.record_verdict("a", Denial(100), "h", 10_000)
    assert permits.reported_calls("a", "g", 10_000) == 0
