"""A connection to a backend server that sends a request and reads its answer as events."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import NamedTuple
from typing import cast

import h11

from quincespool.net.addresses import split_address
from quincespool.net.http_response import MAX_STATUS
from quincespool.net.socket_options import last_received_ms_ago
from quincespool.net.socket_options import limit_buffers
from quincespool.net.socket_options import limit_silence
from quincespool.net.socket_options import probe_after

if TYPE_CHECKING:
    from collections.abc import Callable

    from quincespool.gateway.model import Headers

# A connection within a region takes a few milliseconds, and a lost SYN packet is sent again only
# after a second. No request has been sent yet, so the call can go to another backend server; each
# 100 ms of waiting before that delays it.
CONNECT_TIMEOUT_S = 0.3
# Sent data that stays unacknowledged for longer than this shows that the host is down or the link
# is cut.
UNACKNOWLEDGED_MS = 1_500
# Assumed for an engine that does not state its idle timeout: no engine closes a connection that has
# been idle for less than a few seconds.
DEFAULT_IDLE_TIMEOUT_S = 2.0
# A connection is no longer used from this long before the backend server would close it, since a
# request that is sent while it closes ends with the verdict "may have run".
IDLE_MARGIN_S = 1.0
# What waits to be taken, of one answer; then nothing more is read.
MAX_QUEUED_BYTES = 65_536
# Objects of one chunk, beside its data.
CHUNK_BYTES = 128
# What comes on a connection before the head of the awaited answer: interim answers, and answers to
# earlier requests.
MAX_UNMATCHED_BYTES = 1_048_576
# Answers to earlier requests before the awaited one; each takes a parser of its own.
MAX_LATE_ANSWERS = 16


class Head(NamedTuple):
    """The status and headers of the answer; header names are in lower case."""

    status: int
    headers: Headers


class AnswerChunk(NamedTuple):
    """A part of the answer's body."""

    data: bytes


class AnswerEnd(NamedTuple):
    """The answer is complete.

    Attributes:
      closed: Whether the answer states neither a length nor chunks, and ended with its connection.
    """

    closed: bool


class AnswerBroken(NamedTuple):
    """The answer ended early or is malformed, and will never be complete.

    Attributes:
      closed: Whether the backend server closed or reset the connection, as one that crashes does.
    """

    detail: str
    closed: bool


ExchangeEvent = Head | AnswerChunk | AnswerEnd | AnswerBroken


class ConnectError(Exception):
    """The connection could not be made or used; no request was sent.

    Attributes:
      silent: Whether the host did not answer within the timeout.
      refused: Whether the host refused the connection, as nobody listens at the address.
    """

    def __init__(self, detail: str, *, silent: bool = False, refused: bool = False) -> None:
        super().__init__(detail)
        self.silent = silent
        self.refused = refused


class BackendConnection(asyncio.Protocol):
    """An HTTP connection to a backend server that carries one request at a time.

    Attributes:
      address: Host and port that it was made to; empty before.
      idle_until_s: Event loop time until which the idle connection may be used again.
      queued_bytes: Memory of the chunks of the answer that wait to be taken.
      last_received_s: Event loop time at which data was last received or the last request was
        sent, whichever is later.
    """

    def __init__(self) -> None:
        self.address = ""
        self.idle_until_s = 0.0
        self.last_received_s = 0.0
        self.queued_bytes = 0
        self._transport: asyncio.Transport | None = None
        self._http = h11.Connection(h11.CLIENT)
        self._events: asyncio.Queue[ExchangeEvent] = asyncio.Queue()
        self._request: h11.Request | None = None
        self._matches_request: Callable[[Headers], bool] = lambda _: True
        self._on_queued: Callable[[], None] = lambda: None
        self._is_reading = True
        self._is_stale_answer = False
        self._late_answers = 0
        self._has_head = False
        self._unmatched_bytes = 0
        self._complete = True
        self._closed = False

    @property
    def is_awaiting_answer(self) -> bool:
        """Whether the answer to a request that was sent is not complete yet."""
        return not self._complete

    @property
    def is_reusable(self) -> bool:
        """Whether another request may be sent."""
        return self._complete and not self._closed and self._transport is not None

    async def connect(self, address: str, *, timeout_s: float = CONNECT_TIMEOUT_S) -> None:
        """Connects to a backend server.

        Args:
          address: Host and port.
          timeout_s: Time after which the attempt fails.

        Raises:
          ConnectError: If the connection can't be made in time.
        """
        loop = asyncio.get_running_loop()
        self.address = address
        try:
            host, port = split_address(address)
            async with asyncio.timeout(timeout_s):
                await loop.create_connection(lambda: self, host, port)
        except (OSError, ValueError) as error:
            raise ConnectError(
                f"{address}: {error!r}",
                silent=isinstance(error, TimeoutError),
                refused=isinstance(error, ConnectionRefusedError),
            ) from error

    def send(
        self,
        method: str,
        target: str,
        headers: Headers,
        body: bytes,
        *,
        matches_request: Callable[[Headers], bool],
        on_queued: Callable[[], None] = lambda: None,
    ) -> None:
        """Sends a request.

        Args:
          method: The HTTP method that the caller sent.
          target: The request target that the caller sent.
          headers: The headers, except those that state the length of the body.
          body: The complete body.
          matches_request: Returns whether an answer with the given headers belongs to this request.
          on_queued: Called when `queued_bytes` changes, until the answer is over.

        Raises:
          ConnectError: If the request can't be sent. No part of it was sent in this case.
        """
        if not self.is_reusable or self._transport is None:
            raise ConnectError("the connection was closed before the request was sent")
        framing = [("content-length", str(len(body)))] if body or method != "GET" else []
        try:
            self._request = h11.Request(method=method, target=target, headers=[*headers, *framing])
            head = self._http.send(self._request) or b""
        except h11.LocalProtocolError as error:
            raise ConnectError(f"the request is not valid HTTP: {error}") from error
        data = self._http.send(h11.Data(data=body)) or b"" if body else b""
        self._http.send(h11.EndOfMessage())
        self._matches_request = matches_request
        self._on_queued = on_queued
        self._complete = False
        self._has_head = False
        self._unmatched_bytes = 0
        self._events = asyncio.Queue()
        self.last_received_s = asyncio.get_running_loop().time()
        self._transport.write(head + data)

    async def next_event(self) -> ExchangeEvent:
        """Waits for the next event; `AnswerEnd` or `AnswerBroken` is the last one of an answer."""
        event = await self._events.get()
        if isinstance(event, AnswerChunk):
            self._count_queued(-len(event.data) - CHUNK_BYTES)
        return event

    def _count_queued(self, added_bytes: int) -> None:
        """Counts a chunk that came or was taken; reads no more while too much waits."""
        self.queued_bytes += added_bytes
        if self._closed or self._transport is None:
            return
        if self._is_reading and self.queued_bytes > MAX_QUEUED_BYTES:
            self._is_reading = False
            self._transport.pause_reading()
        elif not self._is_reading and self.queued_bytes <= MAX_QUEUED_BYTES // 2:
            self._is_reading = True
            self.last_received_s = asyncio.get_running_loop().time()
            self._transport.resume_reading()
        # Last, as it may close the connection.
        self._on_queued()

    def probe_after(self, idle_s: int) -> None:
        """Has the kernel probe the host once nothing has been received from it for `idle_s`."""
        if self._transport is not None:
            probe_after(self._transport, idle_s)

    def heard_ms_ago(self) -> int | None:
        """Returns how long ago the host sent data or an acknowledgement; None if not known."""
        return None if self._transport is None else last_received_ms_ago(self._transport)

    def set_idle_timeout(self, idle_s: float | None) -> None:
        """Sets how long the connection may stay idle.

        Args:
          idle_s: The timeout in seconds that the backend server stated; None if it stated none.
        """
        timeout_s = (
            DEFAULT_IDLE_TIMEOUT_S if idle_s is None else min(idle_s, 4 * DEFAULT_IDLE_TIMEOUT_S)
        )
        self.idle_until_s = asyncio.get_running_loop().time() + max(0.0, timeout_s - IDLE_MARGIN_S)

    def close(self) -> None:
        """Closes the connection; the backend server then stops working on its request."""
        self._closed = True
        if self._transport is not None:
            self._transport.abort()

    def abort_answer(self, detail: str) -> None:
        """Ends the answer in progress, since the backend server is known to have stopped."""
        self._on_broken_answer(detail, closed=True)
        self.close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Sets the time after which a connection with unacknowledged data is closed."""
        self._transport = cast("asyncio.Transport", transport)
        limit_silence(self._transport, unacknowledged_ms=UNACKNOWLEDGED_MS)
        limit_buffers(self._transport.get_extra_info("socket"))
        if self._closed:
            self._transport.abort()

    def data_received(self, data: bytes) -> None:
        """Parses data that the backend server has sent."""
        if self._complete:
            # No request is in progress. A second answer to an earlier request would be taken for
            # the answer to the next one, so a connection with such data is not used again.
            self.close()
            return
        self.last_received_s = asyncio.get_running_loop().time()
        self._http.receive_data(data)
        self._read_events()
        self._bound_unmatched(len(data))

    def _bound_unmatched(self, received_bytes: int) -> None:
        """Gives the answer up if too much comes before its head."""
        if self._has_head:
            return
        self._unmatched_bytes += received_bytes
        if self._unmatched_bytes > MAX_UNMATCHED_BYTES:
            self._on_broken_answer("too many bytes that are no answer", closed=False)

    def eof_received(self) -> bool:
        """Handles the end of the stream, which also ends an answer that states no length."""
        if not self._complete:
            self._http.receive_data(b"")
            self._read_events()
        self._closed = True
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends the answer if it is not complete."""
        self._closed = True
        self._on_broken_answer(
            f"connection lost: {exc!r}", closed=not isinstance(exc, TimeoutError)
        )

    def _read_events(self) -> None:
        # Joined: the objects of many small pieces take far more memory than their bytes.
        body = bytearray()
        while not self._complete:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as error:
                self._queue_chunk(body)
                ended = self._http.trailing_data[1]
                self._on_broken_answer(f"answer ended early or malformed: {error}", closed=ended)
                return
            if event is h11.NEED_DATA or event is h11.PAUSED:
                break
            if isinstance(event, h11.Data):
                body += b"" if self._is_stale_answer else event.data
                continue
            self._queue_chunk(body)
            body.clear()
            self._on_http_event(event)
        self._queue_chunk(body)

    def _queue_chunk(self, body: bytearray) -> None:
        if body:
            self._events.put_nowait(AnswerChunk(bytes(body)))
            self._count_queued(len(body) + CHUNK_BYTES)

    def _on_http_event(self, event: object) -> None:
        if isinstance(event, h11.Response):
            headers = tuple((k.decode("latin-1"), v.decode("latin-1")) for k, v in event.headers)
            if event.status_code > MAX_STATUS:
                self._on_broken_answer(f"status {event.status_code}", closed=False)
                return
            self._is_stale_answer = not self._matches_request(headers)
            self._has_head = not self._is_stale_answer
            if not self._is_stale_answer:
                self._events.put_nowait(Head(event.status_code, headers))
        elif isinstance(event, h11.EndOfMessage):
            self._on_end_of_answer()
        elif isinstance(event, h11.ConnectionClosed):
            self._on_broken_answer("connection closed before an answer", closed=True)

    def _on_end_of_answer(self) -> None:
        if self._is_stale_answer:
            self._skip_stale_answer()
            return
        unsent = self._transport is not None and self._transport.get_write_buffer_size() > 0
        extra, ended_by_close = self._http.trailing_data
        is_done = self._http.our_state is h11.DONE and self._http.their_state is h11.DONE
        self._complete = True
        if is_done and not unsent and not extra and not self._late_answers and not self._closed:
            self._http.start_next_cycle()
        else:
            # Data follows the answer, more late answers may follow, or the backend server has not
            # read the whole request body: further data can't be matched to a request.
            self.close()
        self._events.put_nowait(AnswerEnd(closed=ended_by_close))

    def _skip_stale_answer(self) -> None:
        """Resets the parser after an answer to an earlier request, to read the awaited answer."""
        self._late_answers += 1
        if self._late_answers > MAX_LATE_ANSWERS:
            self._on_broken_answer("too many answers to other requests", closed=False)
            return
        rest, is_ended = self._http.trailing_data
        self._http = h11.Connection(h11.CLIENT)
        assert self._request is not None
        self._http.send(self._request)
        if self._http.our_state is h11.SEND_BODY:
            length = int(dict(self._request.headers).get(b"content-length", b"0"))
            self._http.send(h11.Data(data=bytes(length)))
            self._http.send(h11.EndOfMessage())
        # No data stands for the end of the connection.
        if rest:
            self._http.receive_data(rest)
        if is_ended:
            self._http.receive_data(b"")

    def _on_broken_answer(self, detail: str, *, closed: bool) -> None:
        if self._complete:
            return
        self._complete = True
        self._events.put_nowait(AnswerBroken(detail, closed))
        self.close()
