"""One partition that this daemon owns: its ledger, and the only writer to its records."""

from __future__ import annotations

import asyncio
import contextlib
import time
from typing import TYPE_CHECKING
from typing import Any

import msgspec

from quincespool.gateway.clock import now_ms
from quincespool.gateway.first_seen import FirstSeen
from quincespool.gateway.futures import ignore_error
from quincespool.gateway.futures import report_exception
from quincespool.gateway.store.interface import ExpiredError
from quincespool.gateway.store.interface import FencedError
from quincespool.gateway.store.interface import SequenceError
from quincespool.gateway.store.interface import StoreError
from quincespool.gateway.turns.confirmation import SharedQuestion
from quincespool.gateway.turns.ledger import Admission
from quincespool.gateway.turns.ledger import HistoryPart
from quincespool.gateway.turns.ledger import Ledger
from quincespool.gateway.turns.ledger import TurnStarted
from quincespool.gateway.turns.ledger import decode_record
from quincespool.gateway.turns.ledger import encode_record
from quincespool.gateway.turns.log_extent import LogExtent
from quincespool.gateway.turns.settlement import LostPartitionError
from quincespool.gateway.turns.settlement import Settlement
from quincespool.gateway.turns.uncertain import UncertainTokens
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
    from quincespool.gateway.turns.ledger import Record

# An append that the store turned away is sent again after this pause, doubling up to the second
# figure, and at once when any other request shows that the store is back.
FIRST_RETRY_S = 0.05
MAX_RETRY_S = 0.4
# A fault in reading a partition is likely to come again when it is read again.
FAULT_PAUSE_S = 1.0
# A batch stays well under the platform's two megabytes a call.
MAX_BATCH_BYTES = 1_000_000


class OwnedPartition:
    """Writes under one epoch, one batch at a time, in the order in which records were handed over.

    Attributes:
      partition: Which one.
      since_ms: Steady clock at which it was taken over.
      epoch: Under which it writes; a daemon that takes the partition over uses a higher one, after
        which nothing of this one is appended any more, however late it arrives.
      ledger: The state after all records, those on their way included.
      inherits: Whether there were records when it took over.
      ready: Whether it has read all records and may serve.
      lost: Whether another daemon has taken over.
      retired: Whether it takes no more turns, and only writes for those under way.
      stalled: Whether the last append was not acknowledged.
      uncertain: What was handed out meanwhile.
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
        self.inherits = False
        self.ready = False
        self.lost = False
        self.retired = False
        self.stalled = False
        self.ready_event = asyncio.Event()
        self.uncertain = UncertainTokens()
        self._extent = LogExtent()
        self._seen = FirstSeen()
        self._store = store
        self._hedged = hedged
        self._on_change = on_change
        self._sequence = 0
        self._turns = 0
        self._confirmation = SharedQuestion(self._ask_store)
        self._waiting: list[WaitingRecord] = []
        # Handed over and not known to be kept when the partition was lost.
        self._unkept: list[WaitingRecord] = []
        self._wake = asyncio.Event()
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def keep(self, record: Record) -> None:
        """Returns once the record is durable.

        A caller that stops waiting does not take the record back.

        Raises:
          LostPartitionError: if another daemon has taken the partition over first.
        """
        await asyncio.shield(self.submit(record))

    async def settle(self, record: Record, *, budget_tokens: int | None) -> Settlement:
        """Keeps a record of a turn that was admitted by an owner shut out since.

        A start counts here from now on only; turns that this owner has admitted meanwhile may have
        used the budget up. Kept unseen, two such starts hand out more than the budget and one turn.
        """
        if not self.ready:
            return Settlement.NOT_HERE
        if isinstance(record, TurnStarted):
            admission = self.ledger.admit_again(record, budget_tokens=budget_tokens)
            if admission is Admission.OVER_BUDGET:
                return Settlement.OVER_BUDGET
        try:
            await self.keep(record)
        except LostPartitionError:
            return Settlement.NOT_HERE
        return Settlement.KEPT

    def submit(self, record: Record, *, urgent: bool = True) -> asyncio.Future[None]:
        """Hands a record over; the future tells when it is kept.

        Args:
          record: Counts here from now on.
          urgent: Whether it is appended at once. One that is not goes with the next one that is, so
            that both cost one request to the store.
        """
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        # Nobody may wait for the outcome any more; that is no forgotten error.
        future.add_done_callback(ignore_error)
        replaces = replaced_count(record)
        waiting = WaitingRecord(encode_record(record), record.program_id, future, urgent, replaces)
        if self.lost:
            self._unkept.append(waiting)
            future.set_exception(LostPartitionError())
            return future
        # Folded in at once: two turns that come at the same moment must not both find the budget
        # that is left for one. What follows stands behind this record in the log, so a daemon that
        # reads it later decides alike; if this one is never kept, neither is what follows.
        self.ledger.apply(record)
        self._waiting.append(waiting)
        if urgent:
            self._wake.set()
        return future

    def unkept_parts(self, program_id: str) -> list[HistoryPart]:
        """Returns pieces of a program's history that the next owner perhaps has not."""
        return history_parts(self._unkept, program_id)

    def flush(self) -> None:
        """Has everything appended that waits for a more urgent record."""
        self._waiting = [one._replace(urgent=True) for one in self._waiting]
        self._wake.set()

    async def confirm(self) -> None:
        """Returns once the store has said that nobody has taken the partition over.

        Raises:
          LostPartitionError: if somebody has.
          StoreError: if the store does not say.
        """
        self._check_not_lost()
        await self._confirmation.ask()
        # While nobody has taken it over, the store says so of a partition that was lost here too.
        self._check_not_lost()

    def _check_not_lost(self) -> None:
        if self.lost:
            raise LostPartitionError

    async def _ask_store(self) -> None:
        try:
            await self._hedged.first_answer(lambda: self._send([]))
        except FencedError:
            self.lose("fenced")

    def expire(self, wall_ms: int, *, steady_ms: int, grace_ms: int) -> None:
        """Forgets programs that can no longer be continued; see `Ledger.expire`."""

        def known_ms(program_id: str, kept_until_ms: int) -> int:
            return self._seen.age_ms(program_id, kept_until_ms, steady_ms)

        if self.ledger.expire(wall_ms, grace_ms=grace_ms, known_ms=known_ms):
            self.uncertain.forget_others(self.ledger.programs)
            self._seen.retain(self.ledger.programs)

    def needless_before(self, least_bytes: int) -> int | None:
        """Returns the offset before which no record is needed, None if that frees too little."""
        if not self.ready:
            return None
        return self._extent.needless_before(self.ledger.programs, least_bytes=least_bytes)

    async def trim(self, before: int) -> None:
        """Deletes the records before an offset that `needless_before` has returned.

        Raises:
          LostPartitionError: if another daemon has taken the partition over.
          StoreError: if the store does not answer.
        """
        # Trimming is not fenced, and programs that an owner shut out long ago takes for over may go
        # on at the next one. What was needless before the store confirms the owner stays so, except
        # for a program that comes back after its retention.
        await self.confirm()
        await self._store.trim(self.partition, before)
        self._extent.trimmed(before)

    @property
    def idle(self) -> bool:
        """Whether nothing waits to be appended."""
        return not self._waiting

    @property
    def in_use(self) -> bool:
        """Whether turns under way, or what they have handed over, need it."""
        return not self.lost and (self._turns > 0 or not self.idle)

    @contextlib.contextmanager
    def turn_under_way(self) -> Iterator[None]:
        """Counts a turn while it runs."""
        self._turns += 1
        try:
            yield
        finally:
            self._turns -= 1

    def retire(self, reason: str) -> None:
        """Has it write on, for turns under way, until another daemon has taken over.

        The epoch is the fence, not membership in the group: nobody may be there to take over, and
        what is appended before somebody does is read by whoever it is.
        """
        if not self.ready:
            self.lose(reason)
            return
        self.retired = True
        self.flush()
        self._on_change(self, reason)

    def lose(self, reason: str) -> None:
        """Stops writing; whatever waits fails."""
        if self.lost:
            return
        self.lost = True
        self.ready = False
        self.ready_event.set()
        if self._task is not asyncio.current_task():
            self._task.cancel()
        for waiting in self._waiting:
            if not waiting.kept.done():
                waiting.kept.set_exception(LostPartitionError())
        self._on_change(self, reason)
        self._unkept += self._waiting
        self._waiting.clear()

    def dump(self) -> dict[str, object]:
        """Returns the state for people to read."""
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
            self.lose("fenced")
        except SequenceError as error:
            # Only this task appends under this epoch, so the sequence can differ only if the store
            # has forgotten the writer; a new take-over reads what is there.
            self.lose(f"sequence {error.expected} expected, {self._sequence} sent")
        except Exception as error:
            # Whoever takes the partition over begins anew; nothing would be written here any more.
            report_exception("partition failed", error)
            if not self.ready:
                await asyncio.sleep(FAULT_PAUSE_S)
            self.lose(f"failed: {error!r}")

    async def _take_over(self) -> None:
        """Shuts the last owner out, then reads everything that it has written."""
        started_s = time.monotonic()
        end_offset = await self._append([])
        self.inherits = end_offset > 0
        offset = 0
        while offset < end_offset:
            offset = await self._read_from(offset)
        self.uncertain.inherit(self.ledger.programs)
        self.ready = True
        self.ready_event.set()
        took_ms = int((time.monotonic() - started_s) * 1000)
        self._on_change(self, f"read {end_offset} records in {took_ms} ms")

    async def _read_from(self, offset: int) -> int:
        try:
            # Sent once: all reads share the store's bandwidth, and after a restart of all daemons
            # copies of a page that is on its way would hold every other page up.
            page = await self._store.read(self.partition, offset)
        except ExpiredError as error:
            return max(offset + 1, error.first_offset)
        except StoreError:
            self.stalled = True
            await self._hedged.pause(FIRST_RETRY_S)
            return offset
        self.stalled = False
        for position, data in enumerate(page.records, start=offset):
            try:
                record = decode_record(data)
                self.ledger.apply(record)
                replaces = replaced_count(record)
                self._extent.note(position, record.program_id, len(data), replaces=replaces)
            except msgspec.DecodeError as error:
                self._extent.note_unknown(position)
                # A record of a version that this one does not know; its turn can't be continued
                # here, and the log line is the only sign.
                self._on_change(self, f"undecodable record: {error}")
        self._extent.mark(offset + len(page.records))
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
            self._extent.note(offset, waiting.program_id, size_bytes, replaces=waiting.replaces)
            self.uncertain.kept(waiting.program_id)
            if not waiting.kept.done():
                waiting.kept.set_result(None)
        self._extent.mark(end_offset)
        on_their_way = {waiting.program_id for waiting in self._waiting}
        self.uncertain.settle({waiting.program_id for waiting in batch} - on_their_way)

    async def _append(self, records: list[bytes]) -> int:
        """Appends until the store has answered; the same sequence number makes that harmless."""
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
