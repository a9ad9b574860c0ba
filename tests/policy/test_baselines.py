"""The three policies that treat calls separately, and the registry."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from quincespool.policy.prefix_affinity import IMBALANCE
from quincespool.policy.queue_bound import MAX_WAITING_PER_SLOT
from quincespool.policy.registry import POLICY_NAMES
from quincespool.policy.registry import UnknownPolicyError
from quincespool.policy.registry import make_policy

if TYPE_CHECKING:
    from tests.policy.conftest import MakeBackend
    from tests.policy.conftest import MakeCall


def test_unknown_policy_is_named_with_the_known_ones() -> None:
    with pytest.raises(UnknownPolicyError, match=r"'fastest'.*round_robin.*program_aware"):
        make_policy("fastest")


@pytest.mark.parametrize(("latency", "cache"), [(-1.0, 1.0), (1.0, -0.1), (0.0, 0.0)])
def test_invalid_weights_are_refused(latency: float, cache: float) -> None:
    with pytest.raises(ValueError, match="weights"):
        make_policy("program_aware", latency_weight=latency, cache_weight=cache)


@pytest.mark.parametrize("name", POLICY_NAMES)
def test_same_seed_same_choices_and_only_offered_names(
    name: str, make_backend: MakeBackend, make_call: MakeCall
) -> None:
    backends = [make_backend(f"e{i}", running=i % 3, reported_running=i % 2) for i in range(5)]
    chosen = [
        [policy.choose(make_call(program_id=f"p{n}"), backends, now_ms=n) for n in range(40)]
        for policy in (make_policy(name, seed=3), make_policy(name, seed=3))
    ]
    assert chosen[0] == chosen[1]
    assert set(chosen[0]) <= {b.name for b in backends}
    assert len(set(chosen[0])) > 1


def test_round_robin_takes_turns(make_backend: MakeBackend, make_call: MakeCall) -> None:
    backends = [make_backend(f"e{i}") for i in range(3)]
    policy = make_policy("round_robin")
    chosen = [policy.choose(make_call(), backends, now_ms=0) for _ in range(6)]
    assert sorted(chosen[:3]) == ["e0", "e1", "e2"]
    assert chosen[:3] == chosen[3:]


def test_least_loaded_does_not_herd_between_reports(
    make_backend: MakeBackend, make_call: MakeCall
) -> None:
    """One backend server gets all calls until the next report.

    Sequence: a report says that e0 is idle; ten calls arrive before the report changes. Cause: the
    lagging report alone decides, and the calls sent meanwhile are not counted.
    """
    backends = [make_backend("e0", reported_running=0), make_backend("e1", reported_running=4)]
    policy = make_policy("least_loaded")
    chosen = [policy.choose(make_call(program_id=f"p{n}"), backends, now_ms=n) for n in range(10)]
    assert chosen[:4] == ["e0"] * 4
    assert chosen.count("e1") >= 2


def test_prefix_affinity_follows_the_cache_until_the_load_is_uneven(
    make_backend: MakeBackend, make_call: MakeCall
) -> None:
    policy = make_policy("prefix_affinity")
    idle = make_backend("idle")
    holder = make_backend("holder", cached_tokens=3000, running=8)
    assert policy.choose(make_call(), [idle, holder], now_ms=0) == "holder"
    crowded = holder._replace(waiting=int(8 * (IMBALANCE + 1)))
    assert policy.choose(make_call(), [idle, crowded], now_ms=0) == "idle"


@pytest.mark.parametrize("name", POLICY_NAMES[:3])
def test_full_queues_refuse_with_a_retry_time(
    name: str, make_backend: MakeBackend, make_call: MakeCall
) -> None:
    policy = make_policy(name)
    full = make_backend("full", running=8, waiting=8 * MAX_WAITING_PER_SLOT)
    refused = policy.admit(make_call(), [full])
    assert not refused.admitted
    assert refused.retry_after_ms > 0
    assert policy.admit(make_call(), [full, make_backend("idle")]).admitted
