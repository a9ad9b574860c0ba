"""How often entries are read."""

from __future__ import annotations

import pytest

from quincespool.policy.polling import entries_interval_ms
from quincespool.policy.polling import members_pause_ms

LEAST_SERVED_MS = 2_000


@pytest.mark.parametrize("daemons", [1, 11, 67, 195, 740, 5_000])
def test_a_leaving_backend_server_is_seen_in_time_at_any_size(daemons: int) -> None:
    """Symptom: at 740 hosts calls reach a backend server five seconds after it has said it leaves.

    Cause: the pause between two reads grew with the hosts without a bound, to 7.4 s.
    """
    assert entries_interval_ms(400, daemons) < LEAST_SERVED_MS


def test_reads_of_all_daemons_together_grow_slowly() -> None:
    assert entries_interval_ms(400, 10) == 400
    for daemons in (67, 140):
        assert 1_000 * daemons / entries_interval_ms(400, daemons) == 100.0


def _reads_at_a_start(daemons: int, *, pauses: bool) -> int:
    """Returns how often one daemon reads while all enter within a second, a read taking 4 ms."""
    reads, now_ms, seen = 0, 0.0, 0
    while seen < daemons:
        entered = int(min(daemons, daemons * now_ms / 1_000))
        if entered > seen:
            reads, seen = reads + 1, entered
            now_ms += 4 + (members_pause_ms(seen) if pauses else 0)
        else:
            now_ms += 1
    return reads


def test_a_start_of_all_hosts_does_not_storm_the_store() -> None:
    """Symptom: at 195 hosts the store turns requests away when all come back after a power loss.

    Events: all hosts start within a second, and each enters itself where all others wait for news.
    Cause: each entry woke a read of every host.
    """
    assert 195 * _reads_at_a_start(195, pauses=False) > 16_000
    assert 195 * _reads_at_a_start(195, pauses=True) < 5_000
    assert _reads_at_a_start(11, pauses=True) >= _reads_at_a_start(11, pauses=False) - 1


@pytest.mark.parametrize(("daemons", "most_ms"), [(11, 20), (67, 101), (195, 300), (740, 1_000)])
def test_newcomers_are_heard_of_soon(daemons: int, most_ms: int) -> None:
    assert members_pause_ms(daemons) <= most_ms
