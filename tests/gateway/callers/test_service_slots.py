"""The bound on the calls of each service."""

from __future__ import annotations

from quincespool.gateway.callers.service_slots import ServiceSlots


def test_a_full_service_leaves_room_for_the_others() -> None:
    """Guards against calls to a service that hangs taking the place of all others."""
    slots = ServiceSlots(1)

    with slots.occupied("hangs"):
        assert not slots.has_room("hangs")
        assert slots.has_room("other")

    assert slots.has_room("hangs")
