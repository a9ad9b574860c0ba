"""A random walk of real owners over one partition, in a store that misbehaves, beside an oracle.

The oracle knows what callers have got: the tokens handed out of each program, and the text of each
turn that they were told is whole. Owners act at any time, also long after they were superseded.
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
from quincespool.gateway.turns.ledger import TurnBroken
from quincespool.gateway.turns.ledger import TurnEnded
from quincespool.gateway.turns.ledger import TurnStarted
from quincespool.gateway.turns.partition import OwnedPartition
from quincespool.gateway.turns.settlement import LostPartitionError
from quincespool.gateway.turns.settlement import Settlement

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Coroutine

    from quincespool.gateway.store.interface import Store
    from quincespool.gateway.turns.ledger import Record

T = TypeVar("T")

PARTITION = Partition("programs.0", 0)
PROGRAMS = tuple(f"p{number}" for number in range(4))
BUDGET_TOKENS = 400
MOST_TOKENS = 30
RETENTION_MS = 60_000
MAX_OWNERS = 3
MAX_TURNS = 8
# Programs are replaced by new ones after this many steps, or all budgets would soon be spent.
ROUND_STEPS = 400


class Faults(NamedTuple):
    """Shares of the store's requests that go wrong.

    Attributes:
      refused: Not done, and said so.
      lost: Done at once, without an answer.
      late: Done at some later time, without an answer.
    """

    refused: float = 0.05
    lost: float = 0.08
    late: float = 0.08


class _Append(NamedTuple):
    records: list[bytes]
    epoch: int
    sequence: int


class FaultyStore:
    """One partition with the store's rules for writers; answers get lost, appends come late."""

    def __init__(self, chance: random.Random, faults: Faults) -> None:
        self.refuses_all = False
        self._chance = chance
        self._faults = faults
        self._records: list[bytes] = []
        self._first_offset = 0
        self._epoch = -1
        self._next_sequence: int | None = None
        self._ends: dict[int, int] = {}
        self._late: list[_Append] = []

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
        if draw < self._faults.refused + self._faults.late:
            self._late.append(append)
            raise StoreError("unanswered", refused=False)
        if draw < self._faults.refused + self._faults.late + self._faults.lost:
            self._apply_unheard(append)
            raise StoreError("unanswered", refused=False)
        end = self._apply(append)
        await self._pause()
        return end

    async def read(self, partition: Partition, from_offset: int) -> Page:
        """See `Store.read`; pages are short and may be old when they arrive."""
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
        """Does one of the appends whose time has come."""
        if self._late:
            self._apply_unheard(self._late.pop(self._chance.randrange(len(self._late))))

    def forget(self) -> None:
        """Deletes what has been kept for long enough."""
        self._first_offset = self._end
        self._records.clear()

    @property
    def _end(self) -> int:
        return self._first_offset + len(self._records)

    async def _pause(self) -> None:
        for _ in range(self._chance.randint(0, 3)):
            await asyncio.sleep(0)

    def _apply_unheard(self, append: _Append) -> None:
        try:
            self._apply(append)
        except (FencedError, SequenceError):
            # Nobody hears of it.
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
    """Sends each request once, in the place of `HedgedRequests`."""

    async def first_answer(self, call: Callable[[], Coroutine[Any, Any, T]]) -> T:
        return await call()

    async def pause(self, seconds: float) -> None:
        await asyncio.sleep(seconds)


class PartitionWalk:
    """The walk; `steps` counts its actions.

    With `runs_on`, owners hand tokens out while the store is away; then a budget may be exceeded by
    one turn, as the next owner may never hear of these tokens. With `hedges`, copies of a request
    race one another.
    """

    def __init__(
        self,
        seed: int,
        faults: Faults | None = None,
        *,
        runs_on: bool = False,
        hedges: bool = False,
    ) -> None:
        self._runs_on = runs_on
        self._bound_tokens = BUDGET_TOKENS + (MOST_TOKENS if runs_on else 0)
        self.steps = 0
        self.told_whole = 0
        self.said_absent = 0
        self.uncertain = 0
        self.left = 0
        self.told_after_leaving = 0
        self._chance = random.Random(seed)
        self._store = FaultyStore(self._chance, faults or Faults())
        self._owners: list[OwnedPartition] = []
        self._epoch = 0
        self._turns: set[asyncio.Task[None]] = set()
        self._broken: BaseException | None = None
        self._hedges = hedges
        self._hedged: HedgedRequests | _SingleCalls
        self._turn_count = 0
        self._round = 0
        self._handed_out: dict[str, int] = {}
        self._texts: dict[str, dict[str, bytes]] = {}

    async def run(self, steps: int) -> None:
        """Takes so many steps.

        Raises:
          AssertionError: if a promise is broken.
        """
        self._hedged = HedgedRequests(on_hedge=lambda: None) if self._hedges else _SingleCalls()
        while self.steps < steps:
            self.steps += 1
            self._step()
            if self.steps % ROUND_STEPS == 0:
                await self._end_round()
            for _ in range(self._chance.randint(0, 4)):
                await asyncio.sleep(0)
            if self._broken is not None:
                raise self._broken
        await self._end_round()
        for owned in self._owners:
            owned.lose("over")

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
            self._owners.pop(0).lose("killed")

    def _retire(self) -> None:
        """Has the newest owner leave: it writes for its turns until somebody takes over."""
        newest = self._owners[-1]
        if newest.ready and not newest.retired:
            newest.retire("leaves")
            self.left += 1

    def _spawn_turn(self) -> None:
        ready = [one for one in self._owners if one.ready and not one.retired]
        if not ready:
            return
        # Mostly the newest; callers of a daemon that was superseded reach the old one.
        owned = ready[-1] if self._chance.random() < 0.7 else self._chance.choice(ready)
        program = f"{self._chance.choice(PROGRAMS)}.{self._round}"
        self._turn_count += 1
        work = self._turn(owned, program, f"t{self._turn_count}")
        task = asyncio.get_running_loop().create_task(work)
        self._turns.add(task)
        task.add_done_callback(self._end_turn)

    def _end_turn(self, task: asyncio.Task[None]) -> None:
        self._turns.discard(task)
        self._broken = self._broken or task.exception()

    async def _turn(self, owned: OwnedPartition, program: str, turn: str) -> None:
        whole = dict(self._texts.get(program, {}))
        previous = self._chance.choice(["", *whole, "nonsense"])
        admission = owned.ledger.admit(
            program_id=program,
            previous_id=previous,
            budget_tokens=BUDGET_TOKENS,
            most_tokens=MOST_TOKENS,
        )
        if admission is not Admission.FINE:
            await self._refuse(owned, admission, previous, whole)
            return
        if previous:
            assert owned.ledger.history(program, previous) == whole[previous]
        start = TurnStarted(turn, program, MOST_TOKENS, 0)
        uncertain = owned.uncertain
        may_defer = uncertain.allows(program) and uncertain.is_clear(program)
        defers = self._runs_on and not owned.stalled and may_defer
        runs_on = self._runs_on and (owned.stalled or defers)
        if not runs_on and not await self._keep(owned, start):
            return
        tokens = self._chance.randint(0, MOST_TOKENS)
        start_kept = None
        if runs_on:
            start_kept = self._begin_uncertain(owned, start, tokens, urgent=not defers)
            if start_kept is None:
                return
        spent_tokens = self._handed_out.get(program, 0) + tokens
        self._handed_out[program] = spent_tokens
        assert spent_tokens <= self._bound_tokens
        await asyncio.sleep(0)
        if self._chance.random() < 0.2:
            kept = owned.submit(TurnBroken(turn, program, tokens, 0))
            if runs_on:
                await self._settle_broken(start, TurnBroken(turn, program, tokens, 0), kept)
            return
        text = turn.encode()
        ended = TurnEnded(turn, program, previous, text, b"!", tokens, RETENTION_MS, 0)
        # Handed over in this order, so that the end counts what the start has reserved.
        ended_kept = owned.submit(ended)
        if start_kept is not None and not await self._kept(start_kept, start, handed_out=True):
            return
        if await self._kept(ended_kept, ended):
            self.told_whole += 1
            self.told_after_leaving += owned.retired and not owned.lost
            told = self._texts.setdefault(program, {})
            told[turn] = whole.get(previous, b"") + text + b"!"

    def _begin_uncertain(
        self, owned: OwnedPartition, start: TurnStarted, tokens: int, *, urgent: bool
    ) -> asyncio.Future[None] | None:
        """Hands tokens out before the start is durable; returns its future, None if it may not."""
        uncertain = owned.uncertain
        if not uncertain.may_begin(start.program_id, MOST_TOKENS):
            return None
        if not uncertain.hand_out(start.program_id, tokens, MOST_TOKENS):
            return None
        self.uncertain += 1
        return owned.submit(start, urgent=urgent)

    async def _settle_broken(
        self, start: TurnStarted, broken: TurnBroken, kept: asyncio.Future[None]
    ) -> None:
        try:
            await kept
        except LostPartitionError:
            newest = self._owners[-1]
            if await self._keep(newest, start, handed_out=True):
                await self._keep(newest, broken)

    async def _refuse(
        self, owned: OwnedPartition, admission: Admission, previous: str, whole: dict[str, bytes]
    ) -> None:
        try:
            await owned.confirm()
        except (LostPartitionError, StoreError):
            return
        if admission is Admission.NO_SUCH_TURN:
            self.said_absent += 1
            assert previous not in whole

    async def _keep(
        self, owned: OwnedPartition, record: Record, *, handed_out: bool = False
    ) -> bool:
        """Has a record kept, by the newest owner if the one that made it is shut out."""
        return await self._kept(owned.submit(record), record, handed_out=handed_out)

    async def _kept(
        self, kept: asyncio.Future[None], record: Record, *, handed_out: bool = False
    ) -> bool:
        try:
            await asyncio.shield(kept)
        except LostPartitionError:
            newest = self._owners[-1]
            budget_tokens = None if handed_out else BUDGET_TOKENS
            settled = await newest.settle(record, budget_tokens=budget_tokens)
            return settled is Settlement.KEPT
        return True

    async def _end_round(self) -> None:
        """Lets everything come to rest; a new owner then has all that callers were told of."""
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
        self._store.forget()
