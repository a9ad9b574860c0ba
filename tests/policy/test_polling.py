"""How often daemons read the shared entries from the store."""

from __future__ import annotations

import pytest

from quincespool.policy.polling import backend_entries_interval_ms
from quincespool.policy.polling import configuration_wait_ms
from quincespool.policy.polling import daemon_entries_pause_ms

MIN_SERVED_MS = 2_000
# Beyond its wait, a read of the store that is not answered is given up.
ROUND_TRIP_MS = 700


@pytest.mark.parametrize("daemons", [1, 11, 67, 195, 740, 5_000])
def test_a_leaving_backend_server_is_seen_in_time_at_any_size(daemons: int) -> None:
    """Symptom: with 740 hosts calls reach a backend server five seconds after it begins to leave.

    Cause: the pause between two reads grew with the number of hosts without a limit, to 7.4 s.
    """
    assert backend_entries_interval_ms(400, daemons) < MIN_SERVED_MS


@pytest.mark.parametrize("apply_ms", [1_200, 2_000, 3_000, 15_000])
def test_a_read_that_is_never_answered_is_given_up_in_time(apply_ms: int) -> None:
    """Guards against a configuration that comes late because a connection has fallen silent."""
    assert configuration_wait_ms(apply_ms) + ROUND_TRIP_MS < apply_ms


def test_reads_of_all_daemons_together_grow_slowly() -> None:
    assert backend_entries_interval_ms(400, 10) == 400
    for daemons in (67, 140):
        assert 1_000 * daemons / backend_entries_interval_ms(400, daemons) == 100.0


def _reads_at_a_start(daemons: int, *, pauses: bool) -> int:
    """Returns the reads of one daemon while all start within a second; a read takes 4 ms."""
    reads, now_ms, seen = 0, 0.0, 0
    while seen < daemons:
        entered = int(min(daemons, daemons * now_ms / 1_000))
        if entered > seen:
            reads, seen = reads + 1, entered
            now_ms += 4 + (daemon_entries_pause_ms(seen) if pauses else 0)
        else:
            now_ms += 1
    return reads


def test_a_start_of_all_hosts_does_not_overload_the_store() -> None:
    """Symptom: with 195 hosts the store rejects requests when all restart after a power failure.

    Events: all hosts start within a second, and each adds its entry; the reads of
    all other hosts wait for new entries.
    Cause: each new entry triggered a read by every host.
    """
    assert 195 * _reads_at_a_start(195, pauses=False) > 16_000
    assert 195 * _reads_at_a_start(195, pauses=True) < 5_000
    assert _reads_at_a_start(11, pauses=True) >= _reads_at_a_start(11, pauses=False) - 1


@pytest.mark.parametrize(("daemons", "max_ms"), [(11, 20), (67, 101), (195, 300), (740, 1_000)])
def test_new_daemons_are_seen_soon(daemons: int, max_ms: int) -> None:
    assert daemon_entries_pause_ms(daemons) <= max_ms
