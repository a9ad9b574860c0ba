"""One turn on its way through an engine, and the records that make it last."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import NamedTuple

from quincespool.gateway.backends.attempt import BACKEND_FULL
from quincespool.gateway.backends.attempt import BACKEND_REPLACED
from quincespool.gateway.backends.attempt import Attempt
from quincespool.gateway.backends.attempt import Lost
from quincespool.gateway.backends.attempt import NotRun
from quincespool.gateway.backends.exchange import Broken
from quincespool.gateway.backends.exchange import End
from quincespool.gateway.backends.exchange import Piece
from quincespool.gateway.clock import now_ms
from quincespool.gateway.model import may_have_run
from quincespool.gateway.model import not_run
from quincespool.gateway.turns.event_stream import EventReader
from quincespool.gateway.turns.next_run import Place
from quincespool.gateway.turns.next_run import Tried
from quincespool.gateway.turns.next_run import TurnTries
from quincespool.gateway.turns.stream_progress import GapError
from quincespool.gateway.turns.stream_progress import StreamProgress
from quincespool.gateway.turns.turn_records import BrokenTurnError
from quincespool.gateway.turns.turn_records import TurnRecords
from quincespool.policy.urgency import turn_priority

if TYPE_CHECKING:
    from quincespool.gateway.backends.attempt import Services
    from quincespool.gateway.callers.reply import Reply
    from quincespool.gateway.model import BackendEntry
    from quincespool.gateway.model import BackendIncarnation
    from quincespool.gateway.model import Call
    from quincespool.gateway.model import Refusal
    from quincespool.gateway.model import TurnParameters
    from quincespool.gateway.platform_codec import AnswerHead
    from quincespool.gateway.turns.admission import ProgramAdmission
    from quincespool.gateway.turns.partition import OwnedPartition
    from quincespool.gateway.turns.turn_records import RecordServices

# A queue on an engine moves by one turn in some tens of milliseconds.
FULL_RETRY_MS = 250
NO_BACKEND_RETRY_MS = 400
# Handed on with the deadline: the way back of the answer.
WAY_MS = 15


class TurnServices(NamedTuple):
    """What turns share.

    Attributes:
      attempts: What their attempts at engines share.
      records: What their records need.
      admission: Is told how turns fare.
    """

    attempts: Services
    records: RecordServices
    admission: ProgramAdmission


class TurnRun:
    """One turn under way.

    Attributes:
      engine: The one that holds the program's cache, or was the last to take a turn of it.
    """

    def __init__(
        self,
        services: TurnServices,
        call: Call,
        terms: TurnParameters,
        owned: OwnedPartition,
        *,
        reply: Reply,
        until_ms: int,
        engine: BackendIncarnation | None,
    ) -> None:
        turn = call.turn
        assert turn is not None
        self.engine = engine
        self._services = services.attempts
        self._admission = services.admission
        self._call = call
        self._turn = turn
        self._terms = terms
        self._owned = owned
        self._reply = reply
        self._until_ms = until_ms
        self._records = TurnRecords(services.records, call, terms, owned)
        self._events = EventReader()
        self._progress = StreamProgress(after=call.resumes_after)
        self._has_head = False
        self._may_have_run = False
        self._began_ms = now_ms()

    async def answer(self) -> None:
        """Finds an engine that takes the turn and relays what it generates."""
        tries = TurnTries(
            max_engines=self._terms.max_attempts, may_run_again=self._terms.is_resumable
        )
        tried: set[str] = set()
        entry: BackendEntry | None = None
        failed: NotRun | Lost = NotRun("no_backend", sent=False)
        self._records.begin()
        while (run := tries.next_run(self._until_ms - now_ms())).place is not Place.NOWHERE:
            if run.place is Place.ANOTHER:
                entry = self._choose(frozenset(tried))
                if entry is None:
                    break
                tried.add(entry.backend_id)
            if run.pause_ms:
                await asyncio.sleep(run.pause_ms / 1000)
            assert entry is not None
            result = await self._attempt_if_usable(entry)
            if result is None:
                return
            failed = result
            if isinstance(failed, Lost) and not self._progress.can_resume:
                break
            tries.note(_tried(failed), run.place)
            self._note_failed_run(failed, entry)
        raise BrokenTurnError(self._refusal(failed))

    def _choose(self, exclude: frozenset[str]) -> BackendEntry | None:
        return self._services.backends.choose(
            self._terms.service,
            now_ms=now_ms(),
            exclude=exclude,
            prefer=self.engine,
            connected=self._services.pool.connected(),
        )

    async def _attempt_if_usable(self, entry: BackendEntry) -> NotRun | Lost | None:
        """Sends the turn, unless the engine has begun to leave since it was chosen."""
        if not self._services.backends.is_usable(entry.incarnation):
            return NotRun("backend_gone", sent=False)
        return await self._attempt(entry)

    def _refusal(self, failed: NotRun | Lost) -> Refusal:
        """Returns the final answer for a turn that no engine answers whole."""
        if self._has_head:
            return may_have_run("stream_broken")
        if self._may_have_run or isinstance(failed, Lost):
            return may_have_run("answer_lost")
        if failed.reason == BACKEND_FULL:
            self._admission.note_full(self._terms)
            return not_run(failed.reason, retry_after_ms=FULL_RETRY_MS)
        return not_run(failed.reason, retry_after_ms=NO_BACKEND_RETRY_MS)

    def _note_failed_run(self, failed: NotRun | Lost, entry: BackendEntry) -> None:
        if not self._terms.is_resumable or not isinstance(failed, Lost):
            return
        self._progress.begin_run()
        self._services.metrics.count("gateway_streams_broken_total", route=self._terms.route)
        self._services.log.write(
            "stream broken off",
            call_id=self._call.call_id,
            program_id=self._turn.program_id,
            backend_id=entry.backend_id,
            reason=failed.reason,
            last_event=self._progress.last,
            left_ms=self._until_ms - now_ms(),
        )

    def timeout_refusal(self) -> Refusal:
        """Returns the final answer for a turn whose time is up."""
        if self._may_have_run:
            return may_have_run("timeout", status=504)
        return not_run("timeout", retry_after_ms=FULL_RETRY_MS)

    def close(self) -> None:
        """Settles a turn that has not ended whole."""
        self._records.close()

    async def _attempt(self, entry: BackendEntry) -> NotRun | Lost | None:
        call, turn = self._call, self._turn
        history = b""
        if self._terms.keeps_history:
            kept = self._owned.ledger.history(turn.program_id, turn.previous_id)
            if kept is None:
                raise BrokenTurnError(self._refusal(NotRun("history_gone", sent=False)))
            history = kept
        headers = self._services.wire.write_attempt_headers(
            call,
            account=self._terms.account,
            backend_id=entry.backend_id,
            left_ms=max(1, self._until_ms - now_ms() - WAY_MS),
            priority=turn_priority(self._terms.rank, turn.program_left_ms),
            after_event=self._progress.last if self._progress.has_begun else None,
        )
        async with Attempt(self._services, entry, call) as attempt:
            failed = await attempt.send(history + call.body, headers)
            if failed is not None:
                return failed
            had_run, self._may_have_run = self._may_have_run, True
            head = await attempt.head()
            if isinstance(head, NotRun):
                self._may_have_run = had_run
                return head
            if isinstance(head, Lost):
                return head
            self.engine = entry.incarnation
            if not had_run:
                self._admission.note_begin(self._terms, now_ms() - self._began_ms)
            return await self._relay(attempt, head)

    async def _relay(self, attempt: Attempt, head: AnswerHead) -> Lost | None:
        began_ms, seen = now_ms(), self._events.event_count
        await self._records.await_start()
        if head.status != 200:
            return await self._relay_failure(attempt, head)
        self._begin_answer(head)
        while True:
            event = await attempt.next_event()
            if isinstance(event, Piece):
                lost = await self._take_piece(attempt, event.data)
                if lost is not None:
                    return lost
            elif isinstance(event, End):
                attempt.settle(sound=True)
                events = self._events.event_count - seen
                self._services.backends.streamed(attempt.entry, events, now_ms() - began_ms)
                if self._progress.rest:
                    self._reply.piece(self._progress.rest)
                break
            elif isinstance(event, Broken):
                if self._events.partial:
                    self._records.note_cut_event()
                return attempt.lose(event)
        await self._end_whole(attempt.entry)
        return None

    def _begin_answer(self, head: AnswerHead) -> None:
        """Hands the head out, once for all runs: the first engine's stays."""
        if not self._has_head:
            self._has_head = True
            self._reply.head(head.status, head.headers)

    async def _relay_failure(self, attempt: Attempt, head: AnswerHead) -> Lost | None:
        body = await attempt.body()
        if isinstance(body, Lost):
            return body
        attempt.settle(sound=head.status < 500)
        if self._has_head:
            # What the caller has got is no part of this answer.
            return Lost(f"status {head.status} behind a stream")
        self._reply.head(head.status, head.headers)
        self._reply.piece(body)
        self._reply.end()
        return None

    async def _take_piece(self, attempt: Attempt, data: bytes) -> Lost | None:
        """Hands out a piece: as it comes, or its whole events if the stream may be resumed."""
        if self._terms.is_resumable:
            try:
                events = self._progress.take(data)
            except GapError as error:
                return attempt.lose(Broken(str(error), closed=False))
            data = b"".join(event.raw for event in events)
            if not data:
                return None
            completed = self._events.take(events)
        else:
            completed = self._events.feed(data)
        await self._records.hand_out(completed)
        self._reply.piece(data)
        return None

    async def _end_whole(self, entry: BackendEntry) -> None:
        """Makes the turn last, then tells the caller that it is whole."""
        ended_ms = now_ms()
        if not await self._records.end_whole(self._events.text, self._until_ms):
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


def _tried(failed: NotRun | Lost) -> Tried:
    if isinstance(failed, Lost):
        return Tried.LOST
    if not failed.sent:
        return Tried.UNREACHABLE
    return Tried.REPLACED if failed.reason == BACKEND_REPLACED else Tried.FULL
