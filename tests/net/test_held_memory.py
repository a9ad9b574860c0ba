"""Which connections are shed when too much is held, and which requests are admitted."""

from __future__ import annotations

from quincespool.net.held_memory import LARGE_REQUEST_BYTES
from quincespool.net.held_memory import HeldMemory

LIMIT_BYTES = 10 * LARGE_REQUEST_BYTES
SMALL_BYTES = LARGE_REQUEST_BYTES // 10


class _Holder:
    def __init__(self, memory: HeldMemory) -> None:
        self.measured_bytes = 0
        self.is_shed = False
        self._memory = memory

    def hold(self, held_bytes: int, *, measured_bytes: int | None = None) -> None:
        self.measured_bytes = held_bytes if measured_bytes is None else measured_bytes
        self._memory.update(self, held_bytes)

    def measure_held(self) -> int:
        return self.measured_bytes

    def shed(self) -> None:
        self.is_shed = True
        # As a connection does whose refusal is written.
        self.hold(1)


def test_the_connections_that_hold_most_are_shed() -> None:
    memory = HeldMemory(LIMIT_BYTES)
    large, small, last = _Holder(memory), _Holder(memory), _Holder(memory)
    large.hold(LIMIT_BYTES * 6 // 10)
    small.hold(LIMIT_BYTES // 10)
    last.hold(LIMIT_BYTES * 5 // 10)

    assert [large.is_shed, small.is_shed, last.is_shed] == [True, False, False]
    assert memory.held_bytes <= LIMIT_BYTES
    assert memory.shed_connections == 1


def test_estimates_alone_shed_nobody() -> None:
    """Guards against callers that lose their connections for answers that they have read."""
    memory = HeldMemory(LIMIT_BYTES)
    holders = [_Holder(memory) for _ in range(5)]
    for one in holders:
        one.hold(LIMIT_BYTES // 3, measured_bytes=1)

    assert not any(one.is_shed for one in holders)


def test_requests_under_way_leave_less_room_for_the_rest() -> None:
    memory = HeldMemory(LIMIT_BYTES)
    holder = _Holder(memory)
    holder.hold(LIMIT_BYTES // 2)
    assert not holder.is_shed

    assert memory.reserve(LIMIT_BYTES * 7 // 10)

    assert holder.is_shed
    memory.discard(holder)
    memory.release(LIMIT_BYTES * 7 // 10)
    assert memory.held_bytes == 0


def test_a_single_request_is_admitted_whatever_its_size() -> None:
    """Guards against a limit that a caller meets who keeps those of the pages."""
    memory = HeldMemory(LIMIT_BYTES)

    assert memory.reserve(2 * LIMIT_BYTES)
    assert not memory.reserve(SMALL_BYTES)


def test_large_requests_leave_room_for_small_ones() -> None:
    memory = HeldMemory(LIMIT_BYTES)
    large_bytes = 3 * LARGE_REQUEST_BYTES
    assert memory.reserve(large_bytes)

    assert not memory.reserve(large_bytes)
    assert memory.reserve(SMALL_BYTES)
    memory.release(large_bytes)
    assert memory.reserve(large_bytes)
