"""One budget for the turns of a program whose partition moves while they run."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING
from typing import NamedTuple

import pytest

from quincespool.gateway.clock import now_ms
from quincespool.gateway.model import Call
from quincespool.gateway.model import Turn
from quincespool.gateway.model import TurnParameters
from quincespool.gateway.store.hedged_requests import HedgedRequests
from quincespool.gateway.store.interface import Partition
from quincespool.gateway.turns.partition import OwnedPartition
from quincespool.gateway.turns.records import TurnEnded
from quincespool.gateway.turns.records import TurnStarted
from quincespool.gateway.turns.settlement import Settlement
from quincespool.gateway.turns.turn_records import RecordContext
from quincespool.gateway.turns.turn_records import TurnFailedError
from quincespool.gateway.turns.turn_records import TurnRecords
from quincespool.platform.store import PlatformStore
from quincespool.policy.urgency import Rank
from tests.support.standins.platform_store import make_platform_store

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from quincespool.gateway.turns.records import Record
    from tests.support.standins.platform_store import PlatformStoreStandIn

PARTITION = Partition("programs.0", 3)
EVENTS = 8
STRIDE = 10
MAX_TOKENS = EVENTS * STRIDE
TURNS = 3
# Of each turn, before the partition moves.
SENT_EVENTS = 2
BUDGET_TOKENS = TURNS * MAX_TOKENS
PARAMETERS = TurnParameters(
    version=1,
    account="",
    route="stream",
    service="model",
    tokens_per_event=STRIDE,
    rank=Rank(0),
    timeout_ms=4_000,
    max_event_gap_ms=2_000,
    max_attempts=2,
    keeps_history=False,
    retention_ms=60_000,
    is_resumable=False,
    is_near_limit=False,
)


def _own(stand_in: PlatformStoreStandIn, epoch: int) -> OwnedPartition:
    store = PlatformStore(
        address=stand_in.address,
        lease_ms=1_000,
        time_limit_ms=2_000,
        partition_count=8,
        on_call=lambda path, status: None,
    )
    return OwnedPartition(
        PARTITION,
        epoch=epoch,
        store=store,
        hedged=HedgedRequests(on_hedge=lambda: None),
        on_change=lambda owned, detail: None,
    )


class _Program:
    """Turns of a program at an owner, and the tokens that its caller has got."""

    def __init__(self) -> None:
        self.tokens = 0
        self.settled_at: OwnedPartition
        self.tasks: set[asyncio.Task[None]] = set()
        self._context = RecordContext(self._settle, lambda: True, self.tasks)

    def begin(self, call_id: str, owned: OwnedPartition) -> TurnRecords:
        """Admits a turn at an owner."""
        turn = Turn("p", "", BUDGET_TOKENS, MAX_TOKENS, None)
        call = Call(call_id, "POST", "h", "/", (), b"", 4_000, turn)
        records = TurnRecords(self._context, call, PARAMETERS, owned)
        records.submit_start()
        return records

    async def hand_out(self, records: TurnRecords, events: int) -> None:
        """Hands events of a turn out; does nothing more once the turn has failed."""
        for _ in range(events):
            await records.count_events_to_send(1)
            self.tokens += STRIDE

    async def _settle(
        self, partition: Partition, record: Record, budget_tokens: int | None, left_ms: int
    ) -> bool:
        del partition, left_ms
        outcome = await self.settled_at.settle(record, budget_tokens=budget_tokens)
        return outcome is Settlement.DURABLE


async def _admit_all(new: OwnedPartition) -> int:
    """Has the next owner admit as many turns as its records allow; returns their tokens."""
    tokens = 0
    while (
        new.ledger.readmit(
            start := TurnStarted(f"n{tokens}", "p", MAX_TOKENS, 0), budget_tokens=BUDGET_TOKENS
        ).name
        == "ADMITTED"
    ):
        await new.append_durably(start)
        tokens += MAX_TOKENS
    return tokens


async def _begin_program(stand_in: PlatformStoreStandIn) -> OwnedPartition:
    old = _own(stand_in, 1)
    await old.ready_event.wait()
    await old.append_durably(TurnStarted("t", "p", 0, 0))
    await old.append_durably(TurnEnded("t", "p", "", b"", b"", 0, 60_000, 0, has_text=False))
    return old


class _Moved(NamedTuple):
    """A program some of whose turns have sent events when their partition moves."""

    program: _Program
    turns: list[TurnRecords]
    new: OwnedPartition


@contextlib.asynccontextmanager
async def _moved_turns() -> AsyncIterator[_Moved]:
    async with make_platform_store() as stand_in:
        old = await _begin_program(stand_in)
        program = _Program()
        stand_in.knobs.delay_ms = 500
        turns = [program.begin(f"t{number}", old) for number in range(TURNS)]
        for records in turns:
            await program.hand_out(records, SENT_EVENTS)

        stand_in.state.partition(*PARTITION).epoch = 2
        stand_in.knobs.delay_ms = 0
        new = program.settled_at = _own(stand_in, 2)
        await new.ready_event.wait()
        yield _Moved(program, turns, new)


async def test_turns_whose_partition_moves_get_no_second_budget() -> None:
    """Guards against turns that run on beside those to which the next owner gave their tokens."""
    async with _moved_turns() as (program, turns, new):
        program.tokens += await _admit_all(new)
        works = [program.hand_out(records, EVENTS - SENT_EVENTS) for records in turns]
        failures = await asyncio.gather(*works, return_exceptions=True)

        assert all(isinstance(one, TurnFailedError) for one in failures)
        assert program.tokens <= BUDGET_TOKENS + MAX_TOKENS
        for records in turns:
            records.close()
        await asyncio.gather(*program.tasks)
        spent = new.ledger.programs["p"].spent_tokens
        assert spent == sum(one.sent_events for one in turns) * STRIDE


async def test_a_turn_goes_on_where_the_next_owner_has_budget_for_it() -> None:
    """Guards against streams that are cut although the program may have their tokens."""
    async with _moved_turns() as (program, turns, _):
        works = [program.hand_out(records, EVENTS - SENT_EVENTS) for records in turns]
        await asyncio.gather(*works)
        assert program.tokens == TURNS * MAX_TOKENS


async def test_a_turn_that_has_ended_is_recorded_whatever_is_left_of_the_budget() -> None:
    """Guards against whole answers that are cut, as their tokens were given to other turns."""
    async with _moved_turns() as (_, turns, new):
        await _admit_all(new)
        assert await turns[0].append_end(b"", now_ms() + 4_000)
        assert new.ledger.programs["p"].spent_tokens == SENT_EVENTS * STRIDE


@pytest.fixture(autouse=True)
def _no_wait(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("quincespool.gateway.turns.turn_records.START_TIMEOUT_MS", 0)
