"""Which connection makes room for a new one."""

from __future__ import annotations

from quincespool.net.connection_table import ConnectionTable


class _Connection:
    def __init__(self) -> None:
        self.is_evicted = False

    def evict(self) -> None:
        self.is_evicted = True


def _table(*connections: _Connection) -> ConnectionTable[_Connection]:
    table: ConnectionTable[_Connection] = ConnectionTable(len(connections))
    assert all(table.add(one) for one in connections)
    return table


def test_a_connection_without_a_request_makes_room_first() -> None:
    used, unused, newer = _Connection(), _Connection(), _Connection()
    table = _table(used, unused, newer)
    table.record_start(used)
    table.record_end(used)

    assert table.add(_Connection())

    assert [one.is_evicted for one in (used, unused, newer)] == [False, True, False]
    assert len(table) == 3


def test_then_the_connection_that_is_idle_for_longest() -> None:
    first, second = _Connection(), _Connection()
    table = _table(first, second)
    for one in (first, second, first):
        table.record_start(one)
        table.record_end(one)

    assert table.add(_Connection())

    assert [first.is_evicted, second.is_evicted] == [False, True]


def test_a_connection_in_use_makes_no_room() -> None:
    """Guards against requests under way that lose their connection to a crowd."""
    busy, also_busy = _Connection(), _Connection()
    table = _table(busy, also_busy)
    table.record_start(busy)
    table.record_start(also_busy)

    assert not table.add(_Connection())

    assert not busy.is_evicted
    table.discard(busy)
    assert table.add(_Connection())


def test_a_connection_that_was_evicted_does_not_come_back() -> None:
    """Guards against a closed connection that takes a place for ever."""
    gone = _Connection()
    table = _table(gone)
    assert table.add(_Connection())

    table.record_start(gone)

    assert gone not in list(table)
