"""How a daemon detects that the store is full, or has room again."""

from __future__ import annotations

from quincespool.gateway.decision_log import DecisionLog
from quincespool.gateway.store.store_health import FULL_STATUS_HOLD_MS
from quincespool.gateway.store.store_health import StoreHealth


def test_a_store_stays_full_for_a_while_although_it_answers_other_requests() -> None:
    at_ms = 0
    health = StoreHealth(DecisionLog(lambda: 0.0), lambda: at_ms, on_recovery=lambda: None)
    health.record_status("507")
    health.record_status("200")
    assert health.full
    assert health.reachable
    at_ms = FULL_STATUS_HOLD_MS
    health.record_status("200")
    assert not health.full
