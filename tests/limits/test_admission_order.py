"""Which programs may begin when an account sends more calls than its limit."""

from __future__ import annotations

import random
from collections import Counter
from typing import TYPE_CHECKING
from typing import NamedTuple

from quincespool.limits.account_limiter import AccountLimiter
from quincespool.limits.account_limiter import Grant
from quincespool.limits.account_limiter import LimiterTerm
from quincespool.limits.account_limiter import PermitRequest
from quincespool.limits.admission_order import DEFAULT_PROGRAM_SHAPE
from quincespool.limits.admission_order import MAX_RESERVED_SHARE
from quincespool.limits.admission_order import MIN_REMAINING_CALLS
from quincespool.limits.admission_order import StartedProgramsFirst
from quincespool.limits.admission_order import make_first_come_first_served
from quincespool.limits.admission_order import make_started_programs_first
from quincespool.limits.bucket import Allowance
from quincespool.limits.bucket import Bucket
from quincespool.policy.program_shapes import IDLE_MS
from quincespool.policy.program_shapes import MAX_PROGRAMS
from quincespool.policy.program_shapes import ProgramKind
from quincespool.policy.urgency import Rank

if TYPE_CHECKING:
    from collections.abc import Callable

    from quincespool.limits.admission_order import AdmissionOrder

ALLOWANCE = Allowance(rate_per_s=30, capacity_calls=40)
CALLS = 12
PAUSE_MS = 150
TRIES = 2
KIND = ProgramKind("k")
SHORT, LONG = ProgramKind("short", Rank(0)), ProgramKind("long", Rank(2))
KIND_CALLS = {KIND.name: CALLS, SHORT.name: 8, LONG.name: 26}


class _Program(NamedTuple):
    program_id: str
    kind: ProgramKind
    calls: int = 0
    tries: int = 0


def _arrivals(
    programs_per_s: dict[ProgramKind, float], seconds: int, rng: random.Random
) -> list[tuple[int, _Program]]:
    arrivals: list[tuple[int, _Program]] = []
    for kind, rate_per_s in programs_per_s.items():
        at_ms = 0.0
        while at_ms < seconds * 1000:
            arrivals.append((int(at_ms), _Program(f"{kind.name}{len(arrivals)}", kind)))
            at_ms += rng.expovariate(rate_per_s) * 1000
    return arrivals


def _serve(
    make_order: Callable[[], AdmissionOrder],
    programs_per_s: dict[ProgramKind, float],
    *,
    seconds: int,
) -> Counter[ProgramKind]:
    """Returns how many programs complete whose calls are sent in sequence, each tried twice."""
    limiter = AccountLimiter(make_order, window_ms=5_000)
    arrivals = _arrivals(programs_per_s, seconds, random.Random(7))
    ended: Counter[ProgramKind] = Counter()
    while arrivals:
        arrivals.sort(key=lambda item: item[0])
        now_ms, program = arrivals.pop(0)
        request = PermitRequest(program.program_id, program.kind, may_begin=program.calls == 0)
        verdict = limiter.request("a", request, ALLOWANCE, term=LimiterTerm(1, 0), now_ms=now_ms)
        if isinstance(verdict, Grant):
            program = program._replace(calls=program.calls + 1, tries=0)
            if program.calls == KIND_CALLS[program.kind.name]:
                ended[program.kind] += now_ms < seconds * 1000
                continue
            arrivals.append((now_ms + verdict.wait_ms + PAUSE_MS, program))
        elif now_ms < seconds * 1000 and program.tries + 1 < TRIES:
            again = program._replace(tries=program.tries + 1)
            arrivals.append((now_ms + verdict.retry_after_ms, again))
    return ended


def test_an_account_far_over_its_limit_still_completes_programs() -> None:
    """Programs of an account that sends many times its usual load must still complete.

    Eighteen programs a second of twelve calls each arrive, where the limit is enough for two and a
    half. The fault occurs if each program has some call refused by the limit, so that the work of
    its other calls is wasted.
    """
    carried = 10 * ALLOWANCE.rate_per_s / CALLS
    first_come = _serve(make_first_come_first_served, {KIND: 18}, seconds=10)[KIND]
    programs_first = _serve(make_started_programs_first, {KIND: 18}, seconds=10)[KIND]

    assert programs_first >= 0.8 * carried
    assert first_come < 0.5 * programs_first


def _served_share(
    programs_per_s: dict[ProgramKind, float], seconds: int = 20
) -> dict[ProgramKind, float]:
    ended = _serve(make_started_programs_first, programs_per_s, seconds=seconds)
    asked = Counter(one.kind for _, one in _arrivals(programs_per_s, seconds, random.Random(7)))
    return {kind: ended[kind] / asked[kind] for kind in programs_per_s}


def test_long_programs_do_not_keep_out_more_urgent_short_ones() -> None:
    """Long programs reserve calls for seconds; urgent short programs must still find enough."""
    for short_per_s, long_per_s in ((2.0, 1.2), (1.0, 6.0)):
        ranked = _served_share({SHORT: short_per_s, LONG: long_per_s})
        assert ranked[SHORT] >= ranked[LONG]

    equal = LONG._replace(rank=SHORT.rank)
    unranked = _served_share({SHORT: 2.0, equal: 1.2})
    assert unranked[SHORT] < unranked[equal]


def test_the_least_urgent_programs_are_not_shut_out() -> None:
    """The more urgent programs alone need six times the calls that the limit allows."""
    served = _serve(make_started_programs_first, {SHORT: 24.0, LONG: 1.2}, seconds=20)

    rest = 20 * ALLOWANCE.rate_per_s * (1 - MAX_RESERVED_SHARE) / KIND_CALLS[LONG.name]
    assert served[LONG] >= 0.5 * rest
    assert served[SHORT] > served[LONG]


def test_an_account_below_its_limit_loses_nothing() -> None:
    """Programs that need four tenths of the limit arrive at random, some close together."""
    offered = _serve(make_first_come_first_served, {KIND: 1.0}, seconds=20)
    assert _serve(make_started_programs_first, {KIND: 1.0}, seconds=20) == offered


def test_an_account_with_a_limit_below_one_program_begins_one_when_idle() -> None:
    order, small = StartedProgramsFirst(), Allowance(rate_per_s=1, capacity_calls=6)
    assert order.missing_calls(KIND, Bucket(6, 0), small, 0) == 0
    order.record_call("p", KIND, 0)
    assert order.missing_calls(KIND, Bucket(5, 0), small, 0) > 0
    assert order.missing_calls(KIND, Bucket(6, 0), small, IDLE_MS) == 0


def test_the_usual_shape_is_learned_from_completed_programs() -> None:
    order = StartedProgramsFirst()
    for number in range(200):
        for call in range(3):
            order.record_call(f"p{number}", KIND, number * 10_000 + call * 100)
        order.missing_calls(KIND, Bucket(40, 0), ALLOWANCE, number * 10_000 + 5_000)

    order.record_call("p", KIND, 5_000_000)
    # Enough for one more program of three calls; not for one of twelve, the initial assumption.
    room = MIN_REMAINING_CALLS + 3
    assert DEFAULT_PROGRAM_SHAPE.calls > 6
    assert order.missing_calls(KIND, Bucket(room, 0), Allowance(0.1, 40), 5_000_000) == 0
    assert order.missing_calls(KIND, Bucket(room - 1, 0), Allowance(0.1, 40), 5_000_000) > 0


def test_the_usual_shape_differs_by_kind() -> None:
    order = StartedProgramsFirst()
    for number in range(100):
        for kind, calls in ((SHORT, 3), (LONG, 40)):
            for _ in range(calls):
                order.record_call(f"{kind.name}{number}", kind, number * 10_000)
        order.missing_calls(LONG, Bucket(40, 0), ALLOWANCE, number * 10_000 + 5_000)
    order.record_call("one", SHORT, 5_000_000)
    slow = Allowance(0.1, 60)
    assert order.missing_calls(SHORT, Bucket(10, 0), slow, 5_000_000) == 0
    assert order.missing_calls(LONG, Bucket(10, 0), slow, 5_000_000) > 0


def test_the_number_of_remembered_programs_is_bounded() -> None:
    order = StartedProgramsFirst()
    for number in range(MAX_PROGRAMS + 10):
        order.record_call(f"p{number}", KIND, 0)
    assert not order.is_in_progress("p0", 0)
    assert order.is_in_progress(f"p{MAX_PROGRAMS + 9}", 0)


def test_nothing_is_reserved_for_urgent_programs_that_all_begin() -> None:
    """An account below its limit must not have long programs refused for short ones that begin."""
    order = StartedProgramsFirst()
    for number in range(10):
        order.record_arrival(f"s{number}", SHORT, number * 100)
    room = Bucket(DEFAULT_PROGRAM_SHAPE.calls - 1, 1_000)
    slow = Allowance(rate_per_s=1, capacity_calls=40)
    assert order.missing_calls(LONG, room, slow, 1_000) == 0
    order.record_refusal(SHORT, 1_000)
    assert order.missing_calls(LONG, room, slow, 1_000) > 0
    assert order.missing_calls(SHORT, room, slow, 1_000) == 0
