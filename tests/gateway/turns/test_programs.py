"""Programs through several daemons: histories, budgets, owners, with real sockets."""

from __future__ import annotations

import asyncio
import itertools
from typing import TYPE_CHECKING

import pytest

from quincespool.gateway.clock import now_ms
from quincespool.gateway.model import may_have_run
from quincespool.gateway.turns.turn_records import STORE_AWAY
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


async def test_a_turn_that_does_not_exist_is_not_found() -> None:
    async with GatewayCluster() as cluster:
        call_id, reply = await cluster.turn("a", "p1", previous="nowhere")

        assert reply.status == 404
        assert cluster.runs(call_id) == []


async def test_a_program_continues_a_turn_of_another_program() -> None:
    """Symptom: 404 for turns that had been answered whole.

    Events: programs end; new programs name their turns as the previous ones.
    Cause: a turn lies in the partition of the program that made it, and only the partition of the
    program that asks was looked at.
    """
    async with GatewayCluster() as cluster:
        first, _ = await cluster.turn("a", "old", body=b"one|")
        for number in range(6):
            call_id, reply = await cluster.turn("b", f"new-{number}", previous=first, body=b"two")
            assert reply.status == 200
            assert cluster.runs(call_id)[0].startswith(b"one|" + first.encode())


async def test_parallel_turns_share_one_budget() -> None:
    """Symptom: a program spends several times its budget.

    Events: many turns of one program come at once, before any of them has generated a token.
    Cause: each would be admitted against what was spent, not against what is reserved.
    """
    async with GatewayCluster() as cluster:
        turns = [
            cluster.turn("ab"[number % 2], "p1", budget=90, max_tokens=30) for number in range(12)
        ]
        statuses = sorted([reply.status for _, reply in await asyncio.gather(*turns)])

        assert statuses == [200] * 3 + [402] * 9


async def test_a_budget_outlasts_the_owner() -> None:
    """Symptom: a program that spent its budget goes on after a crash.

    Events: turns are answered, their owner dies, the next turn comes to the daemon that takes over.
    Cause: what was spent was only known to the dead owner.
    """
    async with GatewayCluster() as cluster:
        for _ in range(2):
            await cluster.turn("a", "p1", budget=60, max_tokens=3 * TOKENS_PER_EVENT)
        owner = next(name for name in ("a", "b") if _owns(cluster, name, "p1"))
        await cluster.crash_node(owner)
        left = "b" if owner == "a" else "a"
        await cluster.until(cluster.is_settled)

        _, reply = await cluster.turn(left, "p1", budget=60, max_tokens=3 * TOKENS_PER_EVENT)
        assert reply.status == 402


async def test_history_outlasts_all_daemons() -> None:
    """Symptom: 404 for a turn that was answered whole before the power went.

    Events: a turn is answered; all daemons die at once; new ones start.
    Cause: its end was told before its record was durable.
    """
    async with GatewayCluster() as cluster:
        first, _ = await cluster.turn("a", "p1", body=b"one|")
        for name in ("a", "b"):
            await cluster.crash_node(name)
        await cluster.add_node("c")
        await cluster.until(cluster.is_settled)

        _, reply = await cluster.turn("c", "p1", previous=first, body=b"two|")
        assert reply.status == 200


async def test_an_owner_that_the_store_turns_away_gives_no_false_answer() -> None:
    """Symptom: 404 for a turn that another daemon has just answered.

    Events: the store turns one daemon away; its partitions go to another one, which answers a turn;
    the next turn reaches the first daemon, which still has the partitions in memory.
    Cause: it believed to own what it could not renew.
    """
    async with GatewayCluster() as cluster:
        program = next(f"p{n}" for n in range(100) if _owns(cluster, "a", f"p{n}"))
        cluster.nodes["a"].store.knobs.down = True
        # Assigned is not enough: until it has read them, it hands turns to the former owner.
        await cluster.until(lambda: _ready_count(cluster, "b") == 8)
        first, reply = await cluster.turn("b", program, body=b"one|")
        assert reply.status == 200

        second, reply = await cluster.turn("a", program, previous=first, body=b"two|")
        assert reply.status == 200
        assert len(cluster.runs(second)) == 1


async def test_a_turn_whose_owner_the_store_turns_away_goes_to_the_next_owner() -> None:
    """Symptom: while the store turns a third of the hosts away, programs owned there lose 1.3 s.

    Events: the store serves a daemon that has a caller's turn, and turns its owner away; the owner
    refuses the turn until the store is back, though another one has it when the lease is over.
    Cause: the refusal was handed on as if the store were away for all.
    """
    async with GatewayCluster() as cluster:
        program = next(f"p{n}" for n in range(100) if _owns(cluster, "a", f"p{n}"))
        await cluster.start_store_outage("a")
        async with asyncio.timeout(3):
            while (reply := (await cluster.turn("b", program))[1]).status != 200:
                assert reply.status == 503
                assert float(reply.headers["retry-after"]) <= 0.4
                await asyncio.sleep(float(reply.headers["retry-after"]))


async def test_a_turn_that_may_have_run_is_not_handed_to_the_next_owner() -> None:
    """Symptom: an engine runs a turn a second time, after another one's run of it was cut.

    Events: the store turns the owner away while it hands out a turn's events; it breaks the turn
    off, for the bound on what nothing lasts of; another daemon becomes the owner.
    Cause: the daemon that has the caller went by the refusal's reason, which is the same whether
    the turn has run or not, and handed the turn to the new owner.
    """
    async with GatewayCluster() as cluster:
        program = next(f"p{n}" for n in range(100) if _owns(cluster, "a", f"p{n}"))
        relay = cluster.nodes["b"].daemon._program_components.relay
        handed_over: list[object] = []
        owner = cluster.nodes["b"].daemon._members.entries["a"]

        async def broken_off(*args: object) -> Refusal:
            handed_over.append(args)
            return may_have_run(STORE_AWAY)

        relay._hand_over = broken_off  # type: ignore[method-assign, assignment]
        epochs = itertools.count(1)
        relay._members.owner = lambda *_: (owner, next(epochs))  # type: ignore[method-assign]
        _, reply = await cluster.turn("b", program)
        assert reply.status == 502
        assert len(handed_over) == 1


async def test_a_turn_is_refused_as_not_run_while_the_store_is_away() -> None:
    async with GatewayCluster() as cluster:
        for node in cluster.nodes.values():
            node.store.knobs.down = True
        await asyncio.sleep(1.2)
        call_id, reply = await cluster.turn("a", "p1")

        assert reply.status == 503
        assert float(reply.headers["retry-after"]) > 0
        assert cluster.runs(call_id) == []


@pytest.mark.parametrize("program", ["p1", "p2", "p3"])
async def test_a_stream_that_breaks_off_is_not_taken_for_whole(program: str) -> None:
    async with GatewayCluster() as cluster:
        for engine in ("e1", "e2"):
            cluster.engines[engine].knobs.cut_after = 2
        pieces: list[bytes] = []
        with pytest.raises(ConnectionLostError):
            await cluster.turn("a", program, on_data=pieces.append)

        assert b"".join(pieces).count(b"data:") == 2


async def test_a_lost_answer_of_the_store_keeps_the_turn_once() -> None:
    """Symptom: a turn's history twice, or its end never told.

    Events: the store does an append and its answer is lost; the daemon appends again.
    Cause: an append without an answer may have been done; the sequence number tells it apart.
    """
    async with GatewayCluster() as cluster:
        for node in cluster.nodes.values():
            node.store.knobs.lose_writes = 2
        first, reply = await cluster.turn("a", "p1", body=b"one|")
        assert reply.status == 200
        second, _ = await cluster.turn("b", "p1", previous=first, body=b"two|")

        assert cluster.runs(second)[0].count(b"one|") == 1


async def test_an_engine_stops_when_the_caller_leaves() -> None:
    """Symptom: engines work on turns whose callers have gone.

    Events: a caller closes its connection in the middle of a stream, at a daemon that relays it.
    Cause: the owner would go on relaying to nobody.
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


async def test_a_planned_stop_hands_programs_over() -> None:
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


async def test_a_daemon_that_outlives_all_others_serves_alone() -> None:
    """Symptom: after all other hosts are lost, the last one refuses every turn.

    Events: a daemon hears nobody any more and gives its partitions up, as one that is cut off does.
    Cause: being the last one and being cut off look alike; only the store tells them apart.
    """
    async with GatewayCluster(3) as cluster:
        for name in ("a", "b"):
            await cluster.crash_node(name)
        await asyncio.sleep(1.5)
        await cluster.until(cluster.is_settled, limit_s=3)

        for number in range(4):
            _, reply = await cluster.turn("c", f"p{number}")
            assert reply.status == 200


async def test_turns_end_whole_while_partitions_are_dealt_anew() -> None:
    """Symptom: streams that break off, or answers of 502, when a host is added.

    Events: turns are under way, some of them before their first record is kept; a daemon joins and
    gets some of their partitions.
    Cause: what a daemon still has to write for a partition that it has lost was dropped.
    """
    async with GatewayCluster(1) as cluster:
        cluster.nodes["a"].store.knobs.delay_ms = 30
        for engine in ("e1", "e2"):
            cluster.engines[engine].knobs.gap_ms = 150
        programs = [f"p{number}" for number in range(24)]
        turns = [asyncio.create_task(cluster.turn("a", one, body=b"one|")) for one in programs]
        await cluster.add_node("b")
        later = [cluster.turn("a", f"q{number}") for number in range(24)]
        answers = await asyncio.gather(*turns, *later)
        assert [reply.status for _, reply in answers] == [200] * 48
        assert len(cluster.nodes["b"].owned) == 4

        for program, (first, _) in zip(programs, answers, strict=False):
            _, reply = await cluster.turn("b", program, previous=first, body=b"two|")
            assert reply.status == 200


async def test_turns_end_whole_while_every_owner_stops_at_once() -> None:
    async with GatewayCluster(2) as cluster:
        turns = await _begin_long_turns(cluster, 16)
        for node in cluster.nodes.values():
            node.daemon.begin_stop()
        answers = await asyncio.gather(*turns)
        assert [reply.status for _, reply in answers] == [200] * 16


async def test_turns_end_whole_if_the_next_owner_stops_before_they_end() -> None:
    async with GatewayCluster(2) as cluster:
        turns = await _begin_long_turns(cluster, 16)
        cluster.nodes["a"].daemon.begin_stop()
        await cluster.until(lambda: _ready_count(cluster, "b") == 8, limit_s=0.5)
        cluster.nodes["b"].daemon.begin_stop()
        ended = asyncio.create_task(_close_when_stopped(cluster.nodes["b"].daemon))
        answers = await asyncio.gather(*turns)
        assert [reply.status for _, reply in answers] == [200] * 16
        await cluster.nodes["a"].daemon.stopped.wait()
        await cluster.nodes["a"].daemon.close()
        await asyncio.wait_for(ended, 2)


async def test_an_owner_that_stops_takes_no_turn_that_it_could_not_end() -> None:
    async with GatewayCluster(2) as cluster:
        program = next(one for one in map(str, itertools.count()) if _owns(cluster, "b", one))
        stop = cluster.nodes["b"].daemon._planned_stop
        stop.begin()
        stop._deadline_ms = now_ms() + 1_000
        call_id, reply = await cluster.turn("a", program)
        assert reply.status == 503
        assert not cluster.runs(call_id)


async def test_a_partition_that_was_dealt_anew_is_let_go_when_its_turns_have_ended() -> None:
    async with GatewayCluster(1) as cluster:
        await _begin_long_turns(cluster, 0)
        await cluster.add_node("b")
        ownership = cluster.nodes["a"].daemon._ownership
        await cluster.until(lambda: len(ownership.owned) == 4)
        await cluster.until(lambda: not ownership._retired)


async def _begin_long_turns(
    cluster: GatewayCluster, count: int
) -> list[asyncio.Task[tuple[str, Reply]]]:
    """Begins turns at daemon `a` whose streams take most of a second."""
    for engine in ("e1", "e2"):
        cluster.engines[engine].knobs.gap_ms = 300
    work = [cluster.turn("a", f"p{number}") for number in range(count)]
    turns = [asyncio.create_task(one) for one in work]
    await cluster.until(lambda: len(cluster.all_runs()) == count)
    return turns


async def _close_when_stopped(daemon: GatewayDaemon) -> None:
    await daemon.stopped.wait()
    await daemon.close()


async def test_a_daemon_that_starts_again_frees_what_it_owned_before() -> None:
    """Symptom: programs stand still for a second after a daemon was killed and is back at once.

    Events: a daemon is killed and starts again; its partitions are dealt when its lease is over.
    Cause: nobody told the store that the process which holds the lease is gone.
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
