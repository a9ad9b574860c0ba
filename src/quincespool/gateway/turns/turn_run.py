"""One turn on its way through an engine, and the records that make it last."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import NamedTuple
from typing import Protocol

from quincespool.gateway.backends.attempt import Attempt
from quincespool.gateway.backends.attempt import Lost
from quincespool.gateway.backends.attempt import NotRun
from quincespool.gateway.backends.exchange import Broken
from quincespool.gateway.backends.exchange import End
from quincespool.gateway.backends.exchange import Piece
from quincespool.gateway.clock import now_ms
from quincespool.gateway.clock import wall_ms
from quincespool.gateway.futures import start_kept
from quincespool.gateway.model import may_have_run
from quincespool.gateway.model import not_run
from quincespool.gateway.turns.event_stream import EventReader
from quincespool.gateway.turns.ledger import MAX_PART_BYTES
from quincespool.gateway.turns.ledger import TurnBroken
from quincespool.gateway.turns.ledger import TurnEnded
from quincespool.gateway.turns.ledger import TurnStarted
from quincespool.gateway.turns.ledger import split_history
from quincespool.gateway.turns.partition import LostPartitionError
from quincespool.policy.urgency import turn_priority

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from quincespool.gateway.backends.attempt import Services
    from quincespool.gateway.callers.reply import Reply
    from quincespool.gateway.model import BackendEntry
    from quincespool.gateway.model import BackendLife
    from quincespool.gateway.model import Call
    from quincespool.gateway.model import Refusal
    from quincespool.gateway.model import TurnTerms
    from quincespool.gateway.store.interface import Partition
    from quincespool.gateway.turns.ledger import Record
    from quincespool.gateway.turns.partition import OwnedPartition
    from quincespool.gateway.wire import AnswerHead

# Engines that refuse a turn as full before it is given back to the caller; each costs a round trip.
MAX_REFUSALS = 3
# A queue on an engine moves by one turn in some tens of milliseconds.
FULL_RETRY_MS = 250
NO_BACKEND_RETRY_MS = 400
# Handed on with the deadline: the way back of the answer.
WAY_MS = 15
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

_settling: set[asyncio.Task[None]] = set()


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


class TurnServices(NamedTuple):
    """What turns share.

    Attributes:
      attempts: What their attempts at engines share.
      settle_elsewhere: Has a record kept by the partition's next owner.
      store_reachable: Whether the store answers this daemon.
    """

    attempts: Services
    settle_elsewhere: SettleElsewhere
    store_reachable: Callable[[], bool]


class TurnRun:
    """One turn under way.

    Attributes:
      engine: The one that holds the program's cache, or was the last to take a turn of it.
    """

    def __init__(
        self,
        services: TurnServices,
        call: Call,
        terms: TurnTerms,
        owned: OwnedPartition,
        *,
        reply: Reply,
        until_ms: int,
        engine: BackendLife | None,
    ) -> None:
        turn = call.turn
        assert turn is not None
        self.engine = engine
        self._settle_elsewhere = services.settle_elsewhere
        self._store_reachable = services.store_reachable
        self._services = services.attempts
        self._call = call
        self._turn = turn
        self._terms = terms
        self._owned = owned
        self._reply = reply
        self._until_ms = until_ms
        told_ms = max(LEAST_PATIENCE_MS, terms.patience_ms)
        self._patience_ms = told_ms - PATIENCE_MARGIN_MS
        self._start = TurnStarted(
            turn_id=call.call_id,
            program_id=turn.program_id,
            most_tokens=turn.most_tokens,
            at_ms=wall_ms(),
        )
        self._events = EventReader()
        self._handed_out = 0
        self._may_have_run = False
        self._settled = False
        self._start_kept: asyncio.Future[None] | None = None
        self._start_deferred = False
        # Whether the partition's next owner keeps the start, this one having lost it.
        self._start_settled = False
        self._began_ms = now_ms()

    async def answer(self) -> None:
        """Finds an engine that takes the turn and relays what it generates."""
        tried: set[str] = set()
        sent = 0
        refusals = 0
        reason = "no_backend"
        self._start_kept = self._submit_start()
        while sent < self._terms.max_attempts and refusals < MAX_REFUSALS:
            entry = self._services.backends.choose(
                self._terms.service,
                now_ms=now_ms(),
                exclude=frozenset(tried),
                prefer=self.engine,
                connected=self._services.pool.connected(),
            )
            if entry is None:
                break
            tried.add(entry.backend_id)
            result = await self._attempt(entry)
            if result is None:
                return
            if isinstance(result, Lost):
                raise BrokenTurnError(may_have_run("answer_lost"))
            refusals += 1
            reason = result.reason
            sent += result.sent
        retry_ms = FULL_RETRY_MS if reason == "backend_full" else NO_BACKEND_RETRY_MS
        raise BrokenTurnError(not_run(reason, retry_after_ms=retry_ms))

    def timeout_refusal(self) -> Refusal:
        """Returns the final answer for a turn whose time is up."""
        if self._may_have_run:
            return may_have_run("timeout", status=504)
        return not_run("timeout", retry_after_ms=FULL_RETRY_MS)

    def close(self) -> None:
        """Settles a turn that has not ended whole."""
        if self._start_kept is not None and not self._settled:
            self._settled = True
            tokens = self._handed_out * self._terms.tokens_per_event
            record = TurnBroken(
                turn_id=self._call.call_id,
                program_id=self._turn.program_id,
                tokens=tokens,
                at_ms=wall_ms(),
            )
            kept = self._owned.submit(record)
            if not self._start_is_kept:
                start_kept(self._settle_broken(kept, record), _settling)

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
        if self._owned.stalled or not self._store_reachable():
            return False
        return uncertain.allows(program_id) and uncertain.is_clear(program_id)

    async def _settle_broken(self, kept: asyncio.Future[None], record: TurnBroken) -> None:
        """Tells the partition's next owner what was handed out while the store was away."""
        try:
            await asyncio.shield(kept)
        except LostPartitionError:
            if await self._settle(self._start, SETTLE_LIMIT_MS):
                await self._settle(record, SETTLE_LIMIT_MS)

    async def _attempt(self, entry: BackendEntry) -> NotRun | Lost | None:
        call, turn = self._call, self._turn
        history = b""
        if self._terms.keeps_history:
            history = self._owned.ledger.history(turn.program_id, turn.previous_id)
        headers = self._services.wire.write_attempt_headers(
            call,
            account=self._terms.account,
            backend_id=entry.backend_id,
            left_ms=max(1, self._until_ms - now_ms() - WAY_MS),
            priority=turn_priority(self._terms.rank, turn.program_left_ms),
        )
        async with Attempt(self._services, entry, call) as attempt:
            failed = await attempt.send(history + call.body, headers)
            if failed is not None:
                return failed
            self._may_have_run = True
            head = await attempt.head()
            if isinstance(head, NotRun):
                self._may_have_run = False
                return head
            if isinstance(head, Lost):
                return head
            self.engine = entry.life
            await self._await_start()
            return await self._relay(attempt, head)

    async def _await_start(self) -> None:
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
        if self._owned.stalled or not self._store_reachable():
            return
        await asyncio.wait({self._start_kept}, timeout=START_LIMIT_MS / 1000)
        if self._start_kept.done():
            await self._durable_start()

    async def _relay(self, attempt: Attempt, head: AnswerHead) -> Lost | None:
        if head.status != 200:
            body = await attempt.body()
            if isinstance(body, Lost):
                return body
            attempt.settle(sound=head.status < 500)
            self._reply.head(head.status, head.headers)
            self._reply.piece(body)
            self._reply.end()
            return None
        self._reply.head(head.status, head.headers)
        while True:
            event = await attempt.next_event()
            if isinstance(event, Piece):
                await self._hand_out(self._events.feed(event.data))
                self._reply.piece(event.data)
            elif isinstance(event, End):
                attempt.settle(sound=True)
                break
            elif isinstance(event, Broken):
                self._handed_out += self._events.partial
                attempt.lose(event)
                raise BrokenTurnError(may_have_run("stream_broken"))
        await self._end_whole(attempt.entry)
        return None

    async def _hand_out(self, events: int) -> None:
        """Counts events that go to the caller next; waits if the bound asks for a durable start."""
        tokens = events * self._terms.tokens_per_event
        if not self._start_is_kept:
            program_id, most_tokens = self._turn.program_id, self._turn.most_tokens
            if not self._owned.uncertain.hand_out(program_id, tokens, most_tokens):
                if self._owned.stalled or not self._store_reachable():
                    raise BrokenTurnError(may_have_run(STORE_AWAY))
                self._owned.flush()
                await self._durable_start()
        self._handed_out += events

    async def _end_whole(self, entry: BackendEntry) -> None:
        """Makes the turn last, then tells the caller that it is whole."""
        previous_id, text = self._turn.previous_id, self._call.body
        if len(text) + len(self._events.text) > MAX_PART_BYTES:
            previous_id, text = self._submit_long_input(), b""
        record = TurnEnded(
            turn_id=self._call.call_id,
            program_id=self._turn.program_id,
            previous_id=previous_id,
            input=text,
            output=self._events.text,
            tokens=self._handed_out * self._terms.tokens_per_event,
            retention_ms=self._terms.retention_ms,
            at_ms=wall_ms(),
        )
        ended_ms = now_ms()
        self._settled = True
        limit_ms = min(self._patience_ms, self._until_ms - ended_ms)
        # Handed over before the start is waited for, so that one append takes both.
        kept = self._owned.submit(record)
        if not self._start_is_kept:
            await self._durable_start()
        if not await self._keep(record, kept, ended_ms + limit_ms):
            raise BrokenTurnError(may_have_run("record_not_kept"))
        self._reply.end()
        kept_ms = now_ms()
        self._services.metrics.observe("gateway_record_ms", kept_ms - ended_ms)
        self._services.log.write(
            "turn ended",
            call_id=self._call.call_id,
            program_id=self._turn.program_id,
            backend_id=entry.backend_id,
            events=self._events.event_count,
            took_ms=kept_ms - self._began_ms,
            record_ms=kept_ms - ended_ms,
            epoch=self._owned.epoch,
        )

    def _submit_long_input(self) -> str:
        """Hands over an input that does not fit into one record; returns the id of its last part.

        The store would refuse such a record for ever, and every later one of the partition with it.
        """
        input_id = f"{self._call.call_id}#input"
        parts = split_history(
            input_id,
            self._turn.program_id,
            self._call.body,
            previous_id=self._turn.previous_id,
            retention_ms=self._terms.retention_ms,
            at_ms=wall_ms(),
        )
        for part in parts:
            self._owned.submit(part)
        return input_id

    async def _keep(self, record: Record, kept: asyncio.Future[None], until_ms: int) -> bool:
        """Returns whether the record is durable, here or at the partition's present owner."""
        try:
            async with asyncio.timeout(max(0, until_ms - now_ms()) / 1000):
                await asyncio.shield(kept)
            return True
        except TimeoutError:
            return False
        except LostPartitionError:
            left_ms = until_ms - now_ms()
            return await self._settle(record, left_ms)

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
        budget_tokens = None if self._handed_out else self._turn.budget_tokens
        return await self._settle_elsewhere(self._owned.partition, record, budget_tokens, left_ms)
