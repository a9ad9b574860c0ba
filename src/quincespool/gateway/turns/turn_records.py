"""The records that make one turn last, and what may be handed out before they do."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import NamedTuple
from typing import Protocol

from quincespool.gateway.clock import now_ms
from quincespool.gateway.clock import wall_ms
from quincespool.gateway.futures import start_background_task
from quincespool.gateway.model import may_have_run
from quincespool.gateway.turns.ledger import MAX_PART_BYTES
from quincespool.gateway.turns.ledger import TurnBroken
from quincespool.gateway.turns.ledger import TurnEnded
from quincespool.gateway.turns.ledger import TurnStarted
from quincespool.gateway.turns.ledger import split_history
from quincespool.gateway.turns.settlement import LostPartitionError

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from quincespool.gateway.model import Call
    from quincespool.gateway.model import Refusal
    from quincespool.gateway.model import TurnParameters
    from quincespool.gateway.store.interface import Partition
    from quincespool.gateway.turns.ledger import Record
    from quincespool.gateway.turns.partition import OwnedPartition

# The start of a turn is durable within some tens of milliseconds, before the engine's first token;
# after this long the store is taken to be away, and the first token goes out before it.
START_LIMIT_MS = 250
# A turn whose caller is gone, or told that it may have run, has its records kept within this time
# at the partition's next owner, or not at all.
SETTLE_LIMIT_MS = 1_800
# The end of a turn waits for its records as long as callers wait for an event, less the way there.
# Broken off sooner, a turn is run once more that would have ended whole when the store came back.
PATIENCE_MARGIN_MS = 200
# What callers wait for at the least, if a daemon of an earlier version does not tell.
LEAST_PATIENCE_MS = 2_000
STORE_AWAY = "store_away"


class BrokenTurnError(Exception):
    """Ends a turn with the gateway's own final answer."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.reason)
        self.refusal = refusal


class SettleElsewhere(Protocol):
    """Lets the present owner of a partition keep a record, in so many ms; returns whether it did.

    A start is refused there if the budget is not enough for it any more.
    """

    def __call__(
        self, partition: Partition, record: Record, budget_tokens: int | None, left_ms: int
    ) -> Awaitable[bool]:
        """See above."""


class RecordServices(NamedTuple):
    """What the records of turns need.

    Attributes:
      settle_elsewhere: Has a record kept by the partition's next owner.
      store_reachable: Whether the store answers this daemon.
      settling: Work on turns that broke off before their start was durable.
    """

    settle_elsewhere: SettleElsewhere
    store_reachable: Callable[[], bool]
    settling: set[asyncio.Task[None]]


class TurnRecords:
    """The records of one turn under way.

    Attributes:
      handed_out: Events that went to the caller, one that was cut in its middle included.
    """

    def __init__(
        self, services: RecordServices, call: Call, terms: TurnParameters, owned: OwnedPartition
    ) -> None:
        turn = call.turn
        assert turn is not None
        self.handed_out = 0
        self._services = services
        self._call = call
        self._turn = turn
        self._terms = terms
        self._owned = owned
        told_ms = max(LEAST_PATIENCE_MS, terms.max_event_gap_ms)
        self._patience_ms = told_ms - PATIENCE_MARGIN_MS
        self._start = TurnStarted(
            turn_id=call.call_id,
            program_id=turn.program_id,
            most_tokens=turn.max_tokens,
            at_ms=wall_ms(),
            retention_ms=terms.retention_ms,
        )
        self._settled = False
        self._start_kept: asyncio.Future[None] | None = None
        self._start_deferred = False
        # Whether the partition's next owner keeps the start, this one having lost it.
        self._start_settled = False

    def begin(self) -> None:
        """Hands the start of the turn over to be appended."""
        self._start_kept = self._submit_start()

    async def await_start(self) -> None:
        """Waits until the reservation lasts, if the store is there.

        A daemon that takes over would otherwise not know of the turn and let the program spend its
        tokens again. What is handed out before is bounded by `UncertainTokens`.
        """
        assert self._start_kept is not None
        if self._start_deferred:
            return
        if not self._owned.uncertain.allows(self._turn.program_id):
            await self._durable_start()
            return
        if self._owned.stalled or not self._services.store_reachable():
            return
        await asyncio.wait({self._start_kept}, timeout=START_LIMIT_MS / 1000)
        if self._start_kept.done():
            await self._durable_start()

    async def hand_out(self, events: int) -> None:
        """Counts events that go to the caller next; waits if the bound asks for a durable start."""
        tokens = events * self._terms.tokens_per_event
        if not self._start_is_kept:
            program_id, most_tokens = self._turn.program_id, self._turn.max_tokens
            if not self._owned.uncertain.hand_out(program_id, tokens, most_tokens):
                if self._owned.stalled or not self._services.store_reachable():
                    raise BrokenTurnError(may_have_run(STORE_AWAY))
                self._owned.flush()
                await self._durable_start()
        self.handed_out += events

    def note_cut_event(self) -> None:
        """Counts an event of which the caller got a part."""
        self.handed_out += 1

    async def end_whole(self, output: bytes, until_ms: int) -> bool:
        """Makes the turn last; returns whether it does in time.

        Args:
          output: Data of all events.
          until_ms: Steady clock at which the caller has waited long enough.
        """
        previous_id, text = self._turn.previous_id, self._call.body
        if len(text) + len(output) > MAX_PART_BYTES:
            whole = text + output
            previous_id = self._submit_head(whole[:-MAX_PART_BYTES])
            text, output = b"", whole[-MAX_PART_BYTES:]
        record = TurnEnded(
            turn_id=self._call.call_id,
            program_id=self._turn.program_id,
            previous_id=previous_id,
            input=text,
            output=output,
            tokens=self.handed_out * self._terms.tokens_per_event,
            retention_ms=self._terms.retention_ms,
            at_ms=wall_ms(),
        )
        ended_ms = now_ms()
        self._settled = True
        limit_ms = min(self._patience_ms, until_ms - ended_ms)
        # Handed over before the start is waited for, so that one append takes both.
        kept = self._owned.submit(record)
        if not self._start_is_kept:
            await self._durable_start()
        return await self._keep(record, kept, ended_ms + limit_ms)

    def close(self) -> None:
        """Settles a turn that has not ended whole."""
        if self._start_kept is not None and not self._settled:
            self._settled = True
            tokens = self.handed_out * self._terms.tokens_per_event
            record = TurnBroken(
                turn_id=self._call.call_id,
                program_id=self._turn.program_id,
                tokens=tokens,
                at_ms=wall_ms(),
            )
            kept = self._owned.submit(record)
            start_background_task(self._settle_broken(kept, record), self._services.settling)

    @property
    def _start_is_kept(self) -> bool:
        start = self._start_kept
        if start is None or not start.done():
            return False
        return self._start_settled or start.exception() is None

    def _submit_start(self) -> asyncio.Future[None]:
        uncertain, program_id = self._owned.uncertain, self._turn.program_id
        self._start_deferred = self._may_defer_start()
        start = self._owned.submit(self._start, urgent=not self._start_deferred)
        uncertain.begin(program_id)
        start.add_done_callback(lambda _: uncertain.end(program_id))
        return start

    def _may_defer_start(self) -> bool:
        """Whether the start may be appended with the end, since nothing else is uncertain."""
        uncertain, program_id = self._owned.uncertain, self._turn.program_id
        if self._owned.stalled or not self._services.store_reachable():
            return False
        return uncertain.allows(program_id) and uncertain.is_clear(program_id)

    async def _settle_broken(self, kept: asyncio.Future[None], record: TurnBroken) -> None:
        """Tells the partition's next owner what was handed out, if this one has lost it.

        A reservation that lasts would be spent for good; one that does not, and what was handed out
        with it, would be spent again.
        """
        try:
            await asyncio.shield(kept)
        except LostPartitionError:
            if self._start_is_kept or await self._settle(self._start, SETTLE_LIMIT_MS):
                await self._settle(record, SETTLE_LIMIT_MS)

    def _submit_head(self, text: bytes) -> str:
        """Hands over what does not fit into the turn's last record; returns the id of its end.

        The store would refuse such a record for ever, and every later one of the partition with it.
        """
        head_id = f"{self._call.call_id}#head"
        parts = split_history(
            head_id,
            self._turn.program_id,
            text,
            previous_id=self._turn.previous_id,
            retention_ms=self._terms.retention_ms,
            at_ms=wall_ms(),
        )
        for part in parts:
            self._owned.submit(part)
        return head_id

    async def _keep(self, record: Record, kept: asyncio.Future[None], until_ms: int) -> bool:
        """Returns whether the record is durable, here or at the partition's present owner."""
        try:
            async with asyncio.timeout(max(0, until_ms - now_ms()) / 1000):
                await asyncio.shield(kept)
            return True
        except TimeoutError:
            return False
        except LostPartitionError:
            return await self._settle_with_history(record, until_ms)

    async def _settle_with_history(self, record: Record, until_ms: int) -> bool:
        """Has the next owner keep a record, and before it what its chain rests on.

        Without these the turn would be whole, and nothing could go on from it.
        """
        parts = self._owned.unkept_parts(self._turn.program_id)
        for one in [*parts, record]:
            if not await self._settle(one, until_ms - now_ms()):
                return False
        return True

    async def _durable_start(self) -> None:
        assert self._start_kept is not None
        try:
            async with asyncio.timeout(self._patience_ms / 1000):
                await asyncio.shield(self._start_kept)
        except LostPartitionError as error:
            # The partition was dealt anew while the record was on its way.
            if not await self._settle(self._start, SETTLE_LIMIT_MS):
                raise BrokenTurnError(may_have_run("owner_changed")) from error
            self._start_settled = True
        except TimeoutError as error:
            raise BrokenTurnError(may_have_run("record_not_kept")) from error

    async def _settle(self, record: Record, left_ms: int) -> bool:
        # What was handed out is spent, whatever is left of the budget at the new owner.
        budget_tokens = None if self.handed_out else self._turn.budget_tokens
        return await self._services.settle_elsewhere(
            self._owned.partition, record, budget_tokens, left_ms
        )
