"""Entries that another writer left among those of the backend servers."""

from __future__ import annotations

import msgspec
import pytest

from tests.gateway.gateway_cluster import GatewayCluster
from tests.support.platform_entries import make_backend_entry

BORN_MS = 1_700_000_000_000


def _entry(**changes: object) -> bytes:
    entry = msgspec.json.decode(make_backend_entry("model", "127.0.0.1:9", zone="z"))
    return msgspec.json.encode(entry | changes)


def _with_number(name: str, digits: str) -> bytes:
    return _entry(**{name: "NUMBER"}).replace(b'"NUMBER"', digits.encode())


NESTED = 100_000
ODD_ENTRIES = {
    "nested_arrays": b"[" * NESTED,
    "nested_objects": b'{"a":' * NESTED,
    "nested_field": _with_number("more", "[" * NESTED + "]" * NESTED),
    "many_slots": _with_number("slots", "9" * 400),
    "large_exponent": _with_number("cold_remaining_ms", "1e400"),
    "large_sequence": _with_number("sequence", "9" * 5_000),
    "born_too_late": _with_number("born", "9" * 400),
    "port_out_of_range": _entry(address="127.0.0.1:99999"),
    "port_of_many_digits": _entry(address="127.0.0.1:" + "9" * 5_000),
    "negative_port": _entry(address="127.0.0.1:-1"),
}


@pytest.mark.parametrize("case", ODD_ENTRIES)
async def test_an_odd_entry_is_not_used_and_later_ones_are_followed(case: str) -> None:
    """Guards against daemons that end, or stop following the list, because of one entry."""
    async with GatewayCluster(1) as cluster:
        daemon = cluster.nodes["a"].daemon
        entries = daemon._backends.entries
        cluster.state.put("keyed.servers", "e1", ODD_ENTRIES[case])
        cluster.state.put("keyed.servers", "odd", ODD_ENTRIES[case])
        cluster.state.put("keyed.servers", "e3", _entry())
        await cluster.until(lambda: "e3" in entries)
        assert not {"e1", "odd"} & set(entries)
        assert cluster.nodes["a"].daemon._is_ready()

        cluster.state.put("keyed.servers", "e3", None)
        address = cluster.engines["e1"].address
        own = msgspec.json.decode(make_backend_entry("model", address, zone="z"))
        cluster.state.put("keyed.servers", "e1", msgspec.json.encode(own | {"born": BORN_MS}))
        await cluster.until(lambda: "e1" in entries and "e3" not in entries)
        assert (await cluster.turn("a", "p"))[1].status == 200


@pytest.mark.parametrize("case", ODD_ENTRIES)
async def test_a_daemon_starts_beside_an_odd_entry(case: str) -> None:
    """Guards against daemons that can't start any more while one entry is in the list."""
    cluster = GatewayCluster(1)
    cluster.state.put("keyed.servers", "odd", ODD_ENTRIES[case])
    async with cluster:
        assert (await cluster.turn("a", "p"))[1].status == 200
