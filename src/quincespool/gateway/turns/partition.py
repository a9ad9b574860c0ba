"""A partition that this daemon owns: its ledger and the single writer of its records."""

from __future__ import annotations

import asyncio
import contextlib
import time
from typing import TYPE_CHECKING
from typing import Any

from quincespool.gateway.clock import now_ms
from quincespool.gateway.first_seen import FirstSeen
from quincespool.gateway.futures import ignore_error
from quincespool.gateway.futures import report_exception
from quincespool.gateway.store.interface import ExpiredError
from quincespool.gateway.store.interface import FencedError
from quincespool.gateway.store.interface import SequenceError
from quincespool.gateway.store.interface import StoreError
from quincespool.gateway.turns.coalesced_request import CoalescedRequest
from quincespool.gateway.turns.ledger import Admission
from quincespool.gateway.turns.ledger import Ledger
from quincespool.gateway.turns.log_extent import LogExtent
from quincespool.gateway.turns.page_replay import replay_page
from quincespool.gateway.turns.records import HistoryPart
from quincespool.gateway.turns.records import TurnStarted
from quincespool.gateway.turns.records import encode_record
from quincespool.gateway.turns.settlement import LostPartitionError
from quincespool.gateway.turns.settlement import Settlement
from quincespool.gateway.turns.unrecorded_tokens import UnrecordedTokens
from quincespool.gateway.turns.waiting_records import WaitingRecord
from quincespool.gateway.turns.waiting_records import history_parts
from quincespool.gateway.turns.waiting_records import replaced_count

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Coroutine
    from collections.abc import Iterator

    from quincespool.gateway.store.hedged_requests import HedgedRequests
    from quincespool.gateway.store.interface import Partition
    from quincespool.gateway.store.interface import Store
    from quincespool.gateway.turns.records import Record

# A failed append is retried after this pause. The pause doubles up to MAX_RETRY_S and ends early
# when any other request shows that the store is reachable again.
FIRST_RETRY_S = 0.05
MAX_RETRY_S = 0.4
# Pause before giving up a partition after a fault in reading it: the next read probably fails too.
FAULT_PAUSE_S = 1.0
# Maximum size of one append, well below the platform's limit of two megabytes per call.
MAX_BATCH_BYTES = 1_000_000


class OwnedPartition:
    """Appends records under one epoch, one batch at a time, in the order of their submission.

    Attributes:
      partition: Topic and number of the partition.
      since_ms: Monotonic clock (ms) at which this daemon began to take the partition over.
      epoch: Fencing epoch of all appends. The next owner uses a higher one; from then on the store
        rejects every append under this one, however late it arrives.
      ledger: The state after all submitted records, including those that are not durable yet.
      had_records: Whether the partition had records when it was taken over.
      ready: Whether all existing records are read, so that turns may be served.
      lost: Whether this daemon no longer owns the partition; nothing is written any more.
      retired: Whether no new turns are accepted and records are written only for turns in progress.
      stalled: Whether the last append or read failed.
      unrecorded: Tokens that callers received and that no durable record accounts for.
    """

    def __init__(
        self,
        partition: Partition,
        *,
        epoch: int,
        store: Store,
        hedged: HedgedRequests,
        on_change: Callable[[OwnedPartition, str], None],
    ) -> None:
        self.partition = partition
        self.since_ms = now_ms()
        self.epoch = epoch
        self.ledger = Ledger()
        self.had_records = False
        self.ready = False
        self.lost = False
        self.retired = False
        self.stalled = False
        self.ready_event = asyncio.Event()
        self.unrecorded = UnrecordedTokens()
        self._extent = LogExtent()
        self._end_first_seen = FirstSeen()
        self._store = store
        self._hedged = hedged
        self._on_change = on_change
        self._sequence = 0
        self._open_turns = 0
        self._confirmation = CoalescedRequest(self._confirm_with_store)
        self._waiting: list[WaitingRecord] = []
        # Records not known to be durable when ownership was lost, and those submitted later.
        self._unconfirmed: list[WaitingRecord] = []
        self._wake = asyncio.Event()
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def append_durably(self, record: Record) -> None:
        """Appends a record and returns once it is durable.

        Cancelling the call does not withdraw the record.

        Raises:
          LostPartitionError: if the partition is lost before the record is durable.
        """
        await asyncio.shield(self.submit(record))

    async def settle(self, record: Record, *, budget_tokens: int | None) -> Settlement:
        """Appends a record of a turn that an earlier owner admitted before it was fenced.

        This owner has not counted the turn so far and may have allocated the rest of the budget to
        other turns, so the start of a turn is checked against the budget again. Without the check,
        two such starts could exceed the budget by more than one turn.

        Args:
          record: Record of the turn.
          budget_tokens: Token budget of the program, None if it has none.
        """
        if not self.ready:
            return Settlement.NOT_HERE
        if isinstance(record, TurnStarted):
            admission = self.ledger.readmit(record, budget_tokens=budget_tokens)
            if admission is Admission.OVER_BUDGET:
                return Settlement.OVER_BUDGET
        try:
            await self.append_durably(record)
        except LostPartitionError:
            return Settlement.NOT_HERE
        return Settlement.DURABLE

    def submit(self, record: Record, *, urgent: bool = True) -> asyncio.Future[None]:
        """Queues a record to be appended; the returned future completes when it is durable.

        Args:
          record: Record to append; the ledger includes it from now on.
          urgent: Whether to append it at once, else in one request with the next urgent record.
        """
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        # If nobody awaits the future any more, asyncio must not report an unretrieved exception.
        future.add_done_callback(ignore_error)
        replaces = replaced_count(record)
        waiting = WaitingRecord(encode_record(record), record.program_id, future, urgent, replaces)
        if self.lost:
            self._unconfirmed.append(waiting)
            future.set_exception(LostPartitionError())
            return future
        # Applied before it is durable: two turns that arrive at the same moment must not both get
        # budget that is left for only one. Later records follow this one in the log, so a daemon
        # that reads them arrives at the same state; if this one is never appended, nor are they.
        self.ledger.apply(record)
        self._waiting.append(waiting)
        if urgent:
            self._wake.set()
        return future

    def unconfirmed_history(self, program_id: str) -> list[HistoryPart]:
        """Returns history records of a program that the next owner may not have read."""
        return history_parts(self._unconfirmed, program_id)

    def flush(self) -> None:
        """Makes all waiting records urgent, so that they are appended at once."""
        self._waiting = [one._replace(urgent=True) for one in self._waiting]
        self._wake.set()

    async def confirm(self) -> None:
        """Returns once the store has confirmed that no other daemon has taken the partition over.

        Raises:
          LostPartitionError: if this daemon no longer owns the partition.
          StoreError: if the store does not answer.
        """
        self._check_ownership()
        await self._confirmation.run()
        # The store confirms the epoch until a takeover, even if this daemon has lost the partition.
        self._check_ownership()

    def _check_ownership(self) -> None:
        if self.lost:
            raise LostPartitionError

    async def _confirm_with_store(self) -> None:
        try:
            await self._hedged.first_answer(lambda: self._send([]))
        except FencedError:
            self.mark_lost("fenced")

    def expire(self, wall_ms: int, *, steady_ms: int, grace_ms: int) -> None:
        """Removes programs that can no longer be continued; see `Ledger.expire`."""

        def observed_ms(program_id: str, kept_until_ms: int) -> int:
            return self._end_first_seen.age_ms(program_id, kept_until_ms, steady_ms)

        if self.ledger.expire(wall_ms, grace_ms=grace_ms, observed_ms=observed_ms):
            self.unrecorded.retain_only(self.ledger.programs)
            self._end_first_seen.retain(self.ledger.programs)

    def trimmable_before(self, least_bytes: int) -> int | None:
        """Returns the offset before which no record is needed.

        Args:
          least_bytes: None is returned if trimming would free fewer bytes than this.
        """
        if not self.ready:
            return None
        return self._extent.trimmable_before(self.ledger.programs, least_bytes=least_bytes)

    async def trim(self, before: int) -> None:
        """Deletes the records before an offset that `trimmable_before` has returned.

        Raises:
          LostPartitionError: if this daemon no longer owns the partition.
          StoreError: if the store does not answer.
        """
        # The store does not fence trim requests. A fenced owner may consider programs expired that
        # continue at the next owner, so ownership is confirmed first. Records not needed before
        # that are not needed later, unless a program is continued after its retention.
        await self.confirm()
        await self._store.trim(self.partition, before)
        self._extent.drop_before(before)

    @property
    def idle(self) -> bool:
        """Whether no record waits to be appended."""
        return not self._waiting

    @property
    def in_use(self) -> bool:
        """Whether the partition is not lost and has turns in progress or waiting records."""
        return not self.lost and (self._open_turns > 0 or not self.idle)

    def may_be_needed_by_last_owner(self, since_ms: int) -> bool:
        """Whether turns of an owner that this one has fenced may still need it as a writer.

        Args:
          since_ms: Monotonic clock (ms); such turns have ended if the takeover began before.
        """
        # Until the partition is read, it is not known whether there was another owner.
        return self.since_ms > since_ms and (self.had_records or not self.ready)

    @contextlib.contextmanager
    def turn_in_progress(self) -> Iterator[None]:
        """Counts a turn as in progress while the context is open."""
        self._open_turns += 1
        try:
            yield
        finally:
            self._open_turns -= 1

    def retire(self, reason: str) -> None:
        """Stops accepting turns; records of open turns are written until another daemon takes over.

        Appends are fenced by the epoch, not by membership in the group of owners. There may be no
        other daemon to take over, and the next owner reads everything appended before its takeover.
        A partition that is still being read is read to its end: its last owner may be fenced, and
        this daemon is then the only one that can write records of that owner's turns.
        """
        self.retired = True
        self.flush()
        self._on_change(self, reason)

    def mark_lost(self, reason: str) -> None:
        """Marks ownership as lost and stops writing; waiting records fail."""
        if self.lost:
            return
        self.lost = True
        self.ready = False
        self.ready_event.set()
        if self._task is not asyncio.current_task():
            self._task.cancel()
        for waiting in self._waiting:
            if not waiting.durable.done():
                waiting.durable.set_exception(LostPartitionError())
        self._on_change(self, reason)
        self._unconfirmed += self._waiting
        self._waiting.clear()

    def dump(self) -> dict[str, object]:
        """Returns the state for diagnostics."""
        return {
            "topic": self.partition.topic,
            "number": self.partition.number,
            "epoch": self.epoch,
            "ready": self.ready,
            "retired": self.retired,
            "stalled": self.stalled,
            "waiting_records": len(self._waiting),
            "programs": len(self.ledger.programs),
        }

    async def _run(self) -> None:
        try:
            await self._take_over()
            while True:
                await self._wake.wait()
                self._wake.clear()
                while any(one.urgent for one in self._waiting):
                    await self._append_batch()
        except FencedError:
            self.mark_lost("fenced")
        except SequenceError as error:
            # Only this task appends under this epoch, so sequence numbers can differ only if the
            # store has lost its state of the writer. A new takeover reads the stored records.
            self.mark_lost(f"sequence {error.expected} expected, {self._sequence} sent")
        except Exception as error:
            # Appends end with this task. A takeover by any daemon starts from the stored records.
            report_exception("partition failed", error)
            if not self.ready:
                await asyncio.sleep(FAULT_PAUSE_S)
            self.mark_lost(f"failed: {error!r}")

    async def _take_over(self) -> None:
        """Fences off the previous owner with an empty append, then reads all records."""
        started_s = time.monotonic()
        end_offset = await self._append([])
        self.had_records = end_offset > 0
        offset = 0
        while offset < end_offset:
            offset = await self._read_from(offset)
        self.unrecorded.mark_inherited(self.ledger.programs)
        self.ready = True
        self.ready_event.set()
        took_ms = int((time.monotonic() - started_s) * 1000)
        self._on_change(self, f"read {end_offset} records in {took_ms} ms")

    async def _read_from(self, offset: int) -> int:
        try:
            # Not hedged: all reads share the store's bandwidth, and after a restart of all daemons
            # duplicate requests for a page in flight would delay every other page.
            page = await self._store.read(self.partition, offset)
            if not page.records:
                raise StoreError(f"no record at {offset}", refused=False)
        except ExpiredError as error:
            return max(offset + 1, error.first_offset)
        except StoreError:
            self.stalled = True
            await self._hedged.pause(FIRST_RETRY_S)
            return offset
        self.stalled = False
        for detail in replay_page(page, offset, ledger=self.ledger, extent=self._extent):
            self._on_change(self, detail)
        return offset + len(page.records)

    async def _append_batch(self) -> None:
        batch: list[WaitingRecord] = []
        size_bytes = 0
        for waiting in self._waiting:
            if batch and size_bytes + len(waiting.data) > MAX_BATCH_BYTES:
                break
            batch.append(waiting)
            size_bytes += len(waiting.data)
        end_offset = await self._append([waiting.data for waiting in batch])
        del self._waiting[: len(batch)]
        for offset, waiting in enumerate(batch, start=end_offset - len(batch)):
            size_bytes = len(waiting.data)
            self._extent.add_record(
                offset, waiting.program_id, size_bytes, replaces=waiting.replaces
            )
            self.unrecorded.mark_recorded(waiting.program_id)
            if not waiting.durable.done():
                waiting.durable.set_result(None)
        self._extent.add_mark(end_offset)
        still_waiting = {waiting.program_id for waiting in self._waiting}
        self.unrecorded.mark_all_recorded({waiting.program_id for waiting in batch} - still_waiting)

    async def _append(self, records: list[bytes]) -> int:
        """Appends records, retrying until the store has answered.

        Retries carry the same sequence number, by which the store detects duplicates.
        """
        pause_s = FIRST_RETRY_S
        while True:
            try:
                end_offset = await self._hedged.first_answer(lambda: self._send(records))
            except (FencedError, SequenceError):
                raise
            except StoreError as error:
                if not self.stalled:
                    self._on_change(self, f"append stalled: {error}")
                self.stalled = True
                await self._hedged.pause(pause_s)
                pause_s = min(2 * pause_s, MAX_RETRY_S)
                continue
            self.stalled = False
            if records:
                self._sequence += 1
            return end_offset

    def _send(self, records: list[bytes]) -> Coroutine[Any, Any, int]:
        return self._store.append(
            self.partition, records, epoch=self.epoch, sequence=self._sequence
        )
