"""One attempt to have a call answered by one backend server, with its log lines and metrics."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING
from typing import NamedTuple

from quincespool.gateway.backends.crashes import fingerprint
from quincespool.gateway.backends.exchange import AnswerBroken
from quincespool.gateway.backends.exchange import AnswerChunk
from quincespool.gateway.backends.exchange import AnswerEnd
from quincespool.gateway.backends.exchange import BackendConnection
from quincespool.gateway.backends.exchange import ConnectError
from quincespool.gateway.backends.exchange import Head
from quincespool.gateway.clock import now_ms
from quincespool.gateway.futures import start_background_task
from quincespool.gateway.model import MEMORY_SHORT
from quincespool.gateway.turns.event_stream import ends_inside_event
from quincespool.gateway.turns.event_stream import is_event_stream

if TYPE_CHECKING:
    from collections.abc import Callable

    from quincespool.gateway.backends.backend_table import BackendTable
    from quincespool.gateway.backends.crashes import CrashHistory
    from quincespool.gateway.backends.exchange import ExchangeEvent
    from quincespool.gateway.backends.pool import ConnectionPool
    from quincespool.gateway.backends.reports import BackendReports
    from quincespool.gateway.decision_log import DecisionLog
    from quincespool.gateway.model import BackendEntry
    from quincespool.gateway.model import Call
    from quincespool.gateway.model import Headers
    from quincespool.gateway.platform_codec import AnswerHead
    from quincespool.gateway.platform_codec import PlatformCodec
    from quincespool.net.held_memory import HeldMemory
    from quincespool.net.metrics import Metrics

MAX_ANSWER_BYTES = 16_000_000
# Of the body of a refusal, which nobody reads.
MAX_REFUSAL_BYTES = 65_536
REFUSAL_LIMIT_S = 0.25
ENDED_INSIDE_EVENT = "the stream ended inside an event"
BACKEND_FULL = "backend_full"
BACKEND_REPLACED = "backend_replaced"
# Time after a lost answer at which a new connection is tried: by then the host of a crashed process
# refuses connections, and a replacement, which takes seconds to start, isn't listening yet.
CRASH_CHECK_S = 0.1

# A timer that fires more than this time late shows that this process is short of processor time:
# the answer may have arrived and be unread in the socket.
MAX_TIMER_DELAY_S = 0.03

_crash_checks: set[asyncio.Task[None]] = set()


class NotRun(NamedTuple):
    """The call did not run at this backend server and never will.

    Attributes:
      sent: Whether the call reached the backend server, which then refused it.
    """

    reason: str
    sent: bool


class AnswerLost(NamedTuple):
    """The call may have run, and its answer will not arrive."""

    reason: str


class CompleteAnswer(NamedTuple):
    """The complete answer of a backend server."""

    status: int
    headers: Headers
    body: bytes


class AttemptContext(NamedTuple):
    """The objects that all attempts of a daemon use."""

    backends: BackendTable
    pool: ConnectionPool
    codec: PlatformCodec
    log: DecisionLog
    metrics: Metrics
    crashes: CrashHistory
    announce_crash: Callable[[str, str], None]
    backend_reports: BackendReports
    memory: HeldMemory


class Attempt:
    """Sends a call to one backend server and reads the answer; an asynchronous context manager.

    Attributes:
      entry: The entry of the backend server.
      is_shed: Whether the answer was given up because the daemon held too much.
      awaits_event: Whether the answer is a stream that has begun, without a whole event so far.
    """

    def __init__(self, context: AttemptContext, entry: BackendEntry, call: Call) -> None:
        self.entry = entry
        self._context = context
        self._call = call
        self._connection: BackendConnection | None = None
        self._idle_timeout_s: float | None = None
        self._started_ms = now_ms()
        self._complete = False
        self._sent_at_s = 0.0
        self._overdue_timer: asyncio.TimerHandle | None = None
        self._unfinished_bytes = 0
        self.is_shed = False
        self.awaits_event = False

    async def __aenter__(self) -> Attempt:
        self._context.backends.record_call_start(self.entry.backend_id)
        return self

    async def __aexit__(self, *exc: object) -> None:
        self._context.backends.record_call_end(self.entry.backend_id)
        self._stop_overdue_timer()
        if self.awaits_event:
            self._report_without_event()
        self._context.memory.discard(self)
        if self._connection is None:
            return
        if self._complete:
            self._context.pool.release(self.entry, self._connection, self._idle_timeout_s)
        else:
            # The backend server stops working on a call when its connection is closed.
            self._context.pool.discard(self.entry, self._connection)

    async def send(self, body: bytes, headers: Headers) -> NotRun | None:
        """Connects and sends the call.

        Returns:
          None if the call was sent, otherwise the reason why it was not.
        """
        context, entry = self._context, self.entry
        try:
            self._connection = await context.pool.acquire(entry)
            self._connection.send(
                self._call.method,
                self._call.target,
                headers,
                body,
                matches_request=self._is_own_answer,
                on_queued=self._report_held,
            )
        except ConnectError as error:
            ejected = self._record_failure("unreachable", unreachable=True)
            context.pool.close_idle(entry.backend_id)
            context.log.write(
                "backend unreachable",
                call_id=self._call.call_id,
                backend_id=entry.backend_id,
                detail=str(error),
                ejected=ejected,
            )
            context.metrics.count("gateway_attempts_total", outcome="unreachable")
            return NotRun("backend_unreachable", sent=False)
        context.log.write(
            "sent",
            call_id=self._call.call_id,
            backend_id=entry.backend_id,
            service=entry.service,
            load=context.backends.in_flight.get(entry.backend_id, 0),
            slots=entry.slots,
            connected_ms=now_ms() - self._started_ms,
        )
        self._start_overdue_timer()
        return None

    async def next_event(self) -> ExchangeEvent:
        """Waits for the next event of the answer and returns it."""
        assert self._connection is not None
        return await self._connection.next_event()

    async def head(self) -> AnswerHead | NotRun | AnswerLost:
        """Returns the head of the answer, or the reason why no valid head was received."""
        event = await self.next_event()
        self._stop_overdue_timer()
        if isinstance(event, AnswerBroken):
            return self.fail(event)
        assert isinstance(event, Head)
        took_s = asyncio.get_running_loop().time() - self._sent_at_s
        head = self._context.codec.read_answer_head(event.status, event.headers)
        self._idle_timeout_s = head.idle_s
        if head.not_run:
            await self._discard_rest()
            return self._on_refused(head.status)
        if head.status < 300 and not head.stamped:
            # An answer without a receipt comes from another server or a faulty backend server.
            return self.fail(AnswerBroken(f"status {head.status} without receipt", closed=False))
        self._context.backends.record_first_event(self.entry, took_s * 1000, now_ms())
        return head

    async def body(self, head: AnswerHead) -> bytes | AnswerLost:
        """Returns the complete body of the answer whose head is given."""
        answer = bytearray()
        while True:
            event = await self.next_event()
            if self.is_shed:
                return AnswerLost(MEMORY_SHORT)
            if isinstance(event, AnswerEnd):
                body = bytes(answer)
                if _is_cut_stream(head, body):
                    return self.fail(AnswerBroken(ENDED_INSIDE_EVENT, closed=event.closed))
                return body
            if isinstance(event, AnswerBroken):
                return self.fail(event)
            if isinstance(event, AnswerChunk):
                answer += event.data
                self.hold(len(answer))
            if len(answer) > MAX_ANSWER_BYTES:
                return self.fail(AnswerBroken("the answer is too large", closed=False))

    def hold(self, unfinished_bytes: int) -> None:
        """Sets how much of the answer is kept until it, or its next event, is whole."""
        self._unfinished_bytes = unfinished_bytes
        self._report_held()

    def _report_held(self) -> None:
        self._context.memory.update(self, self.measure_held())

    def measure_held(self) -> int:
        """See `Holder.measure_held`."""
        queued_bytes = 0 if self._connection is None else self._connection.queued_bytes
        return self._unfinished_bytes + queued_bytes

    def shed(self) -> None:
        """See `Holder.shed`. The answer is lost, but no fault of the backend server."""
        self.is_shed = True
        if self._connection is not None:
            self._connection.close()

    def complete(self, *, is_valid: bool) -> None:
        """Records that the answer is complete, so that its connection may be used again.

        Args:
          is_valid: Whether the answer counts as a success of the backend server, not as a failure.
        """
        self._complete = True
        self.awaits_event = False
        if is_valid:
            took_s = asyncio.get_running_loop().time() - self._sent_at_s
            self._context.backends.record_success(self.entry, took_s * 1000)
        else:
            self._record_failure("unsound")
        self._context.metrics.count("gateway_attempts_total", outcome="answered")
        self._context.crashes.clear(fingerprint(self._call))

    def timed_out(self) -> AnswerLost:
        """Records that no answer came in time."""
        return self.fail(AnswerBroken("no answer in time", closed=False))

    def _is_own_answer(self, headers: Headers) -> bool:
        answered = self._context.codec.read_answer_head(0, headers).call_id
        return not answered or answered == self._call.call_id

    def _on_refused(self, status: int) -> NotRun:
        self._complete = True
        self._context.metrics.count("gateway_attempts_total", outcome="refused")
        self._context.log.write(
            "backend refused",
            call_id=self._call.call_id,
            backend_id=self.entry.backend_id,
            status=status,
            load=self._context.backends.in_flight.get(self.entry.backend_id, 0),
        )
        if status == 421:
            # Another backend server now listens at the address: the one of this entry has stopped
            # without removing its entry.
            self._record_failure("replaced", unreachable=True)
            return NotRun(BACKEND_REPLACED, sent=True)
        return NotRun(BACKEND_FULL, sent=True)

    async def _discard_rest(self) -> None:
        """Reads a refusal to its end, so that its connection may be used again, if that is near."""
        left_bytes = MAX_REFUSAL_BYTES
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(REFUSAL_LIMIT_S):
                while left_bytes > 0 and isinstance(event := await self.next_event(), AnswerChunk):
                    left_bytes -= len(event.data)

    def fail(self, event: AnswerBroken) -> AnswerLost:
        """Records that the answer will never be complete."""
        context, entry = self._context, self.entry
        ejected = self._record_failure("lost")
        context.metrics.count("gateway_attempts_total", outcome="lost")
        context.log.write(
            "answer lost",
            call_id=self._call.call_id,
            backend_id=entry.backend_id,
            detail=event.detail,
            after_ms=now_ms() - self._started_ms,
            ejected=ejected,
        )
        # A backend server that is leaving stops on purpose and ends its calls: that is not a crash.
        if event.closed and context.backends.accepts_calls(entry.incarnation):
            start_background_task(self._check_crash(), _crash_checks)
        return AnswerLost(event.detail)

    def _record_failure(self, reason: str, *, unreachable: bool = False) -> bool:
        """Records a failure; returns whether the failure ejects the backend server."""
        context, entry = self._context, self.entry
        context.backend_reports.report_failure(entry, reason)
        return context.backends.record_failure(entry.backend_id, now_ms(), unreachable=unreachable)

    def _start_overdue_timer(self) -> None:
        loop = asyncio.get_running_loop()
        self._sent_at_s = loop.time()
        limit_ms = self._context.backends.service_times.overdue_ms(self.entry.service)
        if limit_ms is not None:
            due_s = self._sent_at_s + limit_ms / 1000
            self._overdue_timer = loop.call_at(due_s, self._report_overdue, due_s, int(limit_ms))

    def _stop_overdue_timer(self) -> None:
        if self._overdue_timer is not None:
            self._overdue_timer.cancel()
            self._overdue_timer = None

    def _report_overdue(self, due_s: float, late_ms: int) -> None:
        """Reports that the answer has not begun long after the usual time of its service."""
        if asyncio.get_running_loop().time() - due_s < MAX_TIMER_DELAY_S:
            self._context.backend_reports.report_overdue(self.entry, late_ms)

    def _report_without_event(self) -> None:
        """Reports an engine that had sent no event in the usual time of a complete answer.

        Otherwise the engine would count as quick, as its answer's head was.
        """
        took_ms = now_ms() - self._started_ms
        if took_ms > self._context.backends.service_times.total_ms(self.entry.service):
            self._context.backend_reports.report_overdue(self.entry, took_ms)

    async def _check_crash(self) -> None:
        """Checks whether the backend server crashed during the call; if so, announces the crash.

        A lost answer alone does not show a crash: only a backend server that is down refuses new
        connections. One that does not answer may run, with a full queue, or have no power.
        """
        await asyncio.sleep(CRASH_CHECK_S)
        probe = BackendConnection()
        try:
            await probe.connect(self.entry.address)
        except ConnectError as error:
            if not error.refused:
                return
            digest = fingerprint(self._call)
            # Two incarnations with one id count as two crashes.
            incarnation = str(self.entry.incarnation)
            crashes = self._context.crashes.record_crash(digest, incarnation, now_ms())
            self._context.announce_crash(digest, incarnation)
            self._context.log.write(
                "backend crashed",
                call_id=self._call.call_id,
                backend_id=incarnation,
                fingerprint=digest,
                crashes=crashes,
            )
        finally:
            probe.close()


def _is_cut_stream(head: AnswerHead, body: bytes) -> bool:
    """Whether an answer consists of events and ends inside one of them."""
    return is_event_stream(head.headers, if_unstated=False) and ends_inside_event(body)
