"""One connection to a backend server: a request, then its answer event by event."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import NamedTuple
from typing import cast

import h11

from quincespool.net.addresses import split_address
from quincespool.net.socket_options import limit_silence

if TYPE_CHECKING:
    from collections.abc import Callable

    from quincespool.gateway.model import Headers

# A connection within a region is there in a few milliseconds, and a lost opening packet is sent
# again only after a second. Nothing has been sent yet, so the call goes to another backend server;
# each tenth of a second of waiting before that is lost to it.
CONNECT_LIMIT_S = 0.3
# Sent data that stays unacknowledged for longer has met a host that is gone or a cut link.
UNACKNOWLEDGED_MS = 1_500
# An engine that says nothing of its idle limit closes after a few seconds at the least.
DEFAULT_IDLE_S = 2.0
# A connection is given up this long before the backend server would close it, since a request that
# crosses the closing ends as "may have run".
IDLE_MARGIN_S = 1.0


class Head(NamedTuple):
    """The head of the answer; header names are in lower case."""

    status: int
    headers: Headers


class Piece(NamedTuple):
    """A piece of the body."""

    data: bytes


class End(NamedTuple):
    """The answer is whole."""


class Broken(NamedTuple):
    """The answer will never be whole.

    Attributes:
      closed: Whether the backend server closed or reset the connection, as one that crashes does.
    """

    detail: str
    closed: bool


ExchangeEvent = Head | Piece | End | Broken


class ConnectError(Exception):
    """No connection; nothing was sent.

    Attributes:
      silent: Whether the host did not answer at all.
    """

    def __init__(self, detail: str, *, silent: bool = False) -> None:
        super().__init__(detail)
        self.silent = silent


class BackendConnection(asyncio.Protocol):
    """A connection that carries one request at a time.

    Attributes:
      idle_until_s: Loop time until which it may be used again.
      heard_s: Loop time at which something came last, or the request was sent.
    """

    def __init__(self) -> None:
        self.idle_until_s = 0.0
        self.heard_s = 0.0
        self._transport: asyncio.Transport | None = None
        self._http = h11.Connection(h11.CLIENT)
        self._events: asyncio.Queue[ExchangeEvent] = asyncio.Queue()
        self._request: h11.Request | None = None
        self._is_mine: Callable[[Headers], bool] = lambda _: True
        self._skipping = False
        self._whole = True
        self._lost = False

    @property
    def owes_answer(self) -> bool:
        """Whether the answer to a request that was sent is not whole."""
        return not self._whole

    @property
    def usable(self) -> bool:
        """Whether a further request may be sent."""
        return self._whole and not self._lost and self._transport is not None

    async def connect(self, address: str, *, limit_s: float = CONNECT_LIMIT_S) -> None:
        """Connects.

        Raises:
          ConnectError: if that fails.
        """
        loop = asyncio.get_running_loop()
        try:
            host, port = split_address(address)
            async with asyncio.timeout(limit_s):
                await loop.create_connection(lambda: self, host, port)
        except (OSError, ValueError) as error:
            silent = isinstance(error, TimeoutError)
            raise ConnectError(f"{address}: {error!r}", silent=silent) from error

    def send(
        self,
        method: str,
        target: str,
        headers: Headers,
        body: bytes,
        *,
        is_mine: Callable[[Headers], bool],
    ) -> None:
        """Sends a request.

        Args:
          method: As the caller sent it.
          target: As the caller sent it.
          headers: Without those that frame the body.
          body: The whole body.
          is_mine: Whether an answer with these headers is to this request.

        Raises:
          ConnectError: if it cannot be sent; nothing was.
        """
        if not self.usable or self._transport is None:
            raise ConnectError("the connection was closed meanwhile")
        framing = [("content-length", str(len(body)))] if body or method != "GET" else []
        try:
            self._request = h11.Request(method=method, target=target, headers=[*headers, *framing])
            head = self._http.send(self._request) or b""
        except h11.LocalProtocolError as error:
            raise ConnectError(f"not a request: {error}") from error
        data = self._http.send(h11.Data(data=body)) or b"" if body else b""
        self._http.send(h11.EndOfMessage())
        self._is_mine = is_mine
        self._whole = False
        self._events = asyncio.Queue()
        self.heard_s = asyncio.get_running_loop().time()
        self._transport.write(head + data)

    async def next_event(self) -> ExchangeEvent:
        """Returns what comes next of the answer; after `End` or `Broken` nothing does."""
        return await self._events.get()

    def keep(self, idle_s: float | None) -> None:
        """Notes how long the connection may stay idle, as the backend server says."""
        limit_s = DEFAULT_IDLE_S if idle_s is None else min(idle_s, 4 * DEFAULT_IDLE_S)
        self.idle_until_s = asyncio.get_running_loop().time() + max(0.0, limit_s - IDLE_MARGIN_S)

    def close(self) -> None:
        """Closes the connection, which makes the backend server drop a request on it."""
        self._lost = True
        if self._transport is not None:
            self._transport.abort()

    def break_off(self, detail: str) -> None:
        """Ends the answer under way: the backend server is known to be gone."""
        self._break(detail, closed=True)
        self.close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Limits how long a silent backend server is waited for."""
        self._transport = cast("asyncio.Transport", transport)
        limit_silence(self._transport, unacknowledged_ms=UNACKNOWLEDGED_MS)
        if self._lost:
            self._transport.abort()

    def data_received(self, data: bytes) -> None:
        """Takes what the backend server sends."""
        if self._whole:
            # Nothing was asked. A second answer to an earlier request would be taken for the answer
            # to the next one; a connection that carries such bytes is not used again.
            self.close()
            return
        self.heard_s = asyncio.get_running_loop().time()
        self._http.receive_data(data)
        self._read()

    def eof_received(self) -> bool:
        """Takes the end of the connection, which may be the end of an answer without length."""
        if not self._whole:
            self._http.receive_data(b"")
            self._read()
        self._lost = True
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends the answer if it is not whole."""
        self._lost = True
        self._break(f"connection lost: {exc!r}", closed=not isinstance(exc, TimeoutError))

    def _read(self) -> None:
        while not self._whole:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as error:
                ended = self._http.trailing_data[1]
                self._break(f"broken off or malformed: {error}", closed=ended)
                return
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            self._take(event)

    def _take(self, event: object) -> None:
        if isinstance(event, h11.Response):
            headers = tuple((k.decode("latin-1"), v.decode("latin-1")) for k, v in event.headers)
            self._skipping = not self._is_mine(headers)
            if not self._skipping:
                self._events.put_nowait(Head(event.status_code, headers))
        elif isinstance(event, h11.Data):
            if not self._skipping:
                self._events.put_nowait(Piece(bytes(event.data)))
        elif isinstance(event, h11.EndOfMessage):
            self._end()
        elif isinstance(event, h11.ConnectionClosed):
            self._break("closed before an answer", closed=True)

    def _end(self) -> None:
        if self._skipping:
            self._skip_late_answer()
            return
        unsent = self._transport is not None and self._transport.get_write_buffer_size() > 0
        reusable = self._http.our_state is h11.DONE and self._http.their_state is h11.DONE
        extra = bool(self._http.trailing_data[0])
        self._whole = True
        if reusable and not unsent and not extra and not self._lost:
            self._http.start_next_cycle()
        else:
            # Bytes beyond the answer, or a body that the backend server has not read: what follows
            # on this connection belongs to no request.
            self.close()
        self._events.put_nowait(End())

    def _skip_late_answer(self) -> None:
        """Goes on reading after an answer to an earlier request of this connection."""
        rest = self._http.trailing_data[0]
        self._http = h11.Connection(h11.CLIENT)
        assert self._request is not None
        self._http.send(self._request)
        if self._http.our_state is h11.SEND_BODY:
            length = int(dict(self._request.headers).get(b"content-length", b"0"))
            self._http.send(h11.Data(data=bytes(length)))
            self._http.send(h11.EndOfMessage())
        self._http.receive_data(rest)

    def _break(self, detail: str, *, closed: bool) -> None:
        if self._whole:
            return
        self._whole = True
        self._events.put_nowait(Broken(detail, closed))
        self.close()
