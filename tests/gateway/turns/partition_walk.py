"""A random walk of real owners over one partition of a faulty store, checked by an oracle.

The oracle records what callers received: the tokens of each program, and the text of each turn that
was reported as complete. Owners act at any time, even long after they were fenced.
"""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple
from typing import TypeVar
from typing import cast

from quincespool.gateway.store.hedged_requests import HedgedRequests
from quincespool.gateway.store.interface import ExpiredError
from quincespool.gateway.store.interface import FencedError
from quincespool.gateway.store.interface import Page
from quincespool.gateway.store.interface import Partition
from quincespool.gateway.store.interface import SequenceError
from quincespool.gateway.store.interface import StoreError
from quincespool.gateway.turns.ledger import Admission
from quincespool.gateway.turns.partition import OwnedPartition
from quincespool.gateway.turns.records import TurnBroken
from quincespool.gateway.turns.records import TurnEnded
from quincespool.gateway.turns.records import TurnStarted
from quincespool.gateway.turns.settlement import LostPartitionError
from quincespool.gateway.turns.settlement import Settlement

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Coroutine

    from quincespool.gateway.store.interface import Store
    from quincespool.gateway.turns.records import Record

T = TypeVar("T")

PARTITION = Partition("programs.0", 0)
PROGRAMS = tuple(f"p{number}" for number in range(4))
BUDGET_TOKENS = 400
MAX_TOKENS = 30
RETENTION_MS = 60_000
MAX_OWNERS = 3
MAX_TURNS = 8
# Programs are replaced after this many steps, since all budgets would be spent soon otherwise.
ROUND_STEPS = 400


class Faults(NamedTuple):
    """Shares of the requests to the store that fail.

    Refused ones are not applied; lost ones are applied at once and delayed ones later, unanswered.
    """

    refused: float = 0.05
    lost: float = 0.08
    delayed: float = 0.08


class _Append(NamedTuple):
    records: list[bytes]
    epoch: int
    sequence: int


class FaultyStore:
    """One partition with the store's rules for writers; answers get lost, appends are delayed."""

    def __init__(self, chance: random.Random, faults: Faults) -> None:
        self.refuses_all = False
        self._chance = chance
        self._faults = faults
        self._records: list[bytes] = []
        self._first_offset = 0
        self._epoch = -1
        self._next_sequence: int | None = None
        self._ends: dict[int, int] = {}
        self._delayed: list[_Append] = []

    async def append(
        self, partition: Partition, records: list[bytes], *, epoch: int, sequence: int
    ) -> int:
        """See `Store.append`."""
        del partition
        await self._pause()
        append = _Append(records, epoch, sequence)
        draw = self._chance.random()
        if self.refuses_all or draw < self._faults.refused:
            raise StoreError("refused", refused=True)
        if draw < self._faults.refused + self._faults.delayed:
            self._delayed.append(append)
            raise StoreError("unanswered", refused=False)
        if draw < self._faults.refused + self._faults.delayed + self._faults.lost:
            self._apply_unanswered(append)
            raise StoreError("unanswered", refused=False)
        end = self._apply(append)
        await self._pause()
        return end

    async def read(self, partition: Partition, from_offset: int) -> Page:
        """See `Store.read`; pages are short and may be stale when they arrive."""
        del partition
        await self._pause()
        if self.refuses_all or self._chance.random() < self._faults.refused:
            raise StoreError("refused", refused=True)
        if from_offset < self._first_offset:
            raise ExpiredError(self._first_offset)
        start = from_offset - self._first_offset
        size = self._chance.randint(1, 200)
        page = Page(self._end, self._records[start : start + size])
        await self._pause()
        return page

    def apply_late(self) -> None:
        """Applies one of the delayed appends, chosen at random."""
        if self._delayed:
            self._apply_unanswered(self._delayed.pop(self._chance.randrange(len(self._delayed))))

    def delete_all(self) -> None:
        """Deletes all records, as after their retention."""
        self._first_offset = self._end
        self._records.clear()

    @property
    def _end(self) -> int:
        return self._first_offset + len(self._records)

    async def _pause(self) -> None:
        for _ in range(self._chance.randint(0, 3)):
            await asyncio.sleep(0)

    def _apply_unanswered(self, append: _Append) -> None:
        try:
            self._apply(append)
        except (FencedError, SequenceError):
            # The owner got no answer to this request.
            return

    def _apply(self, append: _Append) -> int:
        if append.epoch < self._epoch:
            raise FencedError
        if append.epoch > self._epoch:
            self._epoch, self._next_sequence = append.epoch, None
            self._ends.clear()
        if not append.records:
            return self._end
        if append.sequence in self._ends:
            return self._ends[append.sequence]
        if self._next_sequence is not None and append.sequence != self._next_sequence:
            raise SequenceError(self._next_sequence)
        self._records += append.records
        self._next_sequence = append.sequence + 1
        self._ends[append.sequence] = self._end
        return self._end


class _SingleCalls:
    """Sends each request once, in place of `HedgedRequests`."""

    async def first_answer(self, call: Callable[[], Coroutine[Any, Any, T]]) -> T:
        return await call()

    async def pause(self, seconds: float) -> None:
        await asyncio.sleep(seconds)


class PartitionWalk:
    """A random walk with checks.

    Attributes:
      steps: Number of actions so far.
      complete_answers: Number of turns that were reported as complete.
      absent_answers: Number of turns that were reported as not existing.
      unrecorded_turns: Number of turns that issued tokens before their start was durable.
      retired_owners: Number of owners that were retired.
      complete_after_retirement: Number of complete turns at retired owners.
    """

    def __init__(
        self,
        seed: int,
        faults: Faults | None = None,
        *,
        issues_unrecorded: bool = False,
        hedges: bool = False,
    ) -> None:
        """Prepares a walk; the seed determines all random choices.

        If `issues_unrecorded`, owners issue tokens while the store is unreachable. A budget may
        then be exceeded by one turn, as the next owner may never learn of these tokens. If
        `hedges`, requests are hedged, so that copies of a request race one another.
        """
        self._issues_unrecorded = issues_unrecorded
        self._bound_tokens = BUDGET_TOKENS + (MAX_TOKENS if issues_unrecorded else 0)
        self.steps = 0
        self.complete_answers = 0
        self.absent_answers = 0
        self.unrecorded_turns = 0
        self.retired_owners = 0
        self.complete_after_retirement = 0
        self._chance = random.Random(seed)
        self._store = FaultyStore(self._chance, faults or Faults())
        self._owners: list[OwnedPartition] = []
        self._epoch = 0
        self._turns: set[asyncio.Task[None]] = set()
        self._error: BaseException | None = None
        self._hedges = hedges
        self._hedged: HedgedRequests | _SingleCalls
        self._turn_count = 0
        self._round = 0
        self._received_tokens: dict[str, int] = {}
        self._texts: dict[str, dict[str, bytes]] = {}

    async def run(self, steps: int) -> None:
        """Takes a number of steps; raises AssertionError if a guarantee to callers is violated."""
        self._hedged = HedgedRequests(on_hedge=lambda: None) if self._hedges else _SingleCalls()
        while self.steps < steps:
            self.steps += 1
            self._step()
            if self.steps % ROUND_STEPS == 0:
                await self._end_round()
            for _ in range(self._chance.randint(0, 4)):
                await asyncio.sleep(0)
            if self._error is not None:
                raise self._error
        await self._end_round()
        for owned in self._owners:
            owned.mark_lost("over")

    def _step(self) -> None:
        draw = self._chance.random()
        if draw < 0.03 or not self._owners:
            self._take_over()
        elif draw < 0.05:
            self._store.refuses_all = not self._store.refuses_all
        elif draw < 0.06:
            self._retire()
        elif draw < 0.15:
            self._store.apply_late()
        elif len(self._turns) < MAX_TURNS:
            self._spawn_turn()

    def _take_over(self) -> None:
        self._epoch += 1
        owned = OwnedPartition(
            PARTITION,
            epoch=self._epoch,
            store=cast("Store", self._store),
            hedged=cast("HedgedRequests", self._hedged),
            on_change=lambda owned, detail: None,
        )
        self._owners.append(owned)
        if len(self._owners) > MAX_OWNERS:
            self._owners.pop(0).mark_lost("killed")

    def _retire(self) -> None:
        """Retires the newest owner, perhaps while it reads; it writes until the next takeover."""
        newest = self._owners[-1]
        if not newest.lost and not newest.retired:
            newest.retire("leaves")
            self.retired_owners += 1

    def _spawn_turn(self) -> None:
        ready = [one for one in self._owners if one.ready and not one.retired]
        if not ready:
            return
        # Mostly the newest owner; callers may still be connected to one that was fenced.
        owned = ready[-1] if self._chance.random() < 0.7 else self._chance.choice(ready)
        program = f"{self._chance.choice(PROGRAMS)}.{self._round}"
        self._turn_count += 1
        work = self._turn(owned, program, f"t{self._turn_count}")
        task = asyncio.get_running_loop().create_task(work)
        self._turns.add(task)
        task.add_done_callback(self._end_turn)

    def _end_turn(self, task: asyncio.Task[None]) -> None:
        self._turns.discard(task)
        self._error = self._error or task.exception()

    async def _turn(self, owned: OwnedPartition, program: str, turn: str) -> None:
        complete = dict(self._texts.get(program, {}))
        previous = self._chance.choice(["", *complete, "nonsense"])
        admission = owned.ledger.admit(
            program_id=program,
            previous_id=previous,
            budget_tokens=BUDGET_TOKENS,
            max_tokens=MAX_TOKENS,
        )
        if admission is not Admission.ADMITTED:
            await self._refuse(owned, admission, previous, complete)
            return
        if previous:
            assert owned.ledger.history(program, previous) == complete[previous]
        start = TurnStarted(turn, program, MAX_TOKENS, 0)
        unrecorded = owned.unrecorded
        may_defer = unrecorded.is_allowed(program) and unrecorded.is_fully_recorded(program)
        defers = self._issues_unrecorded and not owned.stalled and may_defer
        issues_unrecorded = self._issues_unrecorded and (owned.stalled or defers)
        if not issues_unrecorded and not await self._append_durably(owned, start):
            return
        tokens = self._chance.randint(0, MAX_TOKENS)
        start_durable = None
        if issues_unrecorded:
            start_durable = self._begin_unrecorded(owned, start, tokens, urgent=not defers)
            if start_durable is None:
                return
        spent_tokens = self._received_tokens.get(program, 0) + tokens
        self._received_tokens[program] = spent_tokens
        assert spent_tokens <= self._bound_tokens
        await asyncio.sleep(0)
        if self._chance.random() < 0.2:
            durable = owned.submit(TurnBroken(turn, program, tokens, 0))
            if issues_unrecorded:
                await self._settle_broken(start, TurnBroken(turn, program, tokens, 0), durable)
            return
        text = turn.encode()
        ended = TurnEnded(turn, program, previous, text, b"!", tokens, RETENTION_MS, 0)
        # In this order, so that the end releases the tokens that the start has reserved.
        ended_durable = owned.submit(ended)
        if start_durable is not None and not await self._await_durable(
            start_durable, start, has_output=True
        ):
            return
        if await self._await_durable(ended_durable, ended):
            self.complete_answers += 1
            self.complete_after_retirement += owned.retired and not owned.lost
            program_texts = self._texts.setdefault(program, {})
            program_texts[turn] = complete.get(previous, b"") + text + b"!"

    def _begin_unrecorded(
        self, owned: OwnedPartition, start: TurnStarted, tokens: int, *, urgent: bool
    ) -> asyncio.Future[None] | None:
        """Issues tokens before the start is durable; returns its future, None if not allowed."""
        unrecorded = owned.unrecorded
        if not unrecorded.may_start_turn(start.program_id, MAX_TOKENS):
            return None
        if not unrecorded.try_issue(start.program_id, tokens, MAX_TOKENS):
            return None
        self.unrecorded_turns += 1
        return owned.submit(start, urgent=urgent)

    async def _settle_broken(
        self, start: TurnStarted, broken: TurnBroken, durable: asyncio.Future[None]
    ) -> None:
        try:
            await durable
        except LostPartitionError:
            newest = self._owners[-1]
            if await self._append_durably(newest, start, has_output=True):
                await self._append_durably(newest, broken)

    async def _refuse(
        self, owned: OwnedPartition, admission: Admission, previous: str, complete: dict[str, bytes]
    ) -> None:
        try:
            await owned.confirm()
        except (LostPartitionError, StoreError):
            return
        if admission is Admission.NO_SUCH_TURN:
            self.absent_answers += 1
            assert previous not in complete

    async def _append_durably(
        self, owned: OwnedPartition, record: Record, *, has_output: bool = False
    ) -> bool:
        """Appends a record, at the newest owner if its own one has lost the partition."""
        return await self._await_durable(owned.submit(record), record, has_output=has_output)

    async def _await_durable(
        self, durable: asyncio.Future[None], record: Record, *, has_output: bool = False
    ) -> bool:
        try:
            await asyncio.shield(durable)
        except LostPartitionError:
            newest = self._owners[-1]
            budget_tokens = None if has_output else BUDGET_TOKENS
            settled = await newest.settle(record, budget_tokens=budget_tokens)
            return settled is Settlement.DURABLE
        return True

    async def _end_round(self) -> None:
        """Waits for all turns; checks that a new owner then has each turn reported as complete."""
        self._store.refuses_all = False
        self._take_over()
        newest = self._owners[-1]
        await newest.ready_event.wait()
        while self._turns:
            await asyncio.wait(self._turns)
        for program, texts in self._texts.items():
            for turn, text in texts.items():
                assert newest.ledger.history(program, turn) == text
        self._round += 1
        self._texts.clear()
        for owned in self._owners:
            owned.ledger.expire(10 * RETENTION_MS, grace_ms=0)
        self._store.delete_all()
