"""When newly assigned partitions are taken over."""

from __future__ import annotations

import random

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from quincespool.policy.pending_assignments import MAX_UNSTABLE_MS
from quincespool.policy.pending_assignments import SERIES_MS
from quincespool.policy.pending_assignments import PendingAssignments

PARTITIONS = 32
HOSTS = 11


def _lost_after_takeover(gaps_ms: list[int]) -> int:
    """Returns how many partitions the first of several daemons takes over and then loses.

    The daemons join with these gaps; after each one all partitions are assigned evenly.
    """
    pending: PendingAssignments[int] = PendingAssignments(0)
    held: set[int] = set()
    lost = 0
    joined_ms = 0
    for members, gap_ms in enumerate(gaps_ms, start=1):
        assigned = set(range(0, PARTITIONS, members))
        lost += len(held - assigned)
        held &= assigned
        pending.assign(assigned - held, joined_ms, changed=True)
        wait_ms = pending.wait_ms(joined_ms)
        if wait_ms is not None and wait_ms < gap_ms:
            held.update(pending.take_all())
        joined_ms += gap_ms
    return lost


def test_daemons_that_start_together_read_no_partition_in_vain() -> None:
    """Symptom: after a power failure the first turn is served a second after the first start.

    Events: eleven daemons start within 200 ms; the first one is assigned all partitions, then half
    of them, and so on, and begins to read them each time.
    Cause: assigned partitions were taken over at once; all reads shared
    the bandwidth of the store.
    """
    rng = random.Random(1)
    for _ in range(50):
        gaps_ms = [rng.randint(8, 25) for _ in range(HOSTS)]
        assert _lost_after_takeover(gaps_ms) == 0


def test_after_a_single_change_items_are_due_at_once() -> None:
    pending: PendingAssignments[str] = PendingAssignments(0)
    pending.assign(["p"], SERIES_MS + 1, changed=True)
    assert pending.wait_ms(SERIES_MS + 1) == 0
    assert pending.take_all() == ["p"]
    assert pending.wait_ms(SERIES_MS + 2) is None


def test_items_lost_without_a_change_are_due_again_at_once() -> None:
    pending: PendingAssignments[str] = PendingAssignments(0)
    pending.assign(["p"], 1_000, changed=True)
    pending.take_all()
    pending.assign(["p"], 1_500, changed=False)
    assert pending.wait_ms(1_500) == 0


@settings(derandomize=True, deadline=None)
@given(st.lists(st.integers(0, 40), min_size=1, max_size=200))
def test_a_series_of_changes_delays_items_for_a_limited_time(gaps_ms: list[int]) -> None:
    pending: PendingAssignments[str] = PendingAssignments(0)
    now_ms = 0
    for gap_ms in gaps_ms:
        pending.assign(["p"], now_ms, changed=True)
        wait_ms = pending.wait_ms(now_ms)
        assert wait_ms is not None
        assert now_ms + wait_ms <= MAX_UNSTABLE_MS
        if wait_ms <= gap_ms:
            return
        now_ms += gap_ms
