"""Tests of programs that several daemons serve over sockets: histories, budgets, owners."""

from __future__ import annotations

import asyncio
import itertools
from typing import TYPE_CHECKING

import pytest

from quincespool.gateway.clock import now_ms
from quincespool.gateway.model import may_have_run
from quincespool.gateway.turns.turn_records import STORE_UNREACHABLE
from tests.gateway.gateway_cluster import GatewayCluster
from tests.support.client import ConnectionLostError
from tests.support.platform_entries import TOKENS_PER_EVENT

if TYPE_CHECKING:
    from quincespool.gateway.daemon import GatewayDaemon
    from quincespool.gateway.model import Refusal
    from tests.support.client import Reply


async def test_a_turn_is_continued_at_another_daemon() -> None:
    async with GatewayCluster() as cluster:
        first, _ = await cluster.turn("a", "p1", body=b"one|")
        second, reply = await cluster.turn("b", "p1", previous=first, body=b"two|")

        assert reply.status == 200
        outputs = b"".join(f"{first}.{number}\n".encode() for number in (1, 2, 3))
        assert cluster.runs(second) == [b"one|" + outputs + b"two|"]


async def test_a_previous_turn_that_does_not_exist_is_not_found() -> None:
    async with GatewayCluster() as cluster:
        call_id, reply = await cluster.turn("a", "p1", previous="nowhere")

        assert reply.status == 404
        assert cluster.runs(call_id) == []


async def test_a_program_continues_a_turn_of_another_program() -> None:
    """Failure: 404 for a turn that was answered completely, if another program made it.

    A turn is recorded in the partition of the program that made it. When a new program names it as
    its previous turn, looking in the partition of the new program only does not find it.
    """
    async with GatewayCluster() as cluster:
        first, _ = await cluster.turn("a", "old", body=b"one|")
        for number in range(6):
            call_id, reply = await cluster.turn("b", f"new-{number}", previous=first, body=b"two")
            assert reply.status == 200
            assert cluster.runs(call_id)[0].startswith(b"one|" + first.encode())


async def test_parallel_turns_share_one_budget() -> None:
    """Failure: a program spends several times its budget.

    Many turns of one program come at once, before any of them has generated a token. They must be
    admitted against the tokens that are reserved, not only against those that are spent.
    """
    async with GatewayCluster() as cluster:
        turns = [
            cluster.turn("ab"[number % 2], "p1", budget=90, max_tokens=30) for number in range(12)
        ]
        statuses = sorted([reply.status for _, reply in await asyncio.gather(*turns)])

        assert statuses == [200] * 3 + [402] * 9


async def test_a_budget_survives_a_crash_of_the_owner() -> None:
    """Failure: a program that has spent its budget continues after a crash.

    The owner crashes after it has answered turns, and another daemon takes over, which must know
    the spent tokens.
    """
    async with GatewayCluster() as cluster:
        for _ in range(2):
            await cluster.turn("a", "p1", budget=60, max_tokens=3 * TOKENS_PER_EVENT)
        owner = next(name for name in ("a", "b") if _owns(cluster, name, "p1"))
        await cluster.crash_node(owner)
        survivor = "b" if owner == "a" else "a"
        await cluster.until(cluster.is_settled)

        _, reply = await cluster.turn(survivor, "p1", budget=60, max_tokens=3 * TOKENS_PER_EVENT)
        assert reply.status == 402


async def test_a_history_survives_a_crash_of_all_daemons() -> None:
    """Failure: 404 for a turn that was answered completely before a loss of power.

    All daemons crash at once after a turn was answered, and new ones start. The end of an answer
    must not be sent before the record of the turn is durable.
    """
    async with GatewayCluster() as cluster:
        first, _ = await cluster.turn("a", "p1", body=b"one|")
        for name in ("a", "b"):
            await cluster.crash_node(name)
        await cluster.add_node("c")
        await cluster.until(cluster.is_settled)

        _, reply = await cluster.turn("c", "p1", previous=first, body=b"two|")
        assert reply.status == 200


async def test_an_owner_that_the_store_refuses_gives_no_false_answer() -> None:
    """Failure: 404 for a turn that another daemon has just answered.

    The store refuses the requests of one daemon, and its partitions are assigned to another one,
    which answers a turn. The next turn reaches the first daemon, which still has the partitions in
    memory but can't renew its lease.
    """
    async with GatewayCluster() as cluster:
        program = next(f"p{n}" for n in range(100) if _owns(cluster, "a", f"p{n}"))
        cluster.nodes["a"].store.knobs.down = True
        # The assignment alone is not enough: until `b` has read the partitions, it relays turns to
        # the former owner.
        await cluster.until(lambda: _ready_count(cluster, "b") == 8)
        first, reply = await cluster.turn("b", program, body=b"one|")
        assert reply.status == 200

        second, reply = await cluster.turn("a", program, previous=first, body=b"two|")
        assert reply.status == 200
        assert len(cluster.runs(second)) == 1


async def test_a_turn_whose_owner_the_store_refuses_goes_to_the_next_owner() -> None:
    """Failure: programs are delayed by 1.3 s while the store refuses a third of the hosts.

    The store serves the daemon that has the caller's turn, but not the owner of the program. The
    owner refuses the turn until the store is back. If that refusal reaches the caller, it retries
    much later than another daemon owns the partition, which is when the lease expires.
    """
    async with GatewayCluster() as cluster:
        program = next(f"p{n}" for n in range(100) if _owns(cluster, "a", f"p{n}"))
        await cluster.start_store_outage("a")
        async with asyncio.timeout(3):
            while (reply := (await cluster.turn("b", program))[1]).status != 200:
                assert reply.status == 503
                assert float(reply.headers["retry-after"]) <= 0.4
                await asyncio.sleep(float(reply.headers["retry-after"]))


async def test_a_turn_that_may_have_run_is_not_relayed_to_the_next_owner() -> None:
    """Failure: an engine runs a turn again after another engine's run of it was broken off.

    The store refuses the owner's requests while the owner sends the events of a turn. The owner
    breaks the turn off, since the number of tokens that no durable record covers is limited.
    Another daemon becomes the owner. The reason of the refusal is the same whether the turn has run
    or not, so the daemon that has the caller must also check the verdict before it relays the turn
    to the new owner.
    """
    async with GatewayCluster() as cluster:
        program = next(f"p{n}" for n in range(100) if _owns(cluster, "a", f"p{n}"))
        relay = cluster.nodes["b"].daemon._program_components.relay
        relayed: list[object] = []
        owner = cluster.nodes["b"].daemon._members.entries["a"]

        async def refuse_as_may_have_run(*args: object) -> Refusal:
            relayed.append(args)
            return may_have_run(STORE_UNREACHABLE)

        relay._relay_to_owner = refuse_as_may_have_run  # type: ignore[method-assign, assignment]
        epochs = itertools.count(1)
        relay._members.owner = lambda *_: (owner, next(epochs))  # type: ignore[method-assign]
        _, reply = await cluster.turn("b", program)
        assert reply.status == 502
        assert len(relayed) == 1


async def test_a_turn_is_refused_as_not_run_while_the_store_is_unreachable() -> None:
    async with GatewayCluster() as cluster:
        for node in cluster.nodes.values():
            node.store.knobs.down = True
        await asyncio.sleep(1.2)
        call_id, reply = await cluster.turn("a", "p1")

        assert reply.status == 503
        assert float(reply.headers["retry-after"]) > 0
        assert cluster.runs(call_id) == []


@pytest.mark.parametrize("program", ["p1", "p2", "p3"])
async def test_a_stream_that_breaks_off_is_not_ended_as_complete(program: str) -> None:
    async with GatewayCluster() as cluster:
        for engine in ("e1", "e2"):
            cluster.engines[engine].knobs.cut_after = 2
        pieces: list[bytes] = []
        with pytest.raises(ConnectionLostError):
            await cluster.turn("a", program, on_data=pieces.append)

        assert b"".join(pieces).count(b"data:") == 2


async def test_a_turn_is_recorded_once_if_an_answer_of_the_store_is_lost() -> None:
    """Failure: a turn appears twice in the history, or its end is never sent.

    The store does an append, but its answer is lost, and the daemon appends again. The sequence
    number lets the store recognize the second append as a repetition.
    """
    async with GatewayCluster() as cluster:
        for node in cluster.nodes.values():
            node.store.knobs.lose_writes = 2
        first, reply = await cluster.turn("a", "p1", body=b"one|")
        assert reply.status == 200
        second, _ = await cluster.turn("b", "p1", previous=first, body=b"two|")

        assert cluster.runs(second)[0].count(b"one|") == 1


async def test_an_engine_stops_when_the_caller_disconnects() -> None:
    """Failure: engines work on turns whose callers have disconnected.

    A caller closes its connection in the middle of a stream, at a daemon that relays the turn. The
    owner must stop too.
    """
    async with GatewayCluster() as cluster:
        for engine in ("e1", "e2"):
            cluster.engines[engine].knobs.gap_ms = 300
        task = asyncio.create_task(cluster.turn("a", "p1"))
        await cluster.until(lambda: sum(e.under_way for e in cluster.engines.values()) == 1)
        task.cancel()
        await cluster.until(
            lambda: sum(e.under_way for e in cluster.engines.values()) == 0, limit_s=0.5
        )


async def test_a_planned_stop_moves_programs_to_another_daemon() -> None:
    async with GatewayCluster() as cluster:
        first, _ = await cluster.turn("a", "p1", body=b"one|")
        cluster.nodes["a"].daemon.begin_stop()
        await cluster.until(lambda: len(cluster.nodes["b"].owned) == 8, limit_s=1.0)
        _, reply = await cluster.turn("a", "p1", previous=first)
        assert reply.status == 200
        await asyncio.wait_for(cluster.nodes["a"].daemon.stopped.wait(), 3)


def _ready_count(cluster: GatewayCluster, name: str) -> int:
    return sum(one.ready for one in cluster.nodes[name].daemon._ownership.owned.values())


def _owns(cluster: GatewayCluster, name: str, program: str) -> bool:
    daemon = cluster.nodes[name].daemon
    return daemon._program_components.relay._partition_for(program) in daemon._ownership.owned


async def test_the_last_daemon_serves_alone() -> None:
    """Failure: after all other hosts are lost, the last one refuses every turn.

    A daemon that receives nothing from the others gives its partitions up, as it may be cut off
    from them. Only the store can tell that it is the last one.
    """
    async with GatewayCluster(3) as cluster:
        for name in ("a", "b"):
            await cluster.crash_node(name)
        await asyncio.sleep(1.5)
        await cluster.until(cluster.is_settled, limit_s=3)

        for number in range(4):
            _, reply = await cluster.turn("c", f"p{number}")
            assert reply.status == 200


async def test_turns_complete_while_partitions_are_reassigned() -> None:
    """Failure: streams break off, or get status 502, when a host is added.

    A daemon joins and gets some of the partitions while turns are in progress, some of them before
    their first record is durable. Records that the former owner still has to append must not be
    dropped.
    """
    async with GatewayCluster(1) as cluster:
        cluster.nodes["a"].store.knobs.delay_ms = 30
        for engine in ("e1", "e2"):
            cluster.engines[engine].knobs.gap_ms = 150
        programs = [f"p{number}" for number in range(24)]
        turns = [asyncio.create_task(cluster.turn("a", one, body=b"one|")) for one in programs]
        await cluster.add_node("b")
        later_turns = [cluster.turn("a", f"q{number}") for number in range(24)]
        answers = await asyncio.gather(*turns, *later_turns)
        assert [reply.status for _, reply in answers] == [200] * 48
        assert len(cluster.nodes["b"].owned) == 4

        for program, (first, _) in zip(programs, answers, strict=False):
            _, reply = await cluster.turn("b", program, previous=first, body=b"two|")
            assert reply.status == 200


async def test_turns_complete_while_every_owner_stops_at_once() -> None:
    async with GatewayCluster(2) as cluster:
        turns = await _begin_long_turns(cluster, 16)
        for node in cluster.nodes.values():
            node.daemon.begin_stop()
        answers = await asyncio.gather(*turns)
        assert [reply.status for _, reply in answers] == [200] * 16


async def test_turns_complete_if_the_next_owner_stops_before_they_end() -> None:
    async with GatewayCluster(2) as cluster:
        turns = await _begin_long_turns(cluster, 16)
        cluster.nodes["a"].daemon.begin_stop()
        await cluster.until(lambda: _ready_count(cluster, "b") == 8, limit_s=0.5)
        cluster.nodes["b"].daemon.begin_stop()
        closed = asyncio.create_task(_close_when_stopped(cluster.nodes["b"].daemon))
        answers = await asyncio.gather(*turns)
        assert [reply.status for _, reply in answers] == [200] * 16
        await cluster.nodes["a"].daemon.stopped.wait()
        await cluster.nodes["a"].daemon.close()
        await asyncio.wait_for(closed, 2)


async def test_an_owner_that_stops_accepts_no_turn_that_it_could_not_finish() -> None:
    async with GatewayCluster(2) as cluster:
        program = next(one for one in map(str, itertools.count()) if _owns(cluster, "b", one))
        stop = cluster.nodes["b"].daemon._planned_stop
        stop.begin()
        stop._deadline_ms = now_ms() + 1_000
        call_id, reply = await cluster.turn("a", program)
        assert reply.status == 503
        assert not cluster.runs(call_id)


async def test_a_reassigned_partition_is_no_longer_written_when_its_turns_have_ended() -> None:
    async with GatewayCluster(1) as cluster:
        await _begin_long_turns(cluster, 0)
        await cluster.add_node("b")
        ownership = cluster.nodes["a"].daemon._ownership
        await cluster.until(lambda: len(ownership.owned) == 4)
        await cluster.until(lambda: not ownership._retired)


async def _begin_long_turns(
    cluster: GatewayCluster, count: int
) -> list[asyncio.Task[tuple[str, Reply]]]:
    """Starts turns at daemon `a` whose streams take most of a second."""
    for engine in ("e1", "e2"):
        cluster.engines[engine].knobs.gap_ms = 300
    work = [cluster.turn("a", f"p{number}") for number in range(count)]
    turns = [asyncio.create_task(one) for one in work]
    await cluster.until(lambda: len(cluster.all_runs()) == count)
    return turns


async def _close_when_stopped(daemon: GatewayDaemon) -> None:
    await daemon.stopped.wait()
    await daemon.close()


async def test_a_restarted_daemon_releases_the_lease_of_its_last_process() -> None:
    """Failure: programs stall for a second when a daemon is killed and restarts at once.

    Unless the store is told that the killed process has ended, the partitions are reassigned only
    when the lease of that process expires.
    """
    async with GatewayCluster(2) as cluster:
        first, _ = await cluster.turn("a", "p1")
        group = cluster.state.groups["gateway"]
        old_member = cluster.nodes["b"].daemon._ownership._member_id
        await cluster.crash_node("b")
        await cluster.add_node("b")

        await cluster.until(lambda: old_member in group.left)
        await cluster.until(cluster.is_settled)
        assert cluster.nodes["b"].daemon._ownership._member_id not in group.left
        _, reply = await cluster.turn("b", "p1", previous=first)
        assert reply.status == 200
