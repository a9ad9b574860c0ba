"""Appends the records of one turn; limits the tokens sent before the records are durable."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import NamedTuple
from typing import Protocol

from quincespool.gateway.clock import now_ms
from quincespool.gateway.clock import wall_ms
from quincespool.gateway.futures import start_background_task
from quincespool.gateway.model import may_have_run
from quincespool.gateway.turns.records import MAX_PART_BYTES
from quincespool.gateway.turns.records import TurnBroken
from quincespool.gateway.turns.records import TurnEnded
from quincespool.gateway.turns.records import TurnStarted
from quincespool.gateway.turns.records import split_history
from quincespool.gateway.turns.settlement import LostPartitionError

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from quincespool.gateway.model import Call
    from quincespool.gateway.model import Refusal
    from quincespool.gateway.model import TurnParameters
    from quincespool.gateway.store.interface import Partition
    from quincespool.gateway.turns.partition import OwnedPartition
    from quincespool.gateway.turns.records import Record

# The start of a turn is usually durable within some tens of milliseconds, before the engine's first
# token. After this time the store is considered unreachable, and the first token is sent before the
# start is durable.
START_TIMEOUT_MS = 250
# If the caller of a turn has disconnected, or got the verdict that the turn may have run, its
# records are made durable at the partition's next owner within this time, or not at all.
SETTLE_TIMEOUT_MS = 1_800
# The end of a turn waits until its records are durable, at most for as long as callers wait for an
# event less this time, in which the answer reaches them. With a shorter wait, a turn that would
# have ended completely once the store is reachable again would be broken off, and run again.
EVENT_GAP_MARGIN_MS = 200
# Minimum time for which callers wait for an event; used if a daemon of an earlier version relays a
# turn without this time.
MIN_EVENT_GAP_MS = 2_000
STORE_UNREACHABLE = "store_away"


class TurnFailedError(Exception):
    """Raised to end a turn with the gateway's own final answer instead of an engine's.

    Attributes:
      refusal: The final answer.
    """

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.reason)
        self.refusal = refusal


class SettleAtOwner(Protocol):
    """Has the current owner of a partition append a record durably.

    The owner refuses the start of a turn if the program's remaining budget no longer covers it. A
    start without a budget only records what was spent: the turn must hand out no more.
    """

    def __call__(
        self, partition: Partition, record: Record, budget_tokens: int | None, left_ms: int
    ) -> Awaitable[bool]:
        """Appends the record at the owner within `left_ms`; returns whether it is durable."""


class RecordContext(NamedTuple):
    """Dependencies of turn records, shared by all turns of a daemon.

    Attributes:
      settle_at_owner: Has a record appended by the partition's current owner.
      store_reachable: Whether the store answers this daemon.
      settlement_tasks: Running tasks that make the records of failed turns durable.
    """

    settle_at_owner: SettleAtOwner
    store_reachable: Callable[[], bool]
    settlement_tasks: set[asyncio.Task[None]]


class TurnRecords:
    """The records of one turn in progress.

    Attributes:
      sent_events: Number of events sent to the caller, including one that was sent only in part.
    """

    def __init__(
        self, context: RecordContext, call: Call, parameters: TurnParameters, owned: OwnedPartition
    ) -> None:
        turn = call.turn
        assert turn is not None
        self.sent_events = 0
        self._context = context
        self._call = call
        self._turn = turn
        self._parameters = parameters
        self._owned = owned
        max_gap_ms = max(MIN_EVENT_GAP_MS, parameters.max_event_gap_ms)
        self._append_timeout_ms = max_gap_ms - EVENT_GAP_MARGIN_MS
        self._start = TurnStarted(
            turn_id=call.call_id,
            program_id=turn.program_id,
            max_tokens=turn.max_tokens,
            at_ms=wall_ms(),
            retention_ms=parameters.retention_ms,
        )
        self._is_closed = False
        self._start_append: asyncio.Future[None] | None = None
        self._start_deferred = False
        # Whether this daemon lost the partition, and its next owner has appended the start.
        self._start_is_durable_elsewhere = False

    def submit_start(self) -> None:
        """Submits the start of the turn to be appended."""
        self._start_append = self._submit_start()

    async def wait_for_start(self) -> None:
        """Waits until the turn's token reservation is durable, if the store is reachable.

        Without the reservation, a daemon that takes the partition over would not know of the turn
        and would let the program spend its tokens again. `UnrecordedTokens` limits the tokens that
        are sent before the reservation is durable.

        Raises:
          TurnFailedError: if the start must be durable first and does not become durable in time.
        """
        assert self._start_append is not None
        if self._start_deferred:
            return
        if not self._owned.unrecorded.is_allowed(self._turn.program_id):
            await self._require_durable_start(budget_tokens=self._turn.budget_tokens)
            return
        if self._owned.stalled or not self._context.store_reachable():
            return
        await asyncio.wait({self._start_append}, timeout=START_TIMEOUT_MS / 1000)
        if self._start_append.done():
            await self._require_durable_start(budget_tokens=self._turn.budget_tokens)

    async def count_events_to_send(self, events: int) -> None:
        """Counts events that are about to be sent; first waits for the start if it must be durable.

        Raises:
          TurnFailedError: if the start must be durable first and does not become durable in time.
        """
        tokens = events * self._parameters.tokens_per_event
        if not self._is_start_durable:
            program_id, most_tokens = self._turn.program_id, self._turn.max_tokens
            if not self._owned.unrecorded.try_issue(program_id, tokens, most_tokens):
                if self._owned.stalled or not self._context.store_reachable():
                    raise TurnFailedError(may_have_run(STORE_UNREACHABLE))
                self._owned.flush()
                await self._require_durable_start(budget_tokens=self._turn.budget_tokens)
        self.sent_events += events

    def count_partial_event(self) -> None:
        """Counts an event of which only a part was sent."""
        self.sent_events += 1

    async def append_end(self, output: bytes, until_ms: int) -> bool:
        """Appends the end of the turn; returns whether it is durable in time.

        Args:
          output: The data of all events, each with a line feed after it.
          until_ms: Monotonic clock (ms) at which the time limit of the call is over.

        Raises:
          TurnFailedError: if the start of the turn can't be made durable in time.
        """
        previous_id, text = self._turn.previous_id, self._call.body
        if not self._parameters.keeps_history:
            # Nothing reads it again, and it would fill the memory of every owner.
            text, output = b"", b""
        if len(text) + len(output) > MAX_PART_BYTES:
            turn_bytes = text + output
            previous_id = self._submit_long_history(turn_bytes[:-MAX_PART_BYTES])
            text, output = b"", turn_bytes[-MAX_PART_BYTES:]
        record = TurnEnded(
            turn_id=self._call.call_id,
            program_id=self._turn.program_id,
            previous_id=previous_id,
            input=text,
            output=output,
            tokens=self.sent_events * self._parameters.tokens_per_event,
            retention_ms=self._parameters.retention_ms,
            at_ms=wall_ms(),
            has_text=self._parameters.keeps_history,
        )
        ended_ms = now_ms()
        self._is_closed = True
        limit_ms = min(self._append_timeout_ms, until_ms - ended_ms)
        # Submitted before waiting for the start, so that one append writes both records.
        append = self._owned.submit(record)
        if not self._is_start_durable:
            await self._require_durable_start(budget_tokens=None)
        return await self._wait_until_durable(record, append, ended_ms + limit_ms)

    def close(self) -> None:
        """Records how many tokens were sent, unless the end of the turn has been submitted."""
        if self._start_append is not None and not self._is_closed:
            self._is_closed = True
            tokens = self.sent_events * self._parameters.tokens_per_event
            record = TurnBroken(
                turn_id=self._call.call_id,
                program_id=self._turn.program_id,
                tokens=tokens,
                at_ms=wall_ms(),
            )
            append = self._owned.submit(record)
            start_background_task(
                self._settle_failed(append, record), self._context.settlement_tasks
            )

    @property
    def _is_start_durable(self) -> bool:
        start = self._start_append
        if start is None or not start.done():
            return False
        return self._start_is_durable_elsewhere or start.exception() is None

    def _submit_start(self) -> asyncio.Future[None]:
        unrecorded, program_id = self._owned.unrecorded, self._turn.program_id
        self._start_deferred = self._may_defer_start()
        start = self._owned.submit(self._start, urgent=not self._start_deferred)
        unrecorded.start_turn(program_id)
        start.add_done_callback(lambda _: unrecorded.end_turn(program_id))
        return start

    def _may_defer_start(self) -> bool:
        """Whether the record of the turn's start may be appended together with that of its end.

        This is allowed if durable records account for all other tokens sent to the program.
        """
        unrecorded, program_id = self._owned.unrecorded, self._turn.program_id
        if self._owned.stalled or not self._context.store_reachable():
            return False
        return unrecorded.is_allowed(program_id) and unrecorded.is_fully_recorded(program_id)

    async def _settle_failed(self, append: asyncio.Future[None], record: TurnBroken) -> None:
        """Has the partition's next owner record the sent tokens, if this daemon lost ownership.

        Without the record of the failure, a durable reservation would count as spent forever.
        Without a durable reservation, the tokens that were sent could be spent again.
        """
        try:
            await asyncio.shield(append)
        except LostPartitionError:
            if self._is_start_durable or await self._settle_at_owner(
                self._start, SETTLE_TIMEOUT_MS, budget_tokens=None
            ):
                await self._settle_at_owner(record, SETTLE_TIMEOUT_MS)

    def _submit_long_history(self, text: bytes) -> str:
        """Submits the text that does not fit into the turn's last record as preceding history.

        The store would always refuse a record that is too large, and with it every later record of
        the partition.

        Returns:
          The id that the turn's last record must have as its `previous_id`.
        """
        history_id = f"{self._call.call_id}#head"
        parts = split_history(
            history_id,
            self._turn.program_id,
            text,
            previous_id=self._turn.previous_id,
            retention_ms=self._parameters.retention_ms,
            at_ms=wall_ms(),
        )
        for part in parts:
            self._owned.submit(part)
        return history_id

    async def _wait_until_durable(
        self, record: Record, append: asyncio.Future[None], until_ms: int
    ) -> bool:
        """Returns whether the record becomes durable in time, here or at the current owner."""
        try:
            async with asyncio.timeout(max(0, until_ms - now_ms()) / 1000):
                await asyncio.shield(append)
            return True
        except TimeoutError:
            return False
        except LostPartitionError:
            return await self._settle_with_history(record, until_ms)

    async def _settle_with_history(self, record: Record, until_ms: int) -> bool:
        """Has the current owner append a record, after the history that the record builds on.

        Without that history the turn would be complete, but no turn could continue it.
        """
        parts = self._owned.unconfirmed_history(self._turn.program_id)
        for one in [*parts, record]:
            if not await self._settle_at_owner(one, until_ms - now_ms()):
                return False
        return True

    async def _require_durable_start(self, *, budget_tokens: int | None) -> None:
        """Waits until the start is durable, here or at the partition's next owner.

        Args:
          budget_tokens: The budget that must cover the whole turn at the next owner, which may have
            admitted others instead; None if the turn hands out no more tokens.

        Raises:
          TurnFailedError: if the start does not become durable in time.
        """
        assert self._start_append is not None
        try:
            async with asyncio.timeout(self._append_timeout_ms / 1000):
                await asyncio.shield(self._start_append)
        except LostPartitionError as error:
            # The partition was reassigned while the record was being appended.
            if not await self._settle_at_owner(
                self._start, SETTLE_TIMEOUT_MS, budget_tokens=budget_tokens
            ):
                raise TurnFailedError(may_have_run("owner_changed")) from error
            self._start_is_durable_elsewhere = True
        except TimeoutError as error:
            raise TurnFailedError(may_have_run("record_not_kept")) from error

    async def _settle_at_owner(
        self, record: Record, left_ms: int, *, budget_tokens: int | None = None
    ) -> bool:
        return await self._context.settle_at_owner(
            self._owned.partition, record, budget_tokens, left_ms
        )
