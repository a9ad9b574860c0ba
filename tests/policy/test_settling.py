"""When a share that is dealt among daemons is taken up."""

from __future__ import annotations

import random

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from quincespool.policy.settling import MAX_UNSTABLE_MS
from quincespool.policy.settling import SERIES_MS
from quincespool.policy.settling import SettlingShare

PARTITIONS = 32
HOSTS = 11


def _taken_in_vain(gaps_ms: list[int]) -> int:
    """Returns how many partitions the first of some daemons takes up and loses again.

    The daemons join with these gaps; each time all partitions are dealt evenly.
    """
    share: SettlingShare[int] = SettlingShare(0)
    held: set[int] = set()
    lost = 0
    joined_ms = 0
    for members, gap_ms in enumerate(gaps_ms, start=1):
        dealt = set(range(0, PARTITIONS, members))
        lost += len(held - dealt)
        held &= dealt
        share.deal(dealt - held, joined_ms, changed=True)
        wait_ms = share.wait_ms(joined_ms)
        if wait_ms is not None and wait_ms < gap_ms:
            held.update(share.take())
        joined_ms += gap_ms
    return lost


def test_daemons_that_start_together_read_hardly_anything_in_vain() -> None:
    """Symptom: after a loss of power the first turn is served a second after the first daemon runs.

    Events: eleven daemons start within 200 ms; the first one is dealt all partitions, then half of
    them, and so on, and begins to read each time.
    Cause: what is dealt was taken up at once; all reads share the store's bandwidth.
    """
    rng = random.Random(1)
    for _ in range(50):
        gaps_ms = [rng.randint(8, 25) for _ in range(HOSTS)]
        assert _taken_in_vain(gaps_ms) == 0


def test_a_change_that_stands_alone_is_followed_at_once() -> None:
    share: SettlingShare[str] = SettlingShare(0)
    share.deal(["p"], SERIES_MS + 1, changed=True)
    assert share.wait_ms(SERIES_MS + 1) == 0
    assert share.take() == ["p"]
    assert share.wait_ms(SERIES_MS + 2) is None


def test_what_was_lost_without_a_change_is_taken_up_again_at_once() -> None:
    share: SettlingShare[str] = SettlingShare(0)
    share.deal(["p"], 1_000, changed=True)
    share.take()
    share.deal(["p"], 1_500, changed=False)
    assert share.wait_ms(1_500) == 0


@settings(derandomize=True, deadline=None)
@given(st.lists(st.integers(0, 40), min_size=1, max_size=200))
def test_no_series_of_changes_holds_a_share_back_for_long(gaps_ms: list[int]) -> None:
    share: SettlingShare[str] = SettlingShare(0)
    now_ms = 0
    for gap_ms in gaps_ms:
        share.deal(["p"], now_ms, changed=True)
        wait_ms = share.wait_ms(now_ms)
        assert wait_ms is not None
        assert now_ms + wait_ms <= MAX_UNSTABLE_MS
        if wait_ms <= gap_ms:
            return
        now_ms += gap_ms
