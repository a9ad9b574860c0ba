"""How long answers usually take, and when one that has not begun is overdue."""

from __future__ import annotations

import random

from quincespool.policy.service_times import HALF_LIFE_MS
from quincespool.policy.service_times import MIN_OVERDUE_MS
from quincespool.policy.service_times import MIN_SAMPLES
from quincespool.policy.service_times import BackendLatencies
from quincespool.policy.service_times import ServiceTimes


def _work_ms(rng: random.Random) -> float:
    """Returns the duration of a call: 70 ms on average, a few take four times that."""
    return min(280.0, rng.lognormvariate(3.9, 0.8))


def test_nothing_is_overdue_while_too_little_is_known() -> None:
    times = ServiceTimes()
    for _ in range(MIN_SAMPLES - 1):
        times.observe_first_byte("plain", 10.0)
    assert times.overdue_ms("plain") is None
    times.observe_first_byte("plain", 10.0)
    assert times.overdue_ms("plain") == MIN_OVERDUE_MS
    assert times.overdue_ms("other") is None


def test_calls_of_uneven_length_are_seldom_overdue_and_slow_ones_often() -> None:
    """Symptom: calls are slow at a service with two of five backend servers six times slower.

    Events: calls at healthy ones take 20 to 280 ms; at slow ones six times as long.
    Cause: the daemons reported only failures to one another.
    """
    rng, times = random.Random(11), ServiceTimes()
    overdue = {1: 0, 6: 0}
    for _ in range(2_000):
        for slowness in overdue:
            limit_ms = times.overdue_ms("plain")
            if limit_ms is not None and slowness * _work_ms(rng) > limit_ms:
                overdue[slowness] += 1
        times.observe_first_byte("plain", _work_ms(rng))
    assert overdue[1] <= 20
    assert overdue[6] >= 500


def test_a_burst_that_slows_everything_raises_the_limit() -> None:
    rng, times = random.Random(5), ServiceTimes()
    for _ in range(100):
        times.observe_first_byte("plain", _work_ms(rng))
    for _ in range(30):
        times.observe_first_byte("plain", 5 * _work_ms(rng))
    limit_ms = times.overdue_ms("plain")
    assert limit_ms is not None
    assert limit_ms > 700.0


def test_the_measured_latency_of_a_slow_backend_server_fades() -> None:
    """Symptom: an engine that was slow for a moment gets no calls for the rest of the day.

    Events: its last answers began late; it gets no calls, so nothing shows that it has recovered.
    Cause: measured latencies counted the same however old they were.
    """
    latencies = BackendLatencies()
    latencies.observe("e1", 900.0, 0)
    assert latencies.excess_ms("e1", 100.0, 0) == 800.0
    assert latencies.excess_ms("e1", 100.0, 2 * HALF_LIFE_MS) == 200.0
