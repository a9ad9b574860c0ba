"""How often entries are read."""

from __future__ import annotations

import pytest

from quincespool.policy.polling import entries_interval_ms

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
