"""A small blocking HTTP client for the commands: one request a connection, over h11."""

from __future__ import annotations

import json
import socket
from typing import TYPE_CHECKING
from typing import NamedTuple

import h11
from expression import Error
from expression import Ok
from expression import Result

from quincespool.cli.errors import usage_error
from quincespool.settings import address_fault

if TYPE_CHECKING:
    from typing import Any

TIME_LIMIT_S = 10.0
_READ_BYTES = 65_536


class Reply(NamedTuple):
    """A whole response. `headers` has lower-case names."""

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Returns the decoded body, None if it is not JSON."""
        try:
            return json.loads(self.body)
        except ValueError:
            return None

    @property
    def retry_after_s(self) -> float:
        """How long the server asks to wait, 0 if it does not say."""
        value = self.headers.get("retry-after", "")
        return float(value) if value.isdigit() else 0.0


class Unanswered(NamedTuple):
    """No whole response came.

    Attributes:
      sent: False only if not one byte of the request can have reached the server.
      detail: Why, for the operator.
    """

    sent: bool
    detail: str


def check_address(address: object, *, flag: str) -> str:
    """Returns the address that a flag gives.

    Raises:
      CommandError: if it is not `IP:PORT`.
    """
    if fault := address_fault(str(address)):
        raise usage_error(f"--{flag}: {fault}")
    return str(address)


def request(
    address: str, method: str, target: str, *, body: bytes = b"", time_limit_s: float = TIME_LIMIT_S
) -> Result[Reply, Unanswered]:
    """Sends one request, once, and reads the whole response.

    Args:
      address: `IP:PORT`.
      method: HTTP method.
      target: Path and query, already quoted.
      body: Sent as JSON.
      time_limit_s: For connecting, and for each wait for more of the response.
    """
    host, _, port = address.rpartition(":")
    try:
        connection = socket.create_connection((host, int(port)), timeout=time_limit_s)
    except OSError as error:
        return Error(Unanswered(sent=False, detail=f"{address} cannot be reached: {error}"))
    exchange = h11.Connection(h11.CLIENT)
    with connection:
        try:
            connection.sendall(_encode(exchange, address, method, target, body))
            return Ok(_read_reply(exchange, connection))
        except (OSError, h11.RemoteProtocolError) as error:
            return Error(Unanswered(sent=True, detail=f"{address} did not answer: {error}"))


def _encode(exchange: h11.Connection, address: str, method: str, target: str, body: bytes) -> bytes:
    headers = [
        ("host", address),
        ("connection", "close"),
        ("content-type", "application/json"),
        ("content-length", str(len(body))),
    ]
    events = (
        h11.Request(method=method, target=target, headers=headers),
        h11.Data(data=body),
        h11.EndOfMessage(),
    )
    return b"".join(exchange.send(event) or b"" for event in events)


def _read_reply(exchange: h11.Connection, connection: socket.socket) -> Reply:
    status = 0
    headers: dict[str, str] = {}
    body = bytearray()
    while True:
        event = exchange.next_event()
        if event is h11.NEED_DATA:
            exchange.receive_data(connection.recv(_READ_BYTES))
        elif isinstance(event, h11.Response):
            status = event.status_code
            headers = {name.decode(): value.decode("latin-1") for name, value in event.headers}
        elif isinstance(event, h11.Data):
            body += event.data
        elif isinstance(event, h11.EndOfMessage):
            return Reply(status=status, headers=headers, body=bytes(body))
