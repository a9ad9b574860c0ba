"""Limits of accounts over several daemons, with real sockets."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from quincespool.gateway.accounts.limits import ANSWER_TIMEOUT_MS
from quincespool.gateway.accounts.limits import UNANSWERED_PAUSE_MS
from quincespool.gateway.members.messages import PermitQuestion
from quincespool.gateway.model import Daemon
from quincespool.limits.account_limiter import INITIAL_CALLS
from quincespool.limits.account_limiter import LimiterTerm
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
    """Sets a limit at daemons that have been limiters for a minute."""
    cluster.configure(version, accounts=_accounts(rate_per_s=rate_per_s, burst=burst))
    daemons = [node.daemon for node in cluster.nodes.values()]
    await cluster.until(lambda: all(one._routes.version == version for one in daemons))
    for daemon in daemons:
        for owned in daemon._ownership.owned.values():
            owned.since_ms -= 60_000


def _limits(cluster: GatewayCluster, name: str) -> AccountLimits:
    return cluster.nodes[name].daemon._program_components.limits


def _limiter_name(cluster: GatewayCluster) -> str:
    """Returns the daemon that is the limiter of the limited account."""
    return next(
        name
        for name in cluster.nodes
        if isinstance(_limits(cluster, name)._limiter_of("north"), LimiterTerm)
    )


async def _calls(cluster: GatewayCluster, nodes: str, count: int, *, key: str = "k") -> list[Reply]:
    """Sends plain calls in sequence, to the daemons in rotation."""
    return [
        await cluster.call(nodes[number % len(nodes)], "idempotent", key=key)
        for number in range(count)
    ]


def _stopped_daemon(member_id: str) -> Daemon:
    """Returns the entry of a daemon that does not run."""
    return Daemon(member_id, 1, "z", "127.0.0.1:9", "127.0.0.1:9")


def _served(replies: list[Reply]) -> int:
    return sum(reply.status == 200 for reply in replies)


async def test_all_daemons_together_enforce_one_limit() -> None:
    """An account must not get its full limit at each daemon.

    Its calls are spread over all daemons. The fault occurs if each daemon knows only its own calls.
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


async def test_after_a_limiter_crashed_the_next_one_starts_with_the_initial_calls() -> None:
    """An account must not get twice its limit when a host crashes.

    The account has used up its limit; its limiter crashes, and another daemon becomes the limiter.
    The fault occurs if the new limiter allows a full burst.
    """
    async with GatewayCluster(3) as cluster:
        await _configure(cluster, 2, rate_per_s=0.1)
        assert _served(await _calls(cluster, "abc", BURST + 2)) == BURST
        await cluster.crash_node(_limiter_name(cluster))
        remaining = "".join(cluster.nodes)
        assert _served(await _calls(cluster, remaining, 8)) <= INITIAL_CALLS
        await cluster.until(cluster.is_settled)
        assert _served(await _calls(cluster, remaining, 8)) <= INITIAL_CALLS


async def test_a_limiter_that_does_not_answer_delays_no_calls() -> None:
    """Calls of some accounts must not wait past their deadline while engines are idle.

    A host freezes that is the limiter of accounts far below their limit. The fault occurs if each
    call waits for an answer that does not arrive.
    """
    async with GatewayCluster(2) as cluster:
        await _configure(cluster, 2, rate_per_s=100)
        limiter_name = _limiter_name(cluster)
        other = "b" if limiter_name == "a" else "a"
        _limits(cluster, limiter_name).on_message = lambda *_: None  # type: ignore[method-assign]
        began_s = asyncio.get_running_loop().time()
        replies = await _calls(cluster, other, 4)
        took_ms = (asyncio.get_running_loop().time() - began_s) * 1000

        assert replies[0].status == 200
        assert {reply.status for reply in replies} <= {200, 503}
        # Only one call waited for the answer: requests to the limiter were paused after it.
        assert took_ms < UNANSWERED_PAUSE_MS + ANSWER_TIMEOUT_MS


async def test_only_a_call_that_was_counted_is_returned() -> None:
    """An account must not exceed its limit around a freeze of its limiter.

    The limiter does not answer; calls are allowed without it and refused by full backend servers;
    the limiter resumes. The fault occurs if calls are returned to it that it has never counted.
    """
    async with GatewayCluster(2) as cluster:
        await _configure(cluster, 2, rate_per_s=100)
        cluster.engines["s1"].knobs.full = True
        limiter_name = _limiter_name(cluster)
        received: list[object] = []
        frozen = _limits(cluster, limiter_name)
        frozen.on_message = lambda *args: received.append(args[1])  # type: ignore[method-assign]
        await _calls(cluster, "b" if limiter_name == "a" else "a", 3)
        await asyncio.sleep(0.1)
        assert [type(message) for message in received] == [PermitQuestion]


async def test_a_waiting_call_whose_caller_disconnects_is_returned() -> None:
    """Callers that time out while their calls wait must not use up their account's limit."""
    async with GatewayCluster(2) as cluster:
        await _configure(cluster, 2, rate_per_s=10, burst=1)
        limiter_name = _limiter_name(cluster)
        limits = _limits(cluster, limiter_name)
        await _calls(cluster, limiter_name, 1)
        before = limits.dump()["north"]
        waiting = asyncio.create_task(cluster.call(limiter_name, "idempotent", key="k"))
        await cluster.until(lambda: limits.dump()["north"] < before)
        waiting.cancel()
        await cluster.until(lambda: limits.dump()["north"] >= before)
        assert len(cluster.all_runs()) == 1


async def test_the_owner_of_a_program_knows_that_its_account_has_used_most_of_its_limit() -> None:
    """At full engines, calls of an account near its limit are refused before other calls."""
    async with GatewayCluster(2) as cluster:
        await _configure(cluster, 2, rate_per_s=0.1)
        near_limit: list[bool] = []
        for node in cluster.nodes.values():
            admission = node.daemon._program_components.admission
            admission.refuse = lambda _, terms, __: near_limit.append(terms.is_near_limit)  # type: ignore[assignment,method-assign]
        await cluster.turn("a", "north-1", key="k")
        await _calls(cluster, "ab", BURST - 8)
        await cluster.turn("a", "north-1", key="k")
        await cluster.turn("a", "south-1", key="free")
        assert near_limit == [False, True, False]


async def test_hosts_that_are_cut_off_allow_only_a_share() -> None:
    """An account must not exceed its limit while some hosts are cut off from the others.

    Hosts receive no heartbeats, but callers and backend servers reach them. The fault occurs if
    each one acts as the limiter of all accounts and allows the full rate.
    """
    async with GatewayCluster(3) as cluster:
        await _configure(cluster, 2, rate_per_s=0.1)
        cut_off = cluster.nodes["a"].daemon
        for one in list(cut_off._ownership.owned.values()):
            one.mark_lost("test")
        cut_off._ownership._is_joining = False
        for peer in ("b", "c"):
            cut_off._members.remove(peer)
            cut_off._members.put(_stopped_daemon(peer), -1_000_000)
        assert _limits(cluster, "a")._limiter_of("north") is None
        # The daemon allows one call at once, and further calls at its share of the rate.
        replies = await _calls(cluster, "a", 5)
        assert _served(replies) == 1
        assert {reply.status for reply in replies} == {200, 503}


async def test_a_lowered_limit_is_in_force_at_once() -> None:
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
        levels = cluster.nodes[_limiter_name(cluster)].daemon._dump()["account_levels"]
        assert isinstance(levels, dict)
        assert BURST - 1 <= levels["north"] < BURST
