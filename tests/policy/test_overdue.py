"""When an answer that has not begun is overdue."""

from __future__ import annotations

import random

from quincespool.policy.overdue import LEAST_OVERDUE_MS
from quincespool.policy.overdue import LEAST_SAMPLES
from quincespool.policy.overdue import UsualTimes


def _work_ms(rng: random.Random) -> float:
    """Returns how long a call works: 70 ms on average, a few take four times that."""
    return min(280.0, rng.lognormvariate(3.9, 0.8))


def test_nothing_is_overdue_while_too_little_is_known() -> None:
    times = UsualTimes()
    for _ in range(LEAST_SAMPLES - 1):
        times.observe("plain", 10.0)
    assert times.overdue_ms("plain") is None
    times.observe("plain", 10.0)
    assert times.overdue_ms("plain") == LEAST_OVERDUE_MS
    assert times.overdue_ms("other") is None


def test_calls_of_uneven_length_are_seldom_overdue_and_slow_ones_often() -> None:
    """Symptom: calls crawl at a service of which two backend servers in five are six times slower.

    Events: calls at sound ones take 20 to 280 ms; at slow ones six times as long.
    Cause: the daemons told one another of nothing but failures.
    """
    rng, times = random.Random(11), UsualTimes()
    overdue = {1: 0, 6: 0}
    for _ in range(2_000):
        for slowness in overdue:
            limit_ms = times.overdue_ms("plain")
            if limit_ms is not None and slowness * _work_ms(rng) > limit_ms:
                overdue[slowness] += 1
        times.observe("plain", _work_ms(rng))
    assert overdue[1] <= 20
    assert overdue[6] >= 500


def test_a_burst_that_slows_everything_raises_the_limit() -> None:
    rng, times = random.Random(5), UsualTimes()
    for _ in range(100):
        times.observe("plain", _work_ms(rng))
    for _ in range(30):
        times.observe("plain", 5 * _work_ms(rng))
    limit_ms = times.overdue_ms("plain")
    assert limit_ms is not None
    assert limit_ms > 700.0
