"""Which connection makes room for a new one."""

from __future__ import annotations

from quincespool.net.connection_table import MAX_EXAMINED
from quincespool.net.connection_table import ConnectionTable


class _Connection:
    def __init__(self, *, is_evictable: bool = True) -> None:
        self.is_evictable = is_evictable
        self.is_evicted = False

    def evict(self) -> None:
        self.is_evicted = True


def test_a_connection_without_a_request_makes_room_first() -> None:
    table: ConnectionTable[_Connection] = ConnectionTable(3)
    used, unused, newer = _Connection(), _Connection(), _Connection()
    assert all(table.add(one) for one in (used, unused, newer))
    table.record_use(used)

    assert table.add(_Connection())

    assert [one.is_evicted for one in (used, unused, newer)] == [False, True, False]
    assert len(table) == 3


def test_then_the_connection_that_is_idle_for_longest() -> None:
    table: ConnectionTable[_Connection] = ConnectionTable(2)
    first, second = _Connection(), _Connection()
    for one in (first, second, first):
        assert one in list(table) or table.add(one)
        table.record_use(one)

    assert table.add(_Connection())

    assert [first.is_evicted, second.is_evicted] == [False, True]


def test_a_connection_in_use_makes_no_room() -> None:
    """Guards against requests under way that lose their connection to a crowd."""
    table: ConnectionTable[_Connection] = ConnectionTable(MAX_EXAMINED)
    busy = [_Connection(is_evictable=False) for _ in range(MAX_EXAMINED)]
    assert all(table.add(one) for one in busy)

    assert not table.add(_Connection())

    assert not any(one.is_evicted for one in busy)
    table.discard(busy[0])
    assert table.add(_Connection())
