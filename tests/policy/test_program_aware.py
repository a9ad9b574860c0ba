"""The policy that decides for whole programs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quincespool.policy.estimates import MAX_TOOLS
from quincespool.policy.estimates import PauseEstimator
from quincespool.policy.protocol import CacheAction
from quincespool.policy.protocol import CallOutcome
from quincespool.policy.protocol import PauseView

if TYPE_CHECKING:
    from quincespool.policy.program_aware import ProgramAware
    from tests.policy.conftest import MakeBackend
    from tests.policy.conftest import MakeCall


def test_cached_prefix_wins_until_waiting_costs_more(
    program_aware: ProgramAware, make_backend: MakeBackend, make_call: MakeCall
) -> None:
    call = make_call(call_number=3, prompt_tokens=20_000)
    idle = make_backend("idle")
    holder = make_backend("holder", cached_tokens=19_000, running=8)
    assert program_aware.choose(call, [idle, holder], now_ms=0) == "holder"
    overloaded = holder._replace(waiting=200)
    assert program_aware.choose(call, [idle, overloaded], now_ms=0) == "idle"


def test_weights_that_must_be_loaded_count_as_waiting(
    program_aware: ProgramAware, make_backend: MakeBackend, make_call: MakeCall
) -> None:
    loading = make_backend("loading", load_ms=60_000)
    busy = make_backend("busy", running=8, waiting=2)
    assert program_aware.choose(make_call(), [loading, busy], now_ms=0) == "busy"


def test_equal_backends_spread_over_zones(
    program_aware: ProgramAware, make_backend: MakeBackend, make_call: MakeCall
) -> None:
    backends = [
        make_backend("a", zone="bole", live_tokens=10),
        make_backend("b", zone="bole", live_tokens=10),
        make_backend("c", zone="akaki", live_tokens=10),
    ]
    assert program_aware.choose(make_call(), backends, now_ms=0) == "c"


def test_less_served_program_goes_first(program_aware: ProgramAware, make_call: MakeCall) -> None:
    fresh = program_aware.rank(make_call(), now_ms=0)
    served = program_aware.rank(make_call(call_number=5, attained_ms=9000), now_ms=0)
    assert fresh < served


def test_no_program_starves(program_aware: ProgramAware, make_call: MakeCall) -> None:
    """A long program never gets another turn.

    Sequence: a program that has had hours of service waits while new programs keep arriving. Cause:
    least attained service first, without a limit, ranks each new program before it.
    """
    long_served = make_call(call_number=90, attained_ms=10_000_000, program_age_ms=0)
    waiting_since = program_aware.rank(long_served, now_ms=0)
    newcomer = program_aware.rank(make_call(), now_ms=600_000)
    assert waiting_since < newcomer


def test_earlier_deadline_and_better_priority_go_first(
    program_aware: ProgramAware, make_call: MakeCall
) -> None:
    near = program_aware.rank(make_call(deadline_left_ms=5_000), now_ms=0)
    far = program_aware.rank(make_call(deadline_left_ms=80_000), now_ms=0)
    assert near < far
    first = program_aware.rank(make_call(priority=0), now_ms=0)
    last = program_aware.rank(make_call(priority=9), now_ms=0)
    assert first < last


def test_overload_sheds_new_programs_only(
    program_aware: ProgramAware, make_backend: MakeBackend, make_call: MakeCall
) -> None:
    """Programs nearly done are refused and their work is lost.

    Sequence: the queues fill, then a call of a program in progress and a new program arrive. Cause:
    admission considers the call alone, not the service that its program has had already.
    """
    overloaded = [make_backend("e", running=8, waiting=400)]
    refused = program_aware.admit(make_call(), overloaded)
    assert not refused.admitted
    assert refused.retry_after_ms > 0
    assert program_aware.admit(make_call(call_number=9, attained_ms=50_000), overloaded).admitted
    assert program_aware.admit(make_call(sub_agent=True), overloaded).admitted
    assert program_aware.admit(make_call(), [make_backend("e")]).admitted


def test_retry_time_grows_with_the_queue_and_differs_by_program(
    program_aware: ProgramAware, make_backend: MakeBackend, make_call: MakeCall
) -> None:
    shorter = [make_backend("e", running=8, waiting=400)]
    longer = [make_backend("e", running=8, waiting=4000)]
    calls = [make_call(program_id=f"p{n}") for n in range(50)]
    near = [program_aware.admit(call, shorter).retry_after_ms for call in calls]
    far = [program_aware.admit(call, longer).retry_after_ms for call in calls]
    assert min(far) > max(near)
    assert len(set(near)) > 40


def test_a_call_that_cannot_meet_its_deadline_is_refused_for_good(
    program_aware: ProgramAware, make_backend: MakeBackend, make_call: MakeCall
) -> None:
    late = make_call(call_number=4, prompt_tokens=100_000, deadline_left_ms=200)
    admission = program_aware.admit(late, [make_backend("e")])
    assert not admission.admitted
    assert admission.retry_after_ms == 0


def test_full_cache_refuses_new_programs(
    program_aware: ProgramAware, make_backend: MakeBackend, make_call: MakeCall
) -> None:
    """Engines are busy, few programs end: all compute the same prefixes again and again.

    Sequence: more programs are admitted than fit into the caches; each call evicts the prefix that
    another program needs next. Cause: admission that considers slots and queues only.
    """
    full = [make_backend("e", live_tokens=99_000, capacity_tokens=100_000)]
    relaxed = make_call(deadline_left_ms=900_000)
    refused = program_aware.admit(relaxed, full)
    assert not refused.admitted
    assert refused.retry_after_ms > 0
    assert program_aware.admit(relaxed._replace(call_number=2, attained_ms=10), full).admitted
    urgent = make_call(deadline_left_ms=60_000)
    assert program_aware.admit(urgent, full).admitted
    overfull = [full[0]._replace(live_tokens=140_000)]
    assert not program_aware.admit(urgent, overfull).admitted


def test_speeds_are_learned(
    program_aware: ProgramAware, make_backend: MakeBackend, make_call: MakeCall
) -> None:
    queued = [make_backend("e", running=8, waiting=16)]
    assert program_aware.admit(make_call(), queued).admitted
    slow = CallOutcome(
        computed_tokens=4000, completion_tokens=100, first_token_ms=9000, service_ms=60_000
    )
    for _ in range(100):
        program_aware.observe_call(slow)
    assert not program_aware.admit(make_call(), queued).admitted


def test_long_pauses_are_exported_from_crowded_engines_only(
    program_aware: ProgramAware, make_backend: MakeBackend
) -> None:
    for _ in range(100):
        program_aware.observe_pause("person", 120_000)
        program_aware.observe_pause("lookup", 300)
    crowded = make_backend("e", live_tokens=100_000, capacity_tokens=100_000)
    pause = PauseView(tool="person", cached_tokens=9000, backend=crowded, can_export=True)
    assert program_aware.plan_pause(pause) is CacheAction.EXPORT
    roomy = crowded._replace(live_tokens=10_000)
    for kept in (
        pause._replace(tool="lookup"),
        pause._replace(backend=roomy),
        pause._replace(can_export=False),
    ):
        assert program_aware.plan_pause(kept) is CacheAction.KEEP


def test_pause_estimates_stay_bounded() -> None:
    """The daemon's memory grows without limit.

    Sequence: a caller gives each pause a new label. Cause: an estimate is stored for every label.
    """
    estimator = PauseEstimator()
    for number in range(MAX_TOOLS):
        estimator.observe(f"tool-{number}", 1000)
    estimator.observe("one-more", 90_000)
    assert estimator.expected_ms("one-more") == estimator.expected_ms("never-seen")
