"""One attempt at one backend server, and how it is accounted for."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import NamedTuple

from quincespool.gateway.backends.crashes import fingerprint
from quincespool.gateway.backends.exchange import BackendConnection
from quincespool.gateway.backends.exchange import Broken
from quincespool.gateway.backends.exchange import ConnectError
from quincespool.gateway.backends.exchange import End
from quincespool.gateway.backends.exchange import Head
from quincespool.gateway.backends.exchange import Piece
from quincespool.gateway.clock import now_ms
from quincespool.gateway.futures import start_background_task

if TYPE_CHECKING:
    from collections.abc import Callable

    from quincespool.gateway.backends.crashes import CrashWatch
    from quincespool.gateway.backends.exchange import ExchangeEvent
    from quincespool.gateway.backends.pool import ConnectionPool
    from quincespool.gateway.backends.reports import BackendReports
    from quincespool.gateway.backends.table import Backends
    from quincespool.gateway.decision_log import DecisionLog
    from quincespool.gateway.model import BackendEntry
    from quincespool.gateway.model import Call
    from quincespool.gateway.model import Headers
    from quincespool.gateway.platform_codec import AnswerHead
    from quincespool.gateway.platform_codec import PlatformCodec
    from quincespool.net.metrics import Metrics

MAX_ANSWER_BYTES = 16_000_000
BACKEND_FULL = "backend_full"
BACKEND_REPLACED = "backend_replaced"
# A process that has crashed refuses connections by now; one that is replaced takes seconds.
CRASH_CHECK_S = 0.1

# A timer that fires so late says that this process is short of processor time; the answer may wait
# in its own socket.
LATE_TIMER_S = 0.03

_checks: set[asyncio.Task[None]] = set()


class NotRun(NamedTuple):
    """The call has not run at this backend server and never will.

    Attributes:
      sent: Whether it reached the backend server, which refused it.
    """

    reason: str
    sent: bool


class Lost(NamedTuple):
    """The call may have run; there will be no answer."""

    reason: str


class Whole(NamedTuple):
    """The backend server's whole answer."""

    status: int
    headers: Headers
    body: bytes


class Services(NamedTuple):
    """What attempts share."""

    backends: Backends
    pool: ConnectionPool
    wire: PlatformCodec
    log: DecisionLog
    metrics: Metrics
    crashes: CrashWatch
    tell_crash: Callable[[str, str], None]
    backend_reports: BackendReports


class Attempt:
    """A call on its way to one backend server. Use as an asynchronous context manager.

    Attributes:
      entry: The backend server.
    """

    def __init__(self, services: Services, entry: BackendEntry, call: Call) -> None:
        self.entry = entry
        self._services = services
        self._call = call
        self._connection: BackendConnection | None = None
        self._idle_s: float | None = None
        self._started_ms = now_ms()
        self._settled = False
        self._sent_s = 0.0
        self._overdue: asyncio.TimerHandle | None = None

    async def __aenter__(self) -> Attempt:
        self._services.backends.started(self.entry.backend_id)
        return self

    async def __aexit__(self, *exc: object) -> None:
        self._services.backends.finished(self.entry.backend_id)
        self._stop_overdue()
        if self._connection is None:
            return
        if self._settled:
            self._services.pool.give_back(self.entry, self._connection, self._idle_s)
        else:
            # Closing is what tells the backend server to stop working on the call.
            self._services.pool.discard(self.entry, self._connection)

    async def send(self, body: bytes, headers: Headers) -> NotRun | None:
        """Connects and sends; returns why that did not happen, if so."""
        services, entry = self._services, self.entry
        try:
            self._connection = await services.pool.take(entry)
            self._connection.send(
                self._call.method, self._call.target, headers, body, is_mine=self._is_mine
            )
        except ConnectError as error:
            ejected = self._blame("unreachable", unreachable=True)
            services.pool.drop(entry.backend_id)
            services.log.write(
                "backend unreachable",
                call_id=self._call.call_id,
                backend_id=entry.backend_id,
                detail=str(error),
                ejected=ejected,
            )
            services.metrics.count("gateway_attempts_total", outcome="unreachable")
            return NotRun("backend_unreachable", sent=False)
        services.log.write(
            "sent",
            call_id=self._call.call_id,
            backend_id=entry.backend_id,
            service=entry.service,
            load=services.backends.in_flight.get(entry.backend_id, 0),
            slots=entry.slots,
            connected_ms=now_ms() - self._started_ms,
        )
        self._start_overdue()
        return None

    async def next_event(self) -> ExchangeEvent:
        """Returns what comes next of the answer."""
        assert self._connection is not None
        return await self._connection.next_event()

    async def head(self) -> AnswerHead | NotRun | Lost:
        """Returns the head of the answer, or why there is none that counts."""
        event = await self.next_event()
        self._stop_overdue()
        if isinstance(event, Broken):
            return self.lose(event)
        assert isinstance(event, Head)
        took_s = asyncio.get_running_loop().time() - self._sent_s
        head = self._services.wire.read_answer_head(event.status, event.headers)
        self._idle_s = head.idle_s
        if head.not_run:
            await self._drain()
            return self._refused(head.status)
        if head.status < 300 and not head.stamped:
            # Whatever answers without the receipt is not the backend server of the call, or broken.
            return self.lose(Broken(f"status {head.status} without receipt", closed=False))
        self._services.backends.began(self.entry, took_s * 1000, now_ms())
        return head

    async def body(self) -> bytes | Lost:
        """Returns the rest of the answer's body."""
        pieces: list[bytes] = []
        size_bytes = 0
        while True:
            event = await self.next_event()
            if isinstance(event, End):
                return b"".join(pieces)
            if isinstance(event, Broken):
                return self.lose(event)
            if isinstance(event, Piece):
                pieces.append(event.data)
                size_bytes += len(event.data)
            if size_bytes > MAX_ANSWER_BYTES:
                return self.lose(Broken("the answer is too large", closed=False))

    def settle(self, *, sound: bool) -> None:
        """The answer is whole: the connection may be used again.

        Args:
          sound: Whether the answer speaks for the backend server.
        """
        self._settled = True
        if sound:
            took_s = asyncio.get_running_loop().time() - self._sent_s
            self._services.backends.succeeded(self.entry, took_s * 1000)
        else:
            self._blame("unsound")
        self._services.metrics.count("gateway_attempts_total", outcome="answered")
        self._services.crashes.clear(fingerprint(self._call))

    def timed_out(self) -> Lost:
        """Takes note that no answer came in time."""
        return self.lose(Broken("no answer in time", closed=False))

    def _is_mine(self, headers: Headers) -> bool:
        answered = self._services.wire.read_answer_head(0, headers).call_id
        return not answered or answered == self._call.call_id

    def _refused(self, status: int) -> NotRun:
        self._settled = True
        self._services.metrics.count("gateway_attempts_total", outcome="refused")
        self._services.log.write(
            "backend refused",
            call_id=self._call.call_id,
            backend_id=self.entry.backend_id,
            status=status,
            load=self._services.backends.in_flight.get(self.entry.backend_id, 0),
        )
        if status == 421:
            # Another backend server has the address: this one has gone without a word.
            self._blame("replaced", unreachable=True)
            return NotRun(BACKEND_REPLACED, sent=True)
        return NotRun(BACKEND_FULL, sent=True)

    async def _drain(self) -> None:
        while not isinstance(await self.next_event(), End | Broken):
            pass

    def lose(self, event: Broken) -> Lost:
        """Takes note that there will be no whole answer."""
        services, entry = self._services, self.entry
        ejected = self._blame("lost")
        services.metrics.count("gateway_attempts_total", outcome="lost")
        services.log.write(
            "answer lost",
            call_id=self._call.call_id,
            backend_id=entry.backend_id,
            detail=event.detail,
            after_ms=now_ms() - self._started_ms,
            ejected=ejected,
        )
        # One that leaves ends by itself with whatever is there, which is no crash.
        if event.closed and services.backends.is_usable(entry.incarnation):
            start_background_task(self._check_crash(), _checks)
        return Lost(event.detail)

    def _blame(self, reason: str, *, unreachable: bool = False) -> bool:
        """Counts a failure against the backend server; returns whether it is ejected for it."""
        services, entry = self._services, self.entry
        services.backend_reports.report(entry, reason)
        return services.backends.failed(entry.backend_id, now_ms(), unreachable=unreachable)

    def _start_overdue(self) -> None:
        loop = asyncio.get_running_loop()
        self._sent_s = loop.time()
        limit_ms = self._services.backends.times.overdue_ms(self.entry.service)
        if limit_ms is not None:
            due_s = self._sent_s + limit_ms / 1000
            self._overdue = loop.call_at(due_s, self._note_overdue, due_s, int(limit_ms))

    def _stop_overdue(self) -> None:
        if self._overdue is not None:
            self._overdue.cancel()
            self._overdue = None

    def _note_overdue(self, due_s: float, late_ms: int) -> None:
        """Tells of a backend server that has not begun to answer long after others would have."""
        if asyncio.get_running_loop().time() - due_s < LATE_TIMER_S:
            self._services.backend_reports.report_late(self.entry, late_ms)

    async def _check_crash(self) -> None:
        """Finds out whether the backend server went down with the call, and tells the others.

        A lost answer looks the same at first; only a backend server that is down refuses to be
        connected to.
        """
        await asyncio.sleep(CRASH_CHECK_S)
        probe = BackendConnection()
        try:
            await probe.connect(self.entry.address)
        except ConnectError:
            mark = fingerprint(self._call)
            # Two lives under one id are two crashes.
            life = str(self.entry.incarnation)
            crashes = self._services.crashes.note(mark, life, now_ms())
            self._services.tell_crash(mark, life)
            self._services.log.write(
                "backend crashed",
                call_id=self._call.call_id,
                backend_id=life,
                fingerprint=mark,
                crashes=crashes,
            )
        finally:
            probe.close()
