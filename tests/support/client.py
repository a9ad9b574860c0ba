"""A small HTTP client on h11 for tests: one request after the other on one connection."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

import h11
import msgspec

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable
    from collections.abc import Mapping

_READ_BYTES = 65536


class ConnectionLostError(Exception):
    """The response did not arrive whole.

    Attributes:
      sent: Whether the request was; false if the connection was never made.
      waited_ms: From the last byte of the request to the end of the connection.
    """

    def __init__(self, detail: str, *, sent: bool, waited_ms: float = 0.0) -> None:
        super().__init__(detail)
        self.sent = sent
        self.waited_ms = waited_ms


class Reply(NamedTuple):
    """A whole response; header names are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Returns the decoded body."""
        return msgspec.json.decode(self.body)


class KeptConnection:
    """A connection that is used until the server closes it or says that it will."""

    def __init__(
        self, address: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._address = address
        self._reader = reader
        self._writer = writer
        self._http = h11.Connection(h11.CLIENT)

    @property
    def usable(self) -> bool:
        """Whether a request may be sent, as far as the server has said."""
        is_idle = self._http.our_state is h11.IDLE and self._http.their_state is h11.IDLE
        return is_idle and not self._reader.at_eof() and not self._writer.is_closing()

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
        sent_s = time.monotonic()
        try:
            request = h11.Request(method=method, target=path, headers=list(fields.items()))
            for event in (request, h11.Data(data=body), h11.EndOfMessage()):
                self._writer.write(self._http.send(event) or b"")
            await self._writer.drain()
            sent_s = time.monotonic()
            reply = await _read_reply(self._http, self._reader, on_data)
        except (OSError, h11.ProtocolError) as error:
            waited_ms = (time.monotonic() - sent_s) * 1000
            raise ConnectionLostError(str(error), sent=True, waited_ms=waited_ms) from error
        if self._http.our_state is h11.DONE and self._http.their_state is h11.DONE:
            self._http.start_next_cycle()
        return reply

    def close(self) -> None:
        """Closes it."""
        self._writer.close()


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


async def _read_reply(
    connection: h11.Connection,
    reader: asyncio.StreamReader,
    on_data: Callable[[bytes], None] | None,
) -> Reply:
    status = 0
    headers: dict[str, str] = {}
    body = bytearray()
    async for event in _events(connection, reader):
        if isinstance(event, h11.Response):
            status = event.status_code
            headers = {name.decode(): value.decode() for name, value in event.headers}
        elif isinstance(event, h11.Data):
            body += event.data
            if on_data:
                on_data(bytes(event.data))
    return Reply(status, headers, bytes(body))


async def _events(
    connection: h11.Connection, reader: asyncio.StreamReader
) -> AsyncIterator[h11.Event]:
    while True:
        event = connection.next_event()
        if isinstance(event, h11.EndOfMessage):
            return
        if event is h11.NEED_DATA:
            connection.receive_data(await reader.read(_READ_BYTES))
        elif isinstance(event, h11.ConnectionClosed):
            raise ConnectionResetError("closed before the response")
        elif isinstance(event, h11.Event):
            yield event
