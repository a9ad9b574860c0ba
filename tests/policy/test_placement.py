"""Which backend server gets a call under uneven load."""

from __future__ import annotations

import random

import pytest

from quincespool.policy.placement import AFFINITY_SLACK
from quincespool.policy.placement import Candidate
from quincespool.policy.placement import place
from tests.policy.fleet import Fleet
from tests.policy.fleet import Load

SEEDS = (1, 2, 3)
# Calls a second; 24 engines with six slots each can run 576.
BUSY_PER_S = 460.0


def _candidate(
    name: str, busy: float = 0.0, *, near: bool = True, late: float = 0.0, connected: bool = True
) -> Candidate:
    return Candidate(
        name,
        busy,
        is_in_same_zone=near,
        is_cold=False,
        has_idle_connection=connected,
        lateness=late,
    )


def _mean_ms(load: Load) -> float:
    return sum(Fleet(load, seed).run().mean_ms for seed in SEEDS) / len(SEEDS)


def test_calls_wait_less_than_with_reported_loads() -> None:
    """Symptom: with hundreds of hosts some engines queue while others idle, for a second at a time.

    Events: 32 owners send turns to 24 engines at four fifths of their capacity.
    Cause: each owner knew the others' calls in flight as of some seconds ago, and all of them
    filled the same engines until the next reports.
    """
    mean_ms = _mean_ms(Load(BUSY_PER_S))
    reported_ms = _mean_ms(Load(BUSY_PER_S, reported_every_ms=5_400, seconds=10))
    assert mean_ms < 50
    assert 4 * mean_ms < reported_ms


def test_a_few_hosts_need_not_report_their_loads_either() -> None:
    """Ten owners use six engines of twelve slots.

    So few hosts can report their loads to one another every 200 ms.
    """
    load = Load(220.0, owners=10, engines=6, slots=12, zones=4)
    assert _mean_ms(load) < _mean_ms(load._replace(reported_every_ms=200))


def test_engines_that_become_slow_get_fewer_calls() -> None:
    """Symptom: turns are slow while three of 24 engines are slow and the others have free slots.

    Events: an eighth of the engines computes 4.5 times slower, at a third of full load.
    Cause: compared with the calls in flight, latency had hardly any weight.
    """
    load = Load(200.0, slow=frozenset({0, 7, 14}))
    unaware_ms = 3 / 24 * (load.slowness - 1) * 250
    assert 2 * _mean_ms(load) < unaware_ms


@pytest.mark.parametrize("extra", [AFFINITY_SLACK - 0.01, AFFINITY_SLACK + 0.01])
def test_a_cache_is_followed_until_its_engine_is_much_busier(extra: float) -> None:
    candidates = [_candidate("holds", extra), _candidate("idle")]
    chosen = place(candidates, preferred_id="holds", rng=random.Random(1))
    assert chosen == ("holds" if extra < AFFINITY_SLACK else "idle")


def test_a_cache_is_not_followed_to_an_engine_whose_answers_begin_late() -> None:
    candidates = [_candidate("holds", late=2.0), _candidate("idle")]
    assert place(candidates, preferred_id="holds", rng=random.Random(1)) == "idle"


def test_the_own_zone_is_preferred_to_an_engine_that_is_a_little_less_busy() -> None:
    candidates = [_candidate("near", 0.1), _candidate("far", near=False)]
    assert place(candidates, preferred_id="", rng=random.Random(1)) == "near"


def test_an_idle_connection_is_used_again_while_its_engine_has_free_slots() -> None:
    """Symptom: hundreds of hosts open a connection for nearly every call to a plain service.

    Events: each host sends one or two calls a second; idle connections are closed soon.
    Cause: the host spread these few calls evenly over all backend servers.
    """
    rng, used = random.Random(2), set()
    for _ in range(50):
        candidates = [_candidate("kept"), *(_candidate(f"e{n}", connected=False) for n in range(5))]
        used.add(place(candidates, preferred_id="", rng=rng))
    assert used == {"kept"}

    candidates = [_candidate("kept", 1 / 6), _candidate("e1", connected=False)]
    assert place(candidates, preferred_id="", rng=rng) == "e1"
