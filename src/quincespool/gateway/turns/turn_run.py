"""Runs one turn at an engine and has its records appended to the log of its partition."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import NamedTuple

from quincespool.gateway.backends.attempt import BACKEND_FULL
from quincespool.gateway.backends.attempt import BACKEND_REPLACED
from quincespool.gateway.backends.attempt import ENDED_INSIDE_EVENT
from quincespool.gateway.backends.attempt import AnswerLost
from quincespool.gateway.backends.attempt import Attempt
from quincespool.gateway.backends.attempt import NotRun
from quincespool.gateway.backends.exchange import AnswerBroken
from quincespool.gateway.backends.exchange import AnswerChunk
from quincespool.gateway.backends.exchange import AnswerEnd
from quincespool.gateway.clock import now_ms
from quincespool.gateway.model import MEMORY_SHORT
from quincespool.gateway.model import TIMEOUT
from quincespool.gateway.model import may_have_run
from quincespool.gateway.model import not_run
from quincespool.gateway.turns.event_stream import MAX_EVENT_BYTES
from quincespool.gateway.turns.event_stream import EventCollector
from quincespool.gateway.turns.event_stream import is_event_stream
from quincespool.gateway.turns.stream_progress import EventGapError
from quincespool.gateway.turns.stream_progress import StreamProgress
from quincespool.gateway.turns.turn_records import TurnFailedError
from quincespool.gateway.turns.turn_records import TurnRecords
from quincespool.gateway.turns.turn_retries import AttemptOutcome
from quincespool.gateway.turns.turn_retries import Destination
from quincespool.gateway.turns.turn_retries import TurnRetries
from quincespool.policy.urgency import turn_priority

if TYPE_CHECKING:
    from quincespool.gateway.backends.attempt import AttemptContext
    from quincespool.gateway.callers.reply import Reply
    from quincespool.gateway.model import BackendEntry
    from quincespool.gateway.model import BackendIncarnation
    from quincespool.gateway.model import Call
    from quincespool.gateway.model import Refusal
    from quincespool.gateway.model import TurnParameters
    from quincespool.gateway.platform_codec import AnswerHead
    from quincespool.gateway.turns.admission import ProgramAdmission
    from quincespool.gateway.turns.history_memory import HistoryMemory
    from quincespool.gateway.turns.partition import OwnedPartition
    from quincespool.gateway.turns.turn_records import RecordContext

# The queue of a full engine advances by one turn every few tens of milliseconds.
FULL_RETRY_MS = 250
NO_BACKEND_RETRY_MS = 400
# Subtracted from the time limit that is sent to the engine, so that its answer arrives in time.
ANSWER_TRANSFER_MS = 15


class TurnContext(NamedTuple):
    """Dependencies that all turns of a daemon share.

    Attributes:
      attempts: Dependencies of attempts at engines.
      records: Dependencies of turn records.
      admission: Receives how long turns wait for an engine, and which ones find all engines full.
      histories: Bounds the memory of the texts of turns.
    """

    attempts: AttemptContext
    records: RecordContext
    admission: ProgramAdmission
    histories: HistoryMemory


class TurnRun:
    """One turn in progress.

    Attributes:
      engine: The engine that last answered a turn of the program, and so may still have the
        program's cache; None if unknown. It is preferred for the turn's attempts.
    """

    def __init__(
        self,
        context: TurnContext,
        call: Call,
        parameters: TurnParameters,
        owned: OwnedPartition,
        *,
        reply: Reply,
        until_ms: int,
        engine: BackendIncarnation | None,
    ) -> None:
        turn = call.turn
        assert turn is not None
        self.engine = engine
        self._context = context.attempts
        self._admission = context.admission
        self._histories = context.histories
        self._call = call
        self._turn = turn
        self._parameters = parameters
        self._owned = owned
        self._reply = reply
        self._until_ms = until_ms
        self._records = TurnRecords(context.records, call, parameters, owned)
        self._events = EventCollector(keeps_data=parameters.keeps_history)
        self._progress = StreamProgress(after=call.resumes_after)
        self._head_sent = False
        self._may_have_run = False
        self._started_ms = now_ms()

    async def answer(self) -> None:
        """Sends the turn to engines until one has answered it completely; relays the answer.

        Raises:
          TurnFailedError: if the turn fails; contains the final answer for the caller.
        """
        retries = TurnRetries(
            max_engines=self._parameters.max_attempts, may_rerun=self._parameters.is_resumable
        )
        tried: set[str] = set()
        entry: BackendEntry | None = None
        failed: NotRun | AnswerLost = NotRun("no_backend", sent=False)
        self._records.submit_start()
        while (
            planned := retries.next_attempt(self._until_ms - now_ms())
        ).destination is not Destination.CALLER:
            if planned.destination is Destination.ANOTHER_ENGINE:
                entry = self._choose_backend(frozenset(tried))
                if entry is None:
                    break
                tried.add(entry.backend_id)
            if planned.pause_ms:
                await asyncio.sleep(planned.pause_ms / 1000)
            assert entry is not None
            result = await self._attempt_if_usable(entry)
            if result is None:
                return
            failed = result
            if isinstance(failed, AnswerLost) and not self._progress.can_resume:
                break
            retries.record_outcome(_attempt_outcome(failed), planned.destination)
            self._prepare_resumption(failed, entry)
        raise TurnFailedError(self._refusal(failed))

    def _choose_backend(self, exclude: frozenset[str]) -> BackendEntry | None:
        return self._context.backends.choose(
            self._parameters.service,
            now_ms=now_ms(),
            exclude=exclude,
            prefer=self.engine,
            connected=self._context.pool.idle_backend_ids(),
        )

    async def _attempt_if_usable(self, entry: BackendEntry) -> NotRun | AnswerLost | None:
        """Sends the turn, unless the engine has started to drain or stop since it was chosen."""
        if not self._context.backends.accepts_calls(entry.incarnation):
            return NotRun("backend_gone", sent=False)
        return await self._attempt(entry)

    def _refusal(self, failed: NotRun | AnswerLost) -> Refusal:
        """Returns the final answer for a turn that no engine has answered completely."""
        if self._head_sent:
            return may_have_run("stream_broken")
        if self._may_have_run or isinstance(failed, AnswerLost):
            return may_have_run("answer_lost")
        if failed.reason == BACKEND_FULL:
            self._admission.record_full(self._parameters)
            return not_run(failed.reason, retry_after_ms=FULL_RETRY_MS)
        return not_run(failed.reason, retry_after_ms=NO_BACKEND_RETRY_MS)

    def _prepare_resumption(self, failed: NotRun | AnswerLost, entry: BackendEntry) -> None:
        if not self._parameters.is_resumable or not isinstance(failed, AnswerLost):
            return
        self._progress.begin_attempt()
        self._context.metrics.count("gateway_streams_broken_total", route=self._parameters.route)
        self._context.log.write(
            "stream broken off",
            call_id=self._call.call_id,
            program_id=self._turn.program_id,
            backend_id=entry.backend_id,
            reason=failed.reason,
            last_event=self._progress.last_number,
            left_ms=self._until_ms - now_ms(),
        )

    def timeout_refusal(self) -> Refusal:
        """Returns the final answer for a turn that has exceeded its time limit."""
        if self._may_have_run:
            return may_have_run(TIMEOUT, status=504)
        return not_run(TIMEOUT, retry_after_ms=FULL_RETRY_MS)

    def close(self) -> None:
        """Records how many tokens were sent, unless the turn has ended completely."""
        self._histories.discard(self)
        self._records.close()

    async def _attempt(self, entry: BackendEntry) -> NotRun | AnswerLost | None:
        call, turn = self._call, self._turn
        history = b""
        if self._parameters.keeps_history:
            found = self._owned.ledger.history(turn.program_id, turn.previous_id)
            if found is None:
                raise TurnFailedError(self._refusal(NotRun("history_gone", sent=False)))
            history = found
        headers = self._context.codec.write_attempt_headers(
            call,
            account=self._parameters.account,
            backend_id=entry.backend_id,
            left_ms=max(1, self._until_ms - now_ms() - ANSWER_TRANSFER_MS),
            priority=turn_priority(self._parameters.rank, turn.program_left_ms),
            after_event=self._progress.last_number if self._progress.has_begun else None,
        )
        async with Attempt(self._context, entry, call) as attempt:
            failed = await attempt.send(history + call.body, headers)
            if failed is not None:
                return failed
            could_have_run, self._may_have_run = self._may_have_run, True
            head = await attempt.head()
            if isinstance(head, NotRun):
                self._may_have_run = could_have_run
                return head
            if isinstance(head, AnswerLost):
                return head
            self.engine = entry.incarnation
            if not could_have_run:
                self._admission.record_start(self._parameters, now_ms() - self._started_ms)
            try:
                return await self._relay(attempt, head)
            except asyncio.CancelledError:
                if attempt.awaits_event and now_ms() >= self._until_ms:
                    attempt.timed_out()
                raise

    async def _relay(self, attempt: Attempt, head: AnswerHead) -> AnswerLost | None:
        began_ms, earlier_events = now_ms(), self._events.event_count
        await self._records.wait_for_start()
        if head.status != 200:
            return await self._relay_failure(attempt, head)
        self._relay_head(head)
        attempt.awaits_event = True
        while True:
            event = await attempt.next_event()
            if attempt.is_shed:
                raise TurnFailedError(may_have_run(MEMORY_SHORT))
            if isinstance(event, AnswerChunk):
                lost = await self._relay_piece(attempt, event.data)
                if lost is not None:
                    return lost
                attempt.awaits_event = self._events.event_count == earlier_events
                continue
            if isinstance(event, AnswerEnd) and is_event_stream(head.headers, if_unstated=True):
                event = self._check_end(event)
            if isinstance(event, AnswerEnd):
                attempt.complete(is_valid=True)
                events = self._events.event_count - earlier_events
                self._context.backends.record_stream(attempt.entry, events, now_ms() - began_ms)
                if self._progress.incomplete_bytes:
                    self._reply.send_chunk(self._progress.incomplete_bytes)
                await self._finish(attempt.entry, event)
                return None
            if isinstance(event, AnswerBroken):
                if self._events.has_incomplete_event:
                    self._records.count_partial_event()
                return attempt.fail(event)

    @property
    def _parser(self) -> StreamProgress | EventCollector:
        """The part that has all bytes of the current attempt."""
        return self._progress if self._parameters.is_resumable else self._events

    def _check_end(self, end: AnswerEnd) -> AnswerEnd | AnswerBroken:
        """Returns how a stream has ended: one that ends inside an event was broken off.

        An engine that crashes may close its connection as if its answer were complete. It may do so
        before its first event, too; between two events nothing tells a crash from an end.
        """
        if self._parser.is_inside_event:
            return AnswerBroken(ENDED_INSIDE_EVENT, closed=end.closed)
        has_events = self._events.event_count > 0 or self._call.resumes_after is not None
        if end.closed and not has_events:
            return AnswerBroken("the connection was closed before the first event", closed=True)
        return end

    def _relay_head(self, head: AnswerHead) -> None:
        """Sends the head of the answer once; the heads of later attempts are dropped."""
        if not self._head_sent:
            self._head_sent = True
            self._reply.start(head.status, head.headers)

    async def _relay_failure(self, attempt: Attempt, head: AnswerHead) -> AnswerLost | None:
        body = await attempt.body(head)
        if isinstance(body, AnswerLost):
            return body
        attempt.complete(is_valid=head.status < 500)
        if self._head_sent:
            # The caller has part of a successful answer, which an error answer can't continue.
            return AnswerLost(f"status {head.status} from an engine that was to continue a stream")
        self._reply.start(head.status, head.headers)
        self._reply.send_chunk(body)
        self._reply.end()
        return None

    async def _relay_piece(self, attempt: Attempt, data: bytes) -> AnswerLost | None:
        """Relays a piece of the body.

        If the stream may be resumed, only complete events are relayed, otherwise all bytes as they
        arrive.
        """
        try:
            data, completed = self._parse_piece(data)
        except EventGapError as error:
            return attempt.fail(AnswerBroken(str(error), closed=False))
        unfinished_bytes = self._parser.incomplete_size_bytes
        if unfinished_bytes > MAX_EVENT_BYTES:
            return attempt.fail(AnswerBroken("an event is too large", closed=False))
        attempt.hold(unfinished_bytes)
        if not self._histories.grow(self, len(self._call.body) + self._events.data_bytes):
            raise TurnFailedError(may_have_run(MEMORY_SHORT))
        if data:
            await self._records.count_events_to_send(completed)
            self._reply.send_chunk(data)
        return None

    def _parse_piece(self, data: bytes) -> tuple[bytes, int]:
        """Returns what of a piece of the body is relayed, and how many events it completes.

        Raises:
          EventGapError: if the stream does not go on after the last relayed event.
        """
        if not self._parameters.is_resumable:
            return data, self._events.feed(data)
        events = self._progress.add_bytes(data)
        return b"".join(event.raw for event in events), self._events.add_events(events)

    async def _finish(self, entry: BackendEntry, end: AnswerEnd) -> None:
        """Appends the end of the turn durably, then ends the answer to the caller."""
        ended_ms = now_ms()
        if not await self._records.append_end(self._events.collected_data, self._until_ms):
            raise TurnFailedError(may_have_run("record_not_kept"))
        self._reply.end()
        recorded_ms = now_ms()
        self._context.metrics.observe("gateway_record_ms", recorded_ms - ended_ms)
        self._context.log.write(
            "turn ended",
            call_id=self._call.call_id,
            program_id=self._turn.program_id,
            backend_id=entry.backend_id,
            events=self._events.event_count,
            took_ms=recorded_ms - self._started_ms,
            record_ms=recorded_ms - ended_ms,
            epoch=self._owned.epoch,
            ended_by_close=end.closed,
            incomplete_bytes=len(self._parser.incomplete_bytes),
        )


def _attempt_outcome(failed: NotRun | AnswerLost) -> AttemptOutcome:
    if isinstance(failed, AnswerLost):
        return AttemptOutcome.ANSWER_LOST
    if not failed.sent:
        return AttemptOutcome.UNREACHABLE
    return AttemptOutcome.REPLACED if failed.reason == BACKEND_REPLACED else AttemptOutcome.FULL
