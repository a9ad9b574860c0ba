"""An HTTP port of the gateway: accepts connections and runs a handler for each request."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import Protocol

from quincespool.gateway.futures import report_exception
from quincespool.net.http_connection import Connection
from quincespool.net.http_response import HttpResponse
from quincespool.net.listener import Listener

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Coroutine

    from quincespool.net.connection_limits import ConnectionLimits
    from quincespool.net.connection_table import ConnectionTable
    from quincespool.net.held_memory import HeldMemory
    from quincespool.net.metrics import Metrics
    from quincespool.net.requests import HttpRequest
    from quincespool.net.requests import RequestError

OVERLOAD_RETRY_S = "0.5"


class Handler(Protocol):
    """Answers the requests of one port."""

    def handle(self, connection: Connection, request: HttpRequest) -> Coroutine[None, None, None]:
        """Answers a request on its connection; cancelled if the caller disconnects."""

    def make_error_response(self, request: HttpRequest | None, error: RequestError) -> HttpResponse:
        """Returns the answer to a request that cannot be read."""

    def make_fault_response(self, request: HttpRequest) -> HttpResponse:
        """Returns the answer to a request whose handler raised an unexpected exception."""


class HttpPort:
    """Accepts connections and runs one task for each request.

    Attributes:
      limits: The limits in force for what callers send.
      draining: Whether answers tell callers to close their connections.
      memory: Bounds what the connections of all ports hold.
    """

    def __init__(
        self,
        handler: Handler,
        *,
        limits: ConnectionLimits,
        memory: HeldMemory,
        connections: ConnectionTable[Connection],
        metrics: Metrics,
        may_take: Callable[[], bool] = lambda: True,
    ) -> None:
        """Creates a port that does not listen yet.

        Args:
          handler: Answers the requests.
          limits: The limits at first.
          memory: Bounds what the connections of all ports hold.
          connections: Bounds the connections; may be shared by several ports.
          metrics: Counts connections that are refused or dropped.
          may_take: Whether requests may be taken now; if not, `resume` must be called later.
        """
        self.limits = limits
        self.draining = False
        self._handler = handler
        self._metrics = metrics
        self._may_take = may_take
        self.memory = memory
        self._table = connections
        # Those of this port; the table may be shared by several ports.
        self._connections: set[Connection] = set()
        self._tasks: dict[Connection, asyncio.Task[None]] = {}
        self._listener = Listener(lambda: Connection(self))

    @property
    def active_requests(self) -> int:
        """Number of requests in progress."""
        return sum(connection.busy for connection in self._connections)

    @property
    def connection_count(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    async def start(self, host: str, port: int) -> None:
        """Starts to listen.

        Raises:
          OSError: if the port cannot be bound.
        """
        await self._listener.start(host, port)

    def apply_limits(self, limits: ConnectionLimits) -> None:
        """Puts limits in force, on the open connections too."""
        if limits == self.limits:
            return
        self.limits = limits
        for connection in self._connections:
            connection.apply_limits()

    def may_take(self) -> bool:
        """See `ConnectionOwner.may_take`."""
        return self._may_take()

    def resume(self) -> None:
        """Takes the requests that have arrived while none were taken."""
        for connection in list(self._connections):
            connection.resume()

    def stop(self) -> None:
        """Stops accepting connections and closes the idle ones."""
        self._listener.stop()
        self.close_idle()

    def close_idle(self) -> None:
        """Closes the connections that have no request in progress."""
        for connection in list(self._connections):
            connection.close_if_idle()

    async def cancel_requests(self) -> None:
        """Cancels the requests in progress; their handlers answer the callers accordingly."""
        tasks = list(self._tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def opened(self, connection: Connection) -> bool:
        """See `ConnectionOwner.opened`."""
        if not self._table.add(connection):
            self._metrics.count("http_refused_connections_total")
            return False
        self._connections.add(connection)
        return True

    def closed(self, connection: Connection) -> None:
        """See `ConnectionOwner.closed`."""
        self._connections.discard(connection)
        self._table.discard(connection)
        task = self._tasks.pop(connection, None)
        if task is not None:
            task.cancel()

    def dropped(self) -> None:
        """See `ConnectionOwner.dropped`."""
        self._metrics.count("http_dropped_connections_total")

    def handle(self, connection: Connection, request: HttpRequest) -> None:
        """See `ConnectionOwner.handle`."""
        self._table.record_start(connection)
        work = self._handler.handle(connection, request)
        task = asyncio.get_running_loop().create_task(work)
        self._tasks[connection] = task
        task.add_done_callback(lambda done: self._finish(connection, request, done))

    def refuse(self, connection: Connection, error: RequestError) -> None:
        """See `ConnectionOwner.refuse`."""
        connection.respond(self._handler.make_error_response(None, error))

    def overloaded(self, connection: Connection) -> None:
        """See `ConnectionOwner.overloaded`."""
        connection.respond(HttpResponse(503, [("retry-after", OVERLOAD_RETRY_S)], b""))

    def _finish(
        self, connection: Connection, request: HttpRequest, task: asyncio.Task[None]
    ) -> None:
        if self._tasks.get(connection) is task:
            del self._tasks[connection]
            self._table.record_end(connection)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            report_exception("request failed", error)
            connection.fail(request, self._handler.make_fault_response(request))
