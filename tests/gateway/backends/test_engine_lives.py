"""Backend servers that restart with the same id, and entries that other writers write."""

from __future__ import annotations

import asyncio
import contextlib

import pytest

from quincespool.gateway.model import BackendIncarnation
from tests.gateway.gateway_cluster import GatewayCluster
from tests.support.client import ConnectionLostError
from tests.support.platform_entries import make_backend_entry

# Long enough that nothing but the tested behaviour can end a turn.
SILENT_GAP_MS = 20_000


def _put_entry(cluster: GatewayCluster, key: str, *, born_ms: int | None = None) -> None:
    engine = cluster.engines[key]
    entry = make_backend_entry("model", engine.address, zone="z", born_ms=born_ms)
    cluster.state.put("keyed.servers", engine.backend_id, entry)


async def test_a_turn_at_an_ended_incarnation_ends_at_once_and_is_not_sent_again() -> None:
    """A caller must not wait until its own deadline for an engine that has restarted.

    An engine loses power with a turn in progress; its connection stays open and nothing is received
    on it; the engine starts again with the same id. The fault occurs if the connection is treated
    as a connection to the new process.
    """
    async with GatewayCluster(1) as cluster:
        del cluster.engines["e2"]
        cluster.state.put("keyed.servers", "e2", None)
        _put_entry(cluster, "e1", born_ms=1_000)
        backends = cluster.nodes["a"].daemon._backends
        await cluster.until(lambda: set(backends.entries) == {"e1", "s1"})
        await cluster.until(lambda: backends.entries["e1"].born_ms == 1_000)
        cluster.engines["e1"].knobs.gap_ms = SILENT_GAP_MS
        turn = asyncio.create_task(cluster.turn("a", "p1", call_id="t1", deadline_ms=30_000))
        await cluster.until(lambda: cluster.runs("t1"))

        _put_entry(cluster, "e1", born_ms=2_000)
        async with asyncio.timeout(2.0):
            with contextlib.suppress(ConnectionLostError):
                _, reply = await turn
                assert reply.status == 502
        assert len(cluster.runs("t1")) == 1
        assert backends.entries["e1"].incarnation == BackendIncarnation("e1", 2_000)
        cluster.engines["e1"].knobs.gap_ms = 1
        _, reply = await cluster.turn("a", "p1")
        assert reply.status == 200


@pytest.mark.parametrize(
    "value", [b"\xff\xfe", b"{}", b"[1]", b'{"service":"model","address":"127.0.0.1:1"}']
)
async def test_an_entry_of_another_writer_names_no_backend_server(value: bytes) -> None:
    """Calls must not be sent to a backend server whose entry was overwritten.

    Another writer stores a value that can't be read under the key of a backend server. The fault
    occurs if the previous entry is still considered valid.
    """
    async with GatewayCluster(1) as cluster:
        backends = cluster.nodes["a"].daemon._backends
        cluster.state.put("keyed.servers", "e1", value)
        cluster.state.put("keyed.servers", "nobody", value)
        await cluster.until(lambda: "e1" not in backends.entries)
        assert set(backends.entries) == {"e2", "s1"}
        _, reply = await cluster.turn("a", "p1")
        assert reply.status == 200

        _put_entry(cluster, "e1")
        await cluster.until(lambda: "e1" in backends.entries)


async def test_a_key_that_is_not_text_does_not_stop_entries_from_being_followed() -> None:
    async with GatewayCluster(1) as cluster:
        backends = cluster.nodes["a"].daemon._backends
        records = cluster.state.partition("keyed.servers", 0).records
        records += [b"", b"\x02\xff\xfe{}", b"\x09short"]
        cluster.state.put("keyed.servers", "e2", None)
        await cluster.until(lambda: "e2" not in backends.entries)
