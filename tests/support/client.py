"""A small HTTP client on h11 for tests, with connections that are kept."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

import h11
import msgspec

from tests.support.platform_entries import HOST_NAME

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

_READ_BYTES = 65536
# What is sent so shortly before the end of its connection has crossed it.
CROSSING_S = 0.2


class ConnectionLostError(Exception):
    """The response did not arrive whole.

    Attributes:
      sent: Whether the request was; false if the connection was never made.
      waited_ms: From the last byte of the request to the end of the connection.
      status: Of the answer that broke off, 0 if none had begun.
      was_behind: Whether the answer to an earlier request broke off on the connection, or said
        that it was the last one before the server can have had this request.
    """

    def __init__(
        self,
        detail: str,
        *,
        sent: bool,
        waited_ms: float = 0.0,
        status: int = 0,
        was_behind: bool = False,
    ) -> None:
        super().__init__(detail)
        self.sent = sent
        self.waited_ms = waited_ms
        self.status = status
        self.was_behind = was_behind


class Reply(NamedTuple):
    """A whole response; header names are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Returns the decoded body."""
        return msgspec.json.decode(self.body)


class KeptConnection:
    """A connection that is used until the server closes it or says that it will.

    A request that is sent while another one waits stands behind it (pipelined).

    Attributes:
      is_closed_here: Whether the caller has closed it.
    """

    def __init__(
        self, address: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._address = address
        self._reader = reader
        self._writer = writer
        # Answers come in the order of their requests.
        self._turn = asyncio.Lock()
        self._left = b""
        self._is_over = False
        self._broke_off = False
        # When an answer said, at its head, that it is the last one.
        self._last_s: float | None = None
        self.is_closed_here = False

    @property
    def usable(self) -> bool:
        """Whether a request may be sent, as far as the server has said."""
        is_over = self._is_over or self._reader.at_eof() or self._writer.is_closing()
        return not is_over and self._last_s is None

    async def fetch(
        self,
        method: str,
        path: str,
        *,
        headers: Mapping[str, str] | None = None,
        body: bytes = b"",
        on_data: Callable[[bytes], None] | None = None,
    ) -> Reply:
        """Sends one request and returns the whole response; `on_data` sees its pieces as they come.

        Raises:
          ConnectionLostError: if it did not arrive whole.
        """
        fields = {"host": self._address, "content-length": str(len(body)), **(headers or {})}
        request = h11.Request(method=method, target=path, headers=list(fields.items()))
        http = h11.Connection(h11.CLIENT)
        pieces = [http.send(event) for event in (request, h11.Data(data=body), h11.EndOfMessage())]
        self._writer.write(b"".join(piece or b"" for piece in pieces))
        sent_s = time.monotonic()
        answer = _Answer(on_data)
        is_whole = False
        try:
            async with self._turn:
                await self._writer.drain()
                await self._read_answer(http, answer)
            is_whole = True
        except (OSError, h11.ProtocolError) as error:
            waited_ms = (time.monotonic() - sent_s) * 1000
            raise ConnectionLostError(
                str(error),
                sent=True,
                waited_ms=waited_ms,
                status=answer.status,
                was_behind=self._broke_off or (not answer.status and self._crossed(sent_s)),
            ) from error
        finally:
            stays = is_whole and http.our_state is h11.DONE and http.their_state is h11.DONE
            self._is_over |= not stays
            self._broke_off |= answer.status != 0 and not is_whole
        return Reply(answer.status, answer.headers, bytes(answer.body))

    def _crossed(self, sent_s: float) -> bool:
        return self._last_s is not None and sent_s > self._last_s - CROSSING_S

    def close(self) -> None:
        """Closes it."""
        self.is_closed_here = True
        self._writer.close()

    async def _read_answer(self, http: h11.Connection, answer: _Answer) -> None:
        if self._left:
            http.receive_data(self._left)
        while True:
            event = http.next_event()
            if isinstance(event, h11.EndOfMessage):
                self._left, _ = http.trailing_data
                return
            if event is h11.NEED_DATA:
                http.receive_data(await self._reader.read(_READ_BYTES))
            elif isinstance(event, h11.ConnectionClosed):
                raise ConnectionResetError("closed before the response")
            else:
                answer.take(event)
                if answer.headers.get("connection") == "close" and self._last_s is None:
                    self._last_s = time.monotonic()


class _Answer:
    def __init__(self, on_data: Callable[[bytes], None] | None) -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = bytearray()
        self._on_data = on_data

    def take(self, event: object) -> None:
        if isinstance(event, h11.Response):
            self.status = event.status_code
            self.headers = {name.decode(): value.decode() for name, value in event.headers}
        elif isinstance(event, h11.Data):
            self.body += event.data
            if self._on_data:
                self._on_data(bytes(event.data))


async def connect(address: str) -> KeptConnection:
    """Opens a connection.

    Raises:
      ConnectionLostError: if it cannot be made.
    """
    host, port = address.rsplit(":", 1)
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
    except OSError as error:
        raise ConnectionLostError(str(error), sent=False) from error
    return KeptConnection(address, reader, writer)


async def fetch(
    address: str,
    method: str,
    path: str,
    *,
    headers: Mapping[str, str] | None = None,
    body: bytes = b"",
    on_data: Callable[[bytes], None] | None = None,
) -> Reply:
    """Sends one request on a connection of its own; see `KeptConnection.fetch`.

    Raises:
      ConnectionLostError: if the response did not arrive whole.
    """
    connection = await connect(address)
    try:
        return await connection.fetch(method, path, headers=headers, body=body, on_data=on_data)
    finally:
        connection.close()


async def read_as_http_1_0(address: str, call_id: str) -> bytes:
    """Sends a turn as a caller of HTTP/1.0 does, and returns all up to the end of its connection.

    Raises:
      ConnectionResetError: if the answer was broken off.
    """
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    head = f"POST /stream/x HTTP/1.0\r\nhost: {HOST_NAME}\r\nrequest-id: {call_id}\r\n"
    fields = "program-id: p\r\ndeadline-ms: 3000\r\ntoken-usage: 5,30\r\ncontent-length: 2\r\n"
    writer.write(f"{head}{fields}\r\nhi".encode())
    try:
        return await reader.read()
    finally:
        writer.close()
