"""Limits of accounts over several daemons, with real sockets."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from quincespool.gateway.accounts.limits import ANSWER_LIMIT_MS
from quincespool.gateway.accounts.limits import MUTE_MS
from quincespool.gateway.members.messages import PermitQuestion
from quincespool.gateway.model import Daemon
from quincespool.limits.home import FIRST_CALLS
from quincespool.limits.home import Term
from tests.gateway.gateway_cluster import GatewayCluster

if TYPE_CHECKING:
    from quincespool.gateway.accounts.limits import AccountLimits
    from tests.support.client import Reply

BURST = 20


def _accounts(*, rate_per_s: float, burst: int = BURST) -> list[dict[str, object]]:
    limited = {"name": "north", "api_keys": ["k"], "rate_per_s": rate_per_s, "burst": burst}
    return [limited, {"name": "south", "api_keys": ["free"]}]


async def _configure(
    cluster: GatewayCluster, version: int, *, rate_per_s: float, burst: int = BURST
) -> None:
    """Puts a limit in force at daemons that have been homes for a minute."""
    cluster.configure(version, accounts=_accounts(rate_per_s=rate_per_s, burst=burst))
    daemons = [node.daemon for node in cluster.nodes.values()]
    await cluster.until(lambda: all(one._routes.version == version for one in daemons))
    for daemon in daemons:
        for owned in daemon._ownership.owned.values():
            owned.since_ms -= 60_000


def _limits(cluster: GatewayCluster, name: str) -> AccountLimits:
    return cluster.nodes[name].daemon._program_components.limits


def _home(cluster: GatewayCluster) -> str:
    """Returns the daemon that is the home of the limited account."""
    return next(
        name for name in cluster.nodes if isinstance(_limits(cluster, name)._home_of("north"), Term)
    )


async def _calls(cluster: GatewayCluster, nodes: str, count: int, *, key: str = "k") -> list[Reply]:
    """Sends plain calls one after the other, to the daemons in turn."""
    return [
        await cluster.call(nodes[number % len(nodes)], "idempotent", key=key)
        for number in range(count)
    ]


def _gone(member_id: str) -> Daemon:
    """Returns the entry of a daemon that is not there."""
    return Daemon(member_id, 1, "z", "127.0.0.1:9", "127.0.0.1:9")


def _served(replies: list[Reply]) -> int:
    return sum(reply.status == 200 for reply in replies)


async def test_all_daemons_together_keep_one_limit() -> None:
    """Symptom: an account gets its limit once at each daemon.

    Events: its calls come to all daemons alike.
    Cause: each one knew only of its own.
    """
    async with GatewayCluster(3) as cluster:
        await _configure(cluster, 2, rate_per_s=0.1)
        replies = await _calls(cluster, "abc", BURST + 6)

        assert _served(replies) == BURST
        refused = [reply for reply in replies if reply.status != 200]
        assert {reply.status for reply in refused} == {429}
        assert all(float(reply.headers["retry-after"]) > 1 for reply in refused)
        assert len(cluster.all_runs()) == BURST
        assert _served(await _calls(cluster, "abc", 6, key="free")) == 6


async def test_a_call_that_no_backend_server_ran_costs_nothing() -> None:
    async with GatewayCluster() as cluster:
        await _configure(cluster, 2, rate_per_s=0.1)
        cluster.engines["s1"].knobs.full = True
        replies = await _calls(cluster, "ab", 12)
        assert {reply.status for reply in replies} == {503}

        cluster.engines["s1"].knobs.full = False
        assert _served(await _calls(cluster, "ab", BURST + 6)) == BURST


async def test_turns_and_calls_of_programs_count_alike() -> None:
    async with GatewayCluster() as cluster:
        await _configure(cluster, 2, rate_per_s=0.1, burst=5)
        first, reply = await cluster.turn("a", "p", key="k")
        assert reply.status == 200
        for number in range(2):
            assert (await cluster.call("b", "idempotent", key="k", program_id="p")).status == 200
            first, reply = await cluster.turn("ab"[number], "p", previous=first, key="k")
            assert reply.status == 200
        _, reply = await cluster.turn("a", "p", previous=first, key="k")
        assert reply.status == 429


async def test_a_home_that_dies_is_followed_by_one_that_starts_low() -> None:
    """Symptom: an account gets twice its limit when a host dies.

    Events: it has used its limit up; its home dies, and another daemon becomes it.
    Cause: the new one gave out a whole burst.
    """
    async with GatewayCluster(3) as cluster:
        await _configure(cluster, 2, rate_per_s=0.1)
        assert _served(await _calls(cluster, "abc", BURST + 2)) == BURST
        await cluster.crash_node(_home(cluster))
        left = "".join(cluster.nodes)
        assert _served(await _calls(cluster, left, 8)) <= FIRST_CALLS
        await cluster.until(cluster.is_settled)
        assert _served(await _calls(cluster, left, 8)) <= FIRST_CALLS


async def test_a_home_that_does_not_answer_holds_nobody_up() -> None:
    """Symptom: calls of some accounts wait until they are late, though engines are idle.

    Events: a host freezes; the accounts whose home it is are far below their limit.
    Cause: each call waits for an answer that does not come.
    """
    async with GatewayCluster(2) as cluster:
        await _configure(cluster, 2, rate_per_s=100)
        home = _home(cluster)
        other = "b" if home == "a" else "a"
        _limits(cluster, home).on_message = lambda *_: None  # type: ignore[method-assign]
        began_s = asyncio.get_running_loop().time()
        replies = await _calls(cluster, other, 4)
        took_ms = (asyncio.get_running_loop().time() - began_s) * 1000

        assert replies[0].status == 200
        assert {reply.status for reply in replies} <= {200, 503}
        # One waited for the answer; the others did not, as long as the home counts as mute.
        assert took_ms < MUTE_MS + ANSWER_LIMIT_MS


async def test_only_a_call_that_was_counted_is_given_back() -> None:
    """Symptom: an account gets more than its limit around a freeze of its home.

    Events: the home does not answer; calls go through without it and are refused by full backend
    servers; the home wakes.
    Cause: what it had never counted was given back to it.
    """
    async with GatewayCluster(2) as cluster:
        await _configure(cluster, 2, rate_per_s=100)
        cluster.engines["s1"].knobs.full = True
        home = _home(cluster)
        heard: list[object] = []
        frozen = _limits(cluster, home)
        frozen.on_message = lambda *args: heard.append(args[1])  # type: ignore[method-assign]
        await _calls(cluster, "b" if home == "a" else "a", 3)
        await asyncio.sleep(0.1)
        assert [type(message) for message in heard] == [PermitQuestion]


async def test_a_call_whose_caller_leaves_while_it_waits_is_given_back() -> None:
    """Callers that lose patience would use up what their account may have run."""
    async with GatewayCluster(2) as cluster:
        await _configure(cluster, 2, rate_per_s=10, burst=1)
        home = _home(cluster)
        limits = _limits(cluster, home)
        await _calls(cluster, home, 1)
        before = limits.dump()["north"]
        waiting = asyncio.create_task(cluster.call(home, "idempotent", key="k"))
        await cluster.until(lambda: limits.dump()["north"] < before)
        waiting.cancel()
        await cluster.until(lambda: limits.dump()["north"] >= before)
        assert len(cluster.all_runs()) == 1


async def test_the_owner_of_a_program_knows_that_its_account_has_used_most_of_its_limit() -> None:
    """Where engines are full, such an account leaves its places to others first."""
    async with GatewayCluster(2) as cluster:
        await _configure(cluster, 2, rate_per_s=0.1)
        told: list[bool] = []
        for node in cluster.nodes.values():
            admission = node.daemon._program_components.admission
            admission.refuse = lambda _, terms, __: told.append(terms.is_near_limit)  # type: ignore[assignment,method-assign]
        await cluster.turn("a", "north-1", key="k")
        await _calls(cluster, "ab", BURST - 8)
        await cluster.turn("a", "north-1", key="k")
        await cluster.turn("a", "south-1", key="free")
        assert told == [False, True, False]


async def test_hosts_that_are_cut_off_give_out_a_part_only() -> None:
    """Symptom: an account passes its limit while some hosts are cut off from the others.

    Events: hosts hear nobody any more, but callers and backend servers reach them.
    Cause: each one acted as the home of all accounts, with a whole rate to give out.
    """
    async with GatewayCluster(3) as cluster:
        await _configure(cluster, 2, rate_per_s=0.1)
        cut_off = cluster.nodes["a"].daemon
        for one in list(cut_off._ownership.owned.values()):
            one.lose("test")
        cut_off._ownership._wanted = False
        for peer in ("b", "c"):
            cut_off._members.remove(peer)
            cut_off._members.put(_gone(peer), -1_000_000)
        assert _limits(cluster, "a")._home_of("north") is None
        # One, and the daemon's part of the rate.
        replies = await _calls(cluster, "a", 5)
        assert _served(replies) == 1
        assert {reply.status for reply in replies} == {200, 503}


async def test_a_limit_that_is_lowered_holds_at_once() -> None:
    async with GatewayCluster() as cluster:
        await _configure(cluster, 2, rate_per_s=1_000)
        await asyncio.sleep(0.1)
        assert _served(await _calls(cluster, "ab", 10)) == 10
        cluster.configure(3, accounts=_accounts(rate_per_s=0.1, burst=3))
        daemons = [node.daemon for node in cluster.nodes.values()]
        await cluster.until(lambda: all(one._routes.version == 3 for one in daemons))
        assert _served(await _calls(cluster, "ab", 10)) <= 3


async def test_levels_are_in_the_dump() -> None:
    async with GatewayCluster() as cluster:
        await _configure(cluster, 2, rate_per_s=0.1)
        await _calls(cluster, "ab", 1)
        levels = cluster.nodes[_home(cluster)].daemon._dump()["account_levels"]
        assert isinstance(levels, dict)
        assert BURST - 1 <= levels["north"] < BURST
