"""In which order full engines run turns."""

from __future__ import annotations

import heapq
import random

from quincespool.policy.urgency import LAST_PRIORITY
from quincespool.policy.urgency import Rank
from quincespool.policy.urgency import make_rank
from quincespool.policy.urgency import turn_priority


def test_importance_counts_before_the_time_left_to_a_program() -> None:
    assert turn_priority(Rank(0), -5_000) < turn_priority(Rank(1), 10)
    assert turn_priority(Rank(1), 10) < turn_priority(Rank(1), 0)
    assert turn_priority(Rank(1), None) == turn_priority(Rank(1), 1)


def test_no_priority_exceeds_what_engines_accept() -> None:
    assert turn_priority(Rank(100), -1) == LAST_PRIORITY


def test_late_programs_do_not_make_others_late() -> None:
    """Symptom: one program after the other is late until long after the end of a burst.

    Events: a batch of six runs 20 turns a second; a burst leaves sixty programs that are late and
    continue; then others begin at 14 a second, and each of their turns has a limit of 1.5 s.
    Cause: engines ran turns in order of arrival, the late ones first.
    """
    assert _late_share(by_urgency=True) < 0.05
    assert _late_share(by_urgency=False) > 0.5


def _late_share(*, by_urgency: bool) -> float:
    rng = random.Random(4)
    queue: list[tuple[int, float, bool]] = [
        (turn_priority(Rank(1), -100) if by_urgency else 0, number / 1_000, True)
        for number in range(60)
    ]
    late, begun, at_ms, due_ms = 0, 0, 0.0, 0.0
    for now_ms in range(0, 6_000, 50):
        while due_ms <= now_ms:
            due_ms += rng.expovariate(14 / 1_000)
            priority = turn_priority(Rank(1), 1_500) if by_urgency else 0
            heapq.heappush(queue, (priority, due_ms + 1, False))
        if not queue:
            continue
        # Twenty turns a second: one each 50 ms.
        _, at_ms, was_late = heapq.heappop(queue)
        if not was_late:
            begun += 1
            late += now_ms - at_ms > 1_500
    return late / begun


def test_routes_keep_their_order_among_accounts_of_one_rank() -> None:
    """If the account's rank replaced the route's, all routes of its callers would rank equal."""
    urgent, other = (make_rank(account_rank=1, route_rank=route) for route in (0, 2))
    assert turn_priority(urgent, 500) < turn_priority(other, 500)
    assert turn_priority(other, 500) < turn_priority(Rank(2), 500)
    assert make_rank(account_rank=None, route_rank=2) == Rank(2)
