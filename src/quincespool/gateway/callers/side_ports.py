"""Handler of the administrative ports: readiness, address directory, metrics and state."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from quincespool.gateway.callers.http_port import HttpPort
from quincespool.net.connection_limits import default_limits
from quincespool.net.connection_table import ConnectionTable
from quincespool.net.http_response import HttpResponse

if TYPE_CHECKING:
    from collections.abc import Callable

    from quincespool.gateway.platform_codec import PlatformCodec
    from quincespool.net.held_memory import HeldMemory
    from quincespool.net.http_connection import Connection
    from quincespool.net.metrics import Metrics
    from quincespool.net.requests import HttpRequest
    from quincespool.net.requests import RequestError

_JSON = [("content-type", "application/json")]


class SidePorts:
    """Answers requests that are not calls to backend servers."""

    def __init__(
        self,
        *,
        codec: PlatformCodec,
        metrics: Metrics,
        is_ready: Callable[[], bool],
        addresses: Callable[[str], list[str]],
        addresses_valid_ms: Callable[[], int],
        dump: Callable[[], dict[str, object]],
    ) -> None:
        self._codec = codec
        self._metrics = metrics
        self._is_ready = is_ready
        self._addresses = addresses
        self._addresses_valid_ms = addresses_valid_ms
        self._dump = dump

    async def handle(self, connection: Connection, request: HttpRequest) -> None:
        """Answers one request."""
        connection.respond(self._answer(request))

    def make_error_response(self, request: HttpRequest | None, error: RequestError) -> HttpResponse:
        """Returns the answer to a request that cannot be read."""
        del request
        return HttpResponse(error.status, _JSON, msgspec.json.encode({"error": error.message}))

    def make_fault_response(self, request: HttpRequest) -> HttpResponse:
        """Returns the answer to a request whose handler raised an unexpected exception."""
        del request
        return HttpResponse(500, _JSON, msgspec.json.encode({"error": "internal error"}))

    def _answer(self, request: HttpRequest) -> HttpResponse:
        if self._codec.is_readiness_request(request):
            return HttpResponse(200 if self._is_ready() else 503, [], b"")
        query = self._codec.read_address_request(request)
        if query is not None:
            addresses = self._addresses(query.zone)
            if not addresses:
                return HttpResponse(503, [], b"")
            body = self._codec.write_addresses(addresses, self._addresses_valid_ms())
            return HttpResponse(200, _JSON, body)
        path = request.target.partition("?")[0]
        if path == "/metrics":
            content, media_type = self._metrics.render()
            return HttpResponse(200, [("content-type", media_type)], content)
        if path == "/state":
            return HttpResponse(200, _JSON, msgspec.json.encode(self._dump()))
        return HttpResponse(404, _JSON, msgspec.json.encode({"error": "no such resource"}))


def make_side_ports(
    handler: SidePorts,
    *,
    count: int,
    memory: HeldMemory,
    max_connections: int,
    metrics: Metrics,
) -> list[HttpPort]:
    """Returns the administrative ports.

    Args:
      handler: Answers the requests of all of them.
      count: Number of ports.
      memory: Bounds what all connections of the daemon hold.
      max_connections: Maximum number of connections to all of them together.
      metrics: Counts connections that are refused or dropped.
    """
    connections: ConnectionTable[Connection] = ConnectionTable(max_connections)
    return [
        HttpPort(
            handler,
            limits=default_limits(),
            memory=memory,
            connections=connections,
            metrics=metrics,
        )
        for _ in range(count)
    ]
