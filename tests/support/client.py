"""A small HTTP client on h11 for tests: one request on one fresh connection."""

from __future__ import annotations

import asyncio
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
    """The response did not arrive whole; `sent` is false if the connection was never made."""

    def __init__(self, detail: str, *, sent: bool) -> None:
        super().__init__(detail)
        self.sent = sent


class Reply(NamedTuple):
    """A whole response; header names are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Returns the decoded body."""
        return msgspec.json.decode(self.body)


async def fetch(
    address: str,
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
    host, port = address.rsplit(":", 1)
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
    except OSError as error:
        raise ConnectionLostError(str(error), sent=False) from error
    connection = h11.Connection(h11.CLIENT)
    fields = {"host": address, "content-length": str(len(body)), **(headers or {})}
    try:
        request = h11.Request(method=method, target=path, headers=list(fields.items()))
        for event in (request, h11.Data(data=body), h11.EndOfMessage()):
            writer.write(connection.send(event) or b"")
        await writer.drain()
        return await _read_reply(connection, reader, on_data)
    except (OSError, h11.ProtocolError) as error:
        raise ConnectionLostError(str(error), sent=True) from error
    finally:
        writer.close()


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
