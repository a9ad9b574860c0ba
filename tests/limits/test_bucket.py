"""The token bucket."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from quincespool.limits.bucket import Allowance
from quincespool.limits.bucket import Bucket

ALLOWANCE = Allowance(rate_per_s=10, capacity_calls=5)


def test_it_refills_up_to_its_capacity() -> None:
    empty = Bucket(0, 1_000)
    assert empty.refilled(ALLOWANCE, 1_200).level_calls == 2
    assert empty.refilled(ALLOWANCE, 9_000).level_calls == 5
    assert empty.wait_ms(1, ALLOWANCE) == 100


def test_a_clock_that_goes_back_adds_nothing() -> None:
    bucket = Bucket(0, 1_000).refilled(ALLOWANCE, 500)
    assert bucket == Bucket(0, 1_000)


def test_a_lower_limit_holds_at_once() -> None:
    assert Bucket(5, 0).refilled(ALLOWANCE._replace(capacity_calls=2), 1).level_calls == 2


@given(st.lists(st.tuples(st.integers(0, 2_000), st.booleans()), max_size=60))
def test_no_window_gets_more_than_capacity_and_rate(steps: list[tuple[int, bool]]) -> None:
    """Every available call is taken; at some steps the bucket is capped, as by a new limiter."""
    bucket, now_ms, taken_ms = Bucket(5, 0), 0, list[int]()
    for pause_ms, is_lowered in steps:
        now_ms += pause_ms
        bucket = bucket.refilled(ALLOWANCE, now_ms)
        if is_lowered:
            bucket = bucket.capped(1)
        while bucket.level_calls >= 1:
            bucket = bucket.with_calls(-1)
            taken_ms.append(now_ms)
    for first, from_ms in enumerate(taken_ms):
        for last in range(first, len(taken_ms)):
            window_s = (taken_ms[last] - from_ms) / 1000
            assert last - first + 1 <= 5 + 10 * window_s + 1e-6
