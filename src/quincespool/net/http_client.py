"""Requests to backend servers: `StartExchange` becomes a connection, what comes back events."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import cast

import h11

from quincespool.core.events import ExchangeData
from quincespool.core.events import ExchangeEnd
from quincespool.core.events import ExchangeFailed
from quincespool.core.events import ExchangeHead
from quincespool.net.addresses import split_address
from quincespool.net.http_response import MAX_STATUS
from quincespool.net.socket_options import limit_silence

if TYPE_CHECKING:
    from collections.abc import Callable

    from quincespool.core.effects import StartExchange
    from quincespool.core.events import Event
    from quincespool.net.clock import Clock
    from quincespool.net.metrics import Metrics

CONNECT_LIMIT_MS = 2000
MAX_RESPONSE_BYTES = 64_000_000


class Exchanges:
    """The requests to backend servers under way.

    Every exchange has a connection of its own, made for it and closed after it. A pool would save a
    round trip within a region, but a pooled connection that the backend server has meanwhile closed
    looks exactly like one that crashed with our request on it: a licensed call would end as "may
    have run" and a harmless request would be counted as one that crashes backend servers. An answer
    that comes late can't meet another request's connection either.
    """

    def __init__(
        self,
        *,
        post: Callable[[Event], None],
        clock: Clock,
        metrics: Metrics,
        stale_after_ms: int,
    ) -> None:
        self._post = post
        self._clock = clock
        self._metrics = metrics
        self._stale_after_ms = stale_after_ms
        self._exchanges: dict[int, _Exchange] = {}
        self._connecting: dict[int, asyncio.Task[None]] = {}
        metrics.watch("exchanges", lambda: len(self._exchanges))

    def start(self, effect: StartExchange) -> None:
        """Connects and sends the request."""
        exchange = _Exchange(effect=effect, owner=self)
        self._exchanges[effect.exchange_id] = exchange
        task = asyncio.get_running_loop().create_task(
            self._connect(exchange, asked_ms=self._clock.now_ms())
        )
        self._connecting[effect.exchange_id] = task
        task.add_done_callback(lambda _: self._connecting.pop(effect.exchange_id, None))

    def stop(self, exchange_id: int) -> None:
        """Breaks an exchange off; no event of it follows."""
        exchange = self._exchanges.pop(exchange_id, None)
        if exchange is None:
            return
        self._metrics.count("exchanges_total", result="stopped")
        self._close(exchange)

    def stop_all(self) -> None:
        """Breaks all exchanges off."""
        for exchange_id in list(self._exchanges):
            self.stop(exchange_id)

    def deliver(self, event: ExchangeHead | ExchangeData) -> None:
        """Hands an event on unless its exchange is over."""
        if event.exchange_id in self._exchanges:
            self._post(event)

    def finish(self, event: ExchangeEnd | ExchangeFailed) -> None:
        """Ends an exchange with its last event."""
        exchange = self._exchanges.pop(event.exchange_id, None)
        if exchange is None:
            return
        result = "failed" if isinstance(event, ExchangeFailed) else "ended"
        self._metrics.count("exchanges_total", result=result)
        self._close(exchange)
        self._post(event)

    async def _connect(self, exchange: _Exchange, *, asked_ms: int) -> None:
        # From when it was asked for: the process may stand still before this first runs.
        effect = exchange.effect
        limit_ms = min(CONNECT_LIMIT_MS, effect.time_limit_ms)
        try:
            host, port = split_address(effect.address)
            async with asyncio.timeout(limit_ms / 1000):
                await asyncio.get_running_loop().create_connection(lambda: exchange, host, port)
        except (OSError, ValueError) as error:
            self._fail_unsent(exchange, f"cannot connect to {effect.address}: {error!r}")
            return
        waited_ms = self._clock.now_ms() - asked_ms
        if waited_ms > self._stale_after_ms:
            # The process may have stood still while it was connecting, and its licence and lease be
            # taken over meanwhile; the request would then run although it was given up elsewhere.
            # This is the last point at which nothing has been sent.
            self._fail_unsent(exchange, f"connecting took {waited_ms} ms; not sent")
            return
        exchange.send(time_limit_ms=effect.time_limit_ms - waited_ms)

    def _fail_unsent(self, exchange: _Exchange, detail: str) -> None:
        exchange_id = exchange.effect.exchange_id
        self.finish(ExchangeFailed(exchange_id=exchange_id, sent=False, cut=False, detail=detail))

    def _close(self, exchange: _Exchange) -> None:
        exchange.close()
        task = self._connecting.get(exchange.effect.exchange_id)
        if task is not None and task is not asyncio.current_task():
            task.cancel()


class _Exchange(asyncio.Protocol):
    """One request and its response on a connection of their own."""

    def __init__(self, *, effect: StartExchange, owner: Exchanges) -> None:
        self.effect = effect
        self._owner = owner
        self._http = h11.Connection(h11.CLIENT)
        self._transport: asyncio.Transport | None = None
        self._limit: asyncio.TimerHandle | None = None
        self._response_bytes = 0
        self._has_length = False
        self._sent = False
        self._closed = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast("asyncio.Transport", transport)
        limit_silence(self._transport)
        if self._closed:
            self._transport.abort()

    def send(self, *, time_limit_ms: int) -> None:
        """Sends the request, once."""
        if self._closed or self._transport is None:
            return
        effect = self.effect
        headers = [
            ("host", effect.address),
            ("connection", "close"),
            ("content-length", str(len(effect.body))),
            *effect.headers,
        ]
        try:
            request = h11.Request(method=effect.method, target=effect.path, headers=headers)
            head = self._http.send(request) or b""
        except h11.LocalProtocolError as error:
            self._fail(cut=False, detail=f"not a request: {error}")
            return
        body = self._http.send(h11.Data(data=effect.body)) or b""
        self._http.send(h11.EndOfMessage())
        self._sent = True
        loop = asyncio.get_running_loop()
        self._limit = loop.call_later(max(0, time_limit_ms) / 1000, self._out_of_time)
        self._transport.write(head + body)

    def data_received(self, data: bytes) -> None:
        if self._closed:
            return
        self._response_bytes += len(data)
        if self._response_bytes > MAX_RESPONSE_BYTES:
            self._fail(cut=False, detail="the response is too large")
            return
        self._http.receive_data(data)
        self._read()

    def eof_received(self) -> bool:
        if not self._closed:
            self._http.receive_data(b"")
            self._read()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        # A host that has vanished says nothing (the kernel reports a timeout); only a connection
        # that was closed or reset may be the doing of the request on it.
        vanished = isinstance(exc, TimeoutError)
        self._fail(cut=self._sent and not vanished, detail=f"connection lost: {exc!r}")

    def close(self) -> None:
        """Breaks the connection off, whatever is on it."""
        self._closed = True
        if self._limit is not None:
            self._limit.cancel()
        if self._transport is not None:
            self._transport.abort()

    def _read(self) -> None:
        while not self._closed:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as error:
                ended = self._http.trailing_data[1]
                self._fail(cut=ended, detail=f"response broken off or malformed: {error}")
                return
            if event is h11.NEED_DATA:
                return
            self._take(event)

    def _take(self, event: object) -> None:
        exchange_id = self.effect.exchange_id
        if isinstance(event, h11.Response):
            if event.status_code > MAX_STATUS:
                self._fail(cut=False, detail=f"status {event.status_code}")
                return
            headers = {k.decode("latin-1"): v.decode("latin-1") for k, v in event.headers}
            self._has_length = _has_length(event, headers)
            self._owner.deliver(
                ExchangeHead(exchange_id=exchange_id, status=event.status_code, headers=headers)
            )
        elif isinstance(event, h11.Data):
            self._owner.deliver(ExchangeData(exchange_id=exchange_id, data=bytes(event.data)))
        elif isinstance(event, h11.EndOfMessage):
            self._end()
        elif isinstance(event, h11.ConnectionClosed):
            self._fail(cut=True, detail="closed before a response")

    def _end(self) -> None:
        if self._has_length:
            self._owner.finish(ExchangeEnd(exchange_id=self.effect.exchange_id))
            return
        # A body that ends with the connection looks the same whether it is whole or the backend
        # server died while sending it; a caller would take half an answer for the whole.
        self._fail(cut=False, detail="the response does not say where it ends")

    def _out_of_time(self) -> None:
        self._fail(cut=False, detail=f"no whole response in {self.effect.time_limit_ms} ms")

    def _fail(self, *, cut: bool, detail: str) -> None:
        if self._closed:
            return
        exchange_id = self.effect.exchange_id
        self._owner.finish(
            ExchangeFailed(exchange_id=exchange_id, sent=self._sent, cut=cut, detail=detail)
        )


def _has_length(response: h11.Response, headers: dict[str, str]) -> bool:
    return (
        "content-length" in headers
        or "transfer-encoding" in headers
        or response.status_code in {204, 304}
    )
