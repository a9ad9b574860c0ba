"""Histories whose oldest records the store has dropped, and how that is prevented."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from quincespool.gateway import maintenance
from quincespool.gateway.clock import now_ms
from quincespool.gateway.clock import wall_ms
from quincespool.gateway.turns.ledger import Admission
from quincespool.gateway.turns.ledger import Ledger
from quincespool.gateway.turns.log_extent import LogExtent
from quincespool.gateway.turns.records import HistoryPart
from quincespool.gateway.turns.records import TurnBroken
from quincespool.gateway.turns.records import TurnEnded
from quincespool.gateway.turns.records import TurnStarted
from quincespool.gateway.turns.settlement import LostPartitionError
from tests.gateway.gateway_cluster import GatewayCluster
from tests.support.client import ConnectionLostError

if TYPE_CHECKING:
    from quincespool.gateway.turns.finder import FoundTurn
    from quincespool.gateway.turns.partition import OwnedPartition

RECORDS_A_TURN = 2
# Programs with a retention of one second that ended this long ago have expired.
LONG_AGO_MS = 3_600_000


def _drop_oldest(cluster: GatewayCluster, program: str) -> None:
    """Drops the first turn from the store of a program that is alone in its partition."""
    daemon = next(iter(cluster.nodes.values())).daemon
    partition = daemon._program_components.relay._partition_for(program)
    cluster.state.partition(*partition).drop(RECORDS_A_TURN)


async def _replace_all(cluster: GatewayCluster) -> None:
    """Crashes all daemons and starts a new one, which reads the records of the store."""
    for name in list(cluster.nodes):
        await cluster.crash_node(name)
    await cluster.add_node("h")
    await cluster.until(cluster.is_settled)


async def test_a_turn_with_a_dropped_record_in_its_history_is_answered_404() -> None:
    async with GatewayCluster() as cluster:
        first, _ = await cluster.turn("a", "p1", body=b"one|")
        second, _ = await cluster.turn("a", "p1", previous=first, body=b"two|")
        _drop_oldest(cluster, "p1")
        await _replace_all(cluster)

        third, reply = await cluster.turn("h", "p1", previous=second, body=b"three|")
        assert reply.status == 404
        assert cluster.runs(third) == []


async def test_an_incomplete_history_is_found_complete_in_another_program() -> None:
    async with GatewayCluster() as cluster:
        first, _ = await cluster.turn("a", "p1", body=b"one|")
        second, _ = await cluster.turn("a", "p1", previous=first, body=b"two|")
        copied, reply = await cluster.turn("a", "p2", previous=second, body=b"copied")
        assert reply.status == 200
        complete = cluster.runs(copied)[0].removesuffix(b"copied")
        _drop_oldest(cluster, "p1")
        await _replace_all(cluster)

        third, reply = await cluster.turn("h", "p1", previous=second, body=b"three|")
        assert reply.status == 200
        assert cluster.runs(third) == [complete + b"three|"]


async def test_a_lookup_skips_an_owner_whose_history_is_incomplete() -> None:
    async with GatewayCluster() as cluster:
        first, _ = await cluster.turn("a", "p1", body=b"one|")
        second, _ = await cluster.turn("a", "p1", previous=first, body=b"two|")
        _drop_oldest(cluster, "p1")
        await _replace_all(cluster)
        await cluster.add_node("g")
        await cluster.until(cluster.is_settled)

        turns = [cluster.turn("g", f"q{number}", previous=second) for number in range(6)]
        answers = await asyncio.gather(*turns)
        assert [reply.status for _, reply in answers] == [404] * 6


def test_a_turn_that_continues_itself_does_not_hang_its_owner() -> None:
    ledger = Ledger()
    for previous in ("", "t"):
        ledger.apply(TurnEnded("t", "p", previous, b"a", b"b", 5, 60_000, 0))
    admission = ledger.admit(program_id="p", previous_id="t", budget_tokens=None, max_tokens=1)
    assert admission is Admission.NO_SUCH_TURN
    assert ledger.history("p", "t") is None


async def test_a_program_older_than_the_store_retention_keeps_its_history_and_budget() -> None:
    async with GatewayCluster(store_retention_s=6) as cluster:
        first, _ = await cluster.turn("a", "p1", body=b"one|", budget=75)
        second, _ = await cluster.turn("a", "p1", previous=first, body=b"two|", budget=75)
        await asyncio.sleep(10)
        await _replace_all(cluster)

        for previous in ("", second):
            _, reply = await cluster.turn("h", "p1", previous=previous, budget=75)
            assert reply.status == 402
        third, reply = await cluster.turn("h", "p1", previous=second, body=b"three|")
        assert reply.status == 200
        outputs = [
            b"".join(f"{turn}.{number}\n".encode() for number in (1, 2, 3))
            for turn in (first, second)
        ]
        complete = b"one|" + outputs[0] + b"two|" + outputs[1]
        assert cluster.runs(third) == [complete + b"three|"]


async def test_all_programs_that_are_due_together_are_renewed() -> None:
    async with GatewayCluster(store_retention_s=6) as cluster:
        programs = [f"p{number}" for number in range(40)]
        turns = [cluster.turn("ab"[number % 2], one) for number, one in enumerate(programs)]
        firsts = [call_id for call_id, _ in await asyncio.gather(*turns)]
        await asyncio.sleep(10)
        await _replace_all(cluster)

        again = [
            cluster.turn("h", program, previous=first)
            for program, first in zip(programs, firsts, strict=True)
        ]
        answers = await asyncio.gather(*again)
        assert [reply.status for _, reply in answers] == [200] * 40


async def test_programs_that_end_within_the_store_retention_are_not_renewed() -> None:
    async with GatewayCluster(store_retention_s=5) as cluster:
        cluster.configure(2, retention_s=1.0)
        await asyncio.sleep(0.5)
        await cluster.turn("a", "p1")
        appends = cluster.state.calls_to["/log-append"]
        # Past the age at which a program that can still be continued is renewed.
        await asyncio.sleep(4.5)
        assert cluster.state.calls_to["/log-append"] == appends


async def test_a_program_is_renewed_with_its_open_turn() -> None:
    async with GatewayCluster(1, store_retention_s=6) as cluster:
        first, _ = await cluster.turn("a", "p1", budget=130)
        owned = next(
            one
            for one in cluster.nodes["a"].daemon._ownership.owned.values()
            if "p1" in one.ledger.programs
        )
        await owned.append_durably(TurnStarted("open", "p1", 60, wall_ms()))
        await asyncio.sleep(10)
        await _replace_all(cluster)

        _, reply = await cluster.turn("h", "p1", previous=first, budget=130, max_tokens=50)
        assert reply.status == 402
        _, reply = await cluster.turn("h", "p1", previous=first, budget=130, max_tokens=30)
        assert reply.status == 200


def _owned(cluster: GatewayCluster, program: str) -> OwnedPartition:
    for node in cluster.nodes.values():
        owned = node.daemon._ownership.owned.get(
            node.daemon._program_components.relay._partition_for(program)
        )
        if owned is not None:
            return owned
    raise AssertionError(program)


def _of(cluster: GatewayCluster, name: str) -> list[OwnedPartition]:
    return list(cluster.nodes[name].daemon._ownership.owned.values())


def _old_turn(number: int) -> TurnEnded:
    ended_ms = wall_ms() - LONG_AGO_MS
    return TurnEnded(f"old-{number}", "p1", "", bytes(100_000), b"", 0, 1_000, ended_ms)


async def test_trimming_frees_space_in_a_full_store_and_deletes_nothing_needed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(maintenance, "LEDGER_GRACE_MS", 0)
    async with GatewayCluster() as cluster:
        owned = _owned(cluster, "p1")
        await asyncio.gather(*[owned.append_durably(_old_turn(number)) for number in range(5)])
        first, _ = await cluster.turn("a", "p2", body=b"one|")
        cluster.state.total_bytes = cluster.state.stored_bytes
        _, reply = await cluster.turn("a", "p3", deadline_ms=1_000)
        assert reply.status != 200
        await cluster.until(lambda: cluster.state.calls_to["/log-trim"], limit_s=5)
        await cluster.until(
            lambda: not any(n.daemon._store_health.full for n in cluster.nodes.values())
        )

        await _replace_all(cluster)
        for program in ("p2", "p3"):
            _, reply = await cluster.turn("h", program, previous=first)
            assert reply.status == 200


async def test_a_fenced_owner_trims_nothing() -> None:
    async with GatewayCluster() as cluster:
        owned = _owned(cluster, "p1")
        await asyncio.gather(*[owned.append_durably(_old_turn(number)) for number in range(5)])
        cluster.state.partition(*owned.partition).epoch += 1
        for steady_ms in (now_ms(), now_ms() + 1_000):
            owned.expire(wall_ms(), steady_ms=steady_ms, grace_ms=0)
        before = owned.trimmable_before(1)
        assert before is not None
        with pytest.raises(LostPartitionError):
            await owned.trim(before)
        assert cluster.state.calls_to["/log-trim"] == 0


async def test_a_wall_clock_that_is_set_forward_expires_no_program(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with GatewayCluster() as cluster:
        first, _ = await cluster.turn("a", "p1", body=b"one|")
        monkeypatch.setattr(maintenance, "wall_ms", lambda: wall_ms() + 100_000)
        await asyncio.sleep(2.5)
        _, reply = await cluster.turn("b", "p1", previous=first)
        assert reply.status == 200


async def test_programs_expire_by_both_clocks() -> None:
    async with GatewayCluster() as cluster:
        await cluster.turn("a", "p1")
        owned = _owned(cluster, "p1")
        began_ms = now_ms()
        for passed_ms, is_present in ((0, True), (60_999, True), (61_000, False)):
            later_ms = wall_ms() + 70_000
            owned.expire(later_ms, steady_ms=began_ms + passed_ms, grace_ms=1_000)
            assert ("p1" in owned.ledger.programs) == is_present


@pytest.mark.parametrize("complete_turns", [0, 1])
async def test_a_budget_holds_for_as_long_as_a_stopped_program_may_come_back(
    complete_turns: int,
) -> None:
    async with GatewayCluster() as cluster:
        for _ in range(complete_turns):
            await cluster.turn("a", "p1", budget=70)
        for engine in ("e1", "e2"):
            cluster.engines[engine].knobs.cut_after = 2
        with pytest.raises(ConnectionLostError):
            await cluster.turn("a", "p1", budget=70)
        owned = _owned(cluster, "p1")
        await owned.append_durably(TurnStarted("late", "p1", 50, wall_ms() + 50_000))
        await owned.append_durably(TurnBroken("late", "p1", 50, wall_ms() + 50_000))
        for passed_ms in (0, 105_000):
            later_ms = wall_ms() + passed_ms
            owned.expire(later_ms, steady_ms=now_ms() + passed_ms, grace_ms=1_000)

        _, reply = await cluster.turn("a", "p1", budget=70)
        assert reply.status == 402


async def test_a_turn_that_is_found_while_its_owner_loses_the_partition_is_not_answered_404() -> (
    None
):
    async with GatewayCluster(1) as cluster:
        first, _ = await cluster.turn("a", "p1", body=b"one|")
        finder = cluster.nodes["a"].daemon._program_components.finder
        owned = _owned(cluster, "p2")
        find = finder.find

        async def find_late(turn_id: str, account: str) -> FoundTurn | None:
            found = await find(turn_id, account)
            owned.mark_lost("reassigned")
            return found

        finder.find = find_late  # type: ignore[method-assign]
        _, reply = await cluster.turn("a", "p2", previous=first)
        assert reply.status in (200, 503)


@pytest.mark.parametrize("input_bytes", [10, 450_000])
async def test_a_turn_recorded_by_the_next_owner_has_its_complete_history(input_bytes: int) -> None:
    async with GatewayCluster() as cluster:
        first, _ = await cluster.turn("a", "p1", body=b"one|")
        program = next(f"q{n}" for n in range(100) if _owned(cluster, f"q{n}") in _of(cluster, "a"))
        finder = cluster.nodes["a"].daemon._program_components.finder
        find = finder.find

        async def find_last(turn_id: str, account: str) -> FoundTurn | None:
            found = await find(turn_id, account)
            cluster.set_store("a", down=True)
            return found

        finder.find = find_last  # type: ignore[method-assign]
        second, reply = await cluster.turn("b", program, previous=first, body=bytes(input_bytes))
        assert reply.status == 200
        complete = cluster.runs(second)[0]

        third, reply = await cluster.turn("b", program, previous=second, body=b"three|")
        assert reply.status == 200
        assert cluster.runs(third)[0].startswith(complete)


async def test_an_answer_longer_than_a_record_does_not_stop_its_partition() -> None:
    async with GatewayCluster() as cluster:
        for engine in ("e1", "e2"):
            cluster.engines[engine].knobs.event_bytes = 150_000
        first, reply = await cluster.turn("a", "p1", body=b"one|")
        assert reply.status == 200
        outputs = [f"{first}.{number}".encode() + b"x" * 150_000 + b"\n" for number in (1, 2, 3)]

        second, reply = await cluster.turn("a", "p1", previous=first, body=b"two|")
        assert reply.status == 200
        assert cluster.runs(second) == [b"one|" + b"".join(outputs) + b"two|"]


async def test_a_renewal_that_was_not_durable_is_not_passed_to_the_next_owner() -> None:
    async with GatewayCluster() as cluster:
        await cluster.turn("a", "p1")
        owned = _owned(cluster, "p1")
        imported = HistoryPart("elsewhere", "p1", "", b"text", 60_000, wall_ms())
        owned.submit(imported)
        for record in owned.ledger.renewal_records("p1", wall_ms()):
            owned.submit(record)
        owned.mark_lost("fenced")
        later = HistoryPart("t#head", "p1", "", b"text", 60_000, wall_ms())
        owned.submit(later)
        assert owned.unconfirmed_history("p1") == [imported, later]
        assert owned.unconfirmed_history("p2") == []


def test_records_from_the_oldest_program_or_unreadable_record_on_are_not_trimmed() -> None:
    extent = LogExtent()
    for offset, program in enumerate(("p", "q", "p", "p", "q")):
        extent.add_record(offset, program, 60_000)
        extent.add_mark(offset + 1)
    assert extent.trimmable_before({"p", "q"}, least_bytes=1) is None
    assert extent.trimmable_before({"q"}, least_bytes=1) == 1
    extent.add_record(5, "q", 60_000, replaces=1)
    extent.add_mark(6)
    assert extent.trimmable_before({"q"}, least_bytes=1) == 4
    assert extent.trimmable_before({"q"}, least_bytes=300_000) is None
    extent.add_unreadable(2)
    assert extent.trimmable_before({"q"}, least_bytes=1) == 2
    extent.drop_before(2)
    assert extent.trimmable_before({"q"}, least_bytes=1) is None
