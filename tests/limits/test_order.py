"""Whose calls go first when an account asks for more than its limit."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING
from typing import NamedTuple

from quincespool.limits.bucket import Allowance
from quincespool.limits.bucket import Bucket
from quincespool.limits.home import Ask
from quincespool.limits.home import Grant
from quincespool.limits.home import LimitsHome
from quincespool.limits.home import Term
from quincespool.limits.order import FIRST_PROGRAM_CALLS
from quincespool.limits.order import IDLE_MS
from quincespool.limits.order import LEAST_REST_CALLS
from quincespool.limits.order import MAX_PROGRAMS
from quincespool.limits.order import ProgramsFirst
from quincespool.limits.order import make_first_come
from quincespool.limits.order import make_programs_first

if TYPE_CHECKING:
    from collections.abc import Callable

    from quincespool.limits.order import Order

ALLOWANCE = Allowance(rate_per_s=30, capacity_calls=40)
CALLS = 12
PAUSE_MS = 150
TRIES = 2


class _Program(NamedTuple):
    program_id: str
    calls: int = 0
    tries: int = 0


def _serve(make_order: Callable[[], Order], *, programs_per_s: float, seconds: int) -> int:
    """Returns how many programs end whose calls come one after the other, each tried twice."""
    home, rng = LimitsHome(make_order, window_ms=5_000), random.Random(7)
    arrivals: list[tuple[int, _Program]] = []
    at_ms = 0.0
    while at_ms < seconds * 1000:
        arrivals.append((int(at_ms), _Program(f"p{len(arrivals)}")))
        at_ms += rng.expovariate(programs_per_s) * 1000
    ended = 0
    while arrivals:
        arrivals.sort(key=lambda item: item[0])
        now_ms, program = arrivals.pop(0)
        ask = Ask(program.program_id, may_begin=program.calls == 0)
        verdict = home.ask("a", ask, ALLOWANCE, term=Term(1, 0), now_ms=now_ms)
        if isinstance(verdict, Grant):
            program = _Program(program.program_id, program.calls + 1)
            if program.calls == CALLS:
                ended += now_ms < seconds * 1000
                continue
            arrivals.append((now_ms + verdict.wait_ms + PAUSE_MS, program))
        elif now_ms < seconds * 1000 and program.tries + 1 < TRIES:
            again = program._replace(tries=program.tries + 1)
            arrivals.append((now_ms + verdict.retry_after_ms, again))
    return ended


def test_an_account_far_over_its_limit_still_gets_programs_to_their_end() -> None:
    """Symptom: an account that sends many times its usual gets hardly a program to its end.

    Events: eighteen programs a second of twelve calls each, where the limit carries two and a half.
    Cause: each program loses some call to the limit; what its other calls used is wasted.
    """
    carried = 10 * ALLOWANCE.rate_per_s / CALLS
    first_come = _serve(make_first_come, programs_per_s=18, seconds=10)
    programs_first = _serve(make_programs_first, programs_per_s=18, seconds=10)

    assert programs_first >= 0.8 * carried
    assert first_come < 0.5 * programs_first


def test_an_account_below_its_limit_loses_nothing() -> None:
    """Four tenths of the limit, in programs that come by chance, some of them close together."""
    offered = _serve(make_first_come, programs_per_s=1.0, seconds=20)
    assert _serve(make_programs_first, programs_per_s=1.0, seconds=20) == offered


def test_an_account_with_a_limit_below_one_program_begins_one_at_rest() -> None:
    order, small = ProgramsFirst(), Allowance(rate_per_s=1, capacity_calls=6)
    assert order.missing_calls("k", Bucket(6, 0), small, 0) == 0
    order.note("p", "k", 0)
    assert order.missing_calls("k", Bucket(5, 0), small, 0) > 0
    assert order.missing_calls("k", Bucket(6, 0), small, IDLE_MS) == 0


def test_what_is_usual_is_learned_from_programs_that_are_over() -> None:
    order = ProgramsFirst()
    for number in range(200):
        for call in range(3):
            order.note(f"p{number}", "k", number * 10_000 + call * 100)
        order.missing_calls("k", Bucket(40, 0), ALLOWANCE, number * 10_000 + 5_000)

    order.note("p", "k", 5_000_000)
    # Room for one more program of three calls is enough; of twelve, as at first, it would not be.
    room = LEAST_REST_CALLS + 3
    assert FIRST_PROGRAM_CALLS > 6
    assert order.missing_calls("k", Bucket(room, 0), Allowance(0.1, 40), 5_000_000) == 0
    assert order.missing_calls("k", Bucket(room - 1, 0), Allowance(0.1, 40), 5_000_000) > 0


def test_what_is_usual_differs_by_kind() -> None:
    order = ProgramsFirst()
    for number in range(100):
        for kind, calls in (("short", 3), ("long", 40)):
            for _ in range(calls):
                order.note(f"{kind}{number}", kind, number * 10_000)
        order.missing_calls("long", Bucket(40, 0), ALLOWANCE, number * 10_000 + 5_000)
    order.note("one", "short", 5_000_000)
    slow = Allowance(0.1, 60)
    assert order.missing_calls("short", Bucket(10, 0), slow, 5_000_000) == 0
    assert order.missing_calls("long", Bucket(10, 0), slow, 5_000_000) > 0


def test_what_is_remembered_is_bounded() -> None:
    order = ProgramsFirst()
    for number in range(MAX_PROGRAMS + 10):
        order.note(f"p{number}", "k", 0)
    assert not order.is_under_way("p0", 0)
    assert order.is_under_way(f"p{MAX_PROGRAMS + 9}", 0)
