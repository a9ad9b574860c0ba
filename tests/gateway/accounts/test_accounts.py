"""Accounts, their keys, and the separation of the programs of different accounts."""

from __future__ import annotations

import re

import msgspec
import pytest

from quincespool.gateway.model import digest_key
from quincespool.gateway.model import scoped_program
from quincespool.gateway.store.configuration_copies import read_configuration_copy
from quincespool.gateway.store.configuration_copies import write_configuration_copy
from quincespool.gateway.turns.ledger import Ledger
from quincespool.gateway.turns.records import TurnEnded
from quincespool.platform.entries import read_configuration
from tests.gateway.gateway_cluster import GatewayCluster
from tests.support.platform_entries import make_configuration

KEYS = {"north": ["key-north"], "south": ["key-south", "key-second"]}


def _accounts(**keys: list[str]) -> list[dict[str, object]]:
    return [{"name": name, "api_keys": some} for name, some in (keys or KEYS).items()]


async def _wait_for(cluster: GatewayCluster, version: int) -> None:
    daemons = [node.daemon for node in cluster.nodes.values()]
    await cluster.until(lambda: all(one._routes.version == version for one in daemons))


async def test_a_backend_server_gets_the_account_of_the_key() -> None:
    async with GatewayCluster() as cluster:
        cluster.configure(2, accounts=_accounts())
        await _wait_for(cluster, 2)
        for node in "ab":
            call_id, reply = await cluster.turn(node, "p1", key="key-second")
            assert reply.status == 200
            run = next(run for run in cluster.all_runs() if run.call_id == call_id)
            assert run.headers["tenant-id"] == "south"
            assert "key-second" not in repr(run.headers)
        assert (await cluster.call("a", "idempotent", key="key-north")).status == 200


async def test_a_call_without_a_known_key_runs_nowhere() -> None:
    async with GatewayCluster() as cluster:
        cluster.configure(2, accounts=_accounts())
        await _wait_for(cluster, 2)
        for key in ("", "key-nobody"):
            _, reply = await cluster.turn("a", "p1", key=key)
            assert reply.status == 401
            assert (await cluster.call("b", "non_idempotent", key=key)).status == 401
        assert cluster.all_runs() == []


async def test_a_turn_of_another_account_is_not_found() -> None:
    """An engine must not read the history of another account's program.

    Two accounts have programs with the same id; one names a turn of the other, with that program id
    or another one. The fault occurs if programs and turns are looked up only by the ids that
    callers choose.
    """
    async with GatewayCluster() as cluster:
        cluster.configure(2, accounts=_accounts())
        await _wait_for(cluster, 2)
        first, _ = await cluster.turn("a", "p1", key="key-north", body=b"secret")
        for node in "ab":
            for program in ("p1", "p2"):
                call_id, reply = await cluster.turn(node, program, previous=first, key="key-south")
                assert reply.status == 404
                assert cluster.runs(call_id) == []

        call_id, reply = await cluster.turn("b", "p1", previous=first, key="key-north")
        assert reply.status == 200
        assert cluster.runs(call_id)[0].startswith(b"secret")


async def test_the_same_program_id_at_two_accounts_is_two_programs() -> None:
    async with GatewayCluster() as cluster:
        cluster.configure(2, accounts=_accounts())
        await _wait_for(cluster, 2)
        statuses = [
            (await cluster.turn("a", "p1", budget=30, max_tokens=30, key=key))[1].status
            for key in ("key-north", "key-south", "key-north")
        ]
        assert statuses == [200, 200, 402]


async def test_a_turn_of_another_account_is_detected_without_the_store() -> None:
    """Turns that name a turn of another account must cause no calls to the store.

    The fault occurs if the answer that another account has the turn is not treated as final: all
    owners then check with the store, which costs a round of all partitions for each such turn.
    """
    async with GatewayCluster() as cluster:
        cluster.configure(2, accounts=_accounts())
        await _wait_for(cluster, 2)
        first, _ = await cluster.turn("a", "p1", key="key-north")
        appends = _appends(cluster)
        assert appends > 0
        _, reply = await cluster.turn("b", "p2", previous=first, key="key-south")
        assert reply.status == 404
        assert _appends(cluster) == appends


def test_an_id_that_two_accounts_chose_is_separate_at_each() -> None:
    ledger = Ledger()
    for account in ("north", "south"):
        program = scoped_program(account, "p")
        ledger.apply(TurnEnded("t", program, "", b"", b"", 0, 1_000, 0))

    assert ledger.find("t", "north") == "north p"
    assert ledger.find("t", "south") == "south p"
    assert ledger.is_foreign("t", "west")
    assert not ledger.is_foreign("t", "north")
    assert not ledger.is_foreign("unknown", "west")
    ledger.expire(10_000, grace_ms=0)
    assert not ledger.is_foreign("t", "west")


async def test_a_removed_key_is_refused_at_a_host_that_the_store_refuses() -> None:
    """A key that was removed must not be accepted any longer at some hosts.

    The store refuses a host, and operators remove a key in the meantime. The fault occurs if the
    host can't read the configuration, and no other daemon sends it a copy.
    """
    async with GatewayCluster() as cluster:
        cluster.configure(2, accounts=_accounts())
        await _wait_for(cluster, 2)
        await cluster.start_store_outage("a")
        cluster.configure(3, accounts=_accounts(south=["key-south"]))
        await _wait_for(cluster, 3)
        assert (await cluster.call("a", "idempotent", key="key-second")).status == 401
        assert (await cluster.call("a", "idempotent", key="key-south")).status == 200


async def test_a_copy_never_replaces_a_newer_configuration() -> None:
    async with GatewayCluster(1) as cluster:
        cluster.configure(3, accounts=_accounts())
        await _wait_for(cluster, 3)
        older = read_configuration(make_configuration(2, accounts=_accounts()))
        beliefs = cluster.nodes["a"].daemon._cluster_view
        beliefs.adopt_copy(older, "b")
        assert beliefs.configuration_version == 3


def test_a_copy_holds_the_complete_configuration_and_no_key() -> None:
    configuration = read_configuration(make_configuration(2, accounts=_accounts()))
    data = write_configuration_copy(configuration)

    assert read_configuration_copy(data) == configuration
    assert b"key-north" not in data
    assert digest_key("key-north").encode() in data
    for damaged in (data[:-1], b"", msgspec.msgpack.encode([1, 2])):
        with pytest.raises(msgspec.MsgspecError):
            read_configuration_copy(damaged)


def _appends(cluster: GatewayCluster) -> int:
    """Returns how many appends the daemons have sent."""
    texts = [node.daemon._metrics.render()[0].decode() for node in cluster.nodes.values()]
    counts = [re.findall(r'store_calls_total{path="/log-append".*} (\d+)', text) for text in texts]
    return sum(int(count) for one in counts for count in one)


async def test_an_id_that_another_account_used_too_is_not_denied_while_its_owner_is_away() -> None:
    async with GatewayCluster() as cluster:
        cluster.configure(2, accounts=_accounts())
        await _wait_for(cluster, 2)
        north, south = _program(cluster, "b", "north"), _program(cluster, "a", "south")
        for key, program in (("key-north", north), ("key-south", south)):
            _, reply = await cluster.turn("a", program, key=key, call_id="t")
            assert reply.status == 200
        await cluster.crash_node("b")
        onward = _program(cluster, "a", "north")
        _, reply = await cluster.turn("a", onward, previous="t", key="key-north")
        assert reply.status != 404


def _program(cluster: GatewayCluster, node: str, account: str) -> str:
    """Returns the id of a program of an account whose partition a daemon owns."""
    daemon = cluster.nodes[node].daemon
    partition_for, owned = daemon._program_components.relay._partition_for, daemon._ownership.owned
    ids = (f"p{number}" for number in range(200))
    return next(one for one in ids if partition_for(scoped_program(account, one)) in owned)
