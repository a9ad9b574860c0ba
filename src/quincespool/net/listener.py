"""A listening TCP port, as callers and daemons connect to one."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from quincespool.net.socket_options import limit_buffers

if TYPE_CHECKING:
    from collections.abc import Callable

BACKLOG = 1024
# The event loop of `asyncio` accepts a whole queue before it calls any protocol, which alone can
# refuse a connection; that of the gateway accepts one at a time.
SMALL_BACKLOG = 64


class Listener:
    """Accepts connections, each with a protocol of its own."""

    def __init__(
        self, make_protocol: Callable[[], asyncio.Protocol], *, backlog: int = BACKLOG
    ) -> None:
        self._make_protocol = make_protocol
        self._backlog = backlog
        self._server: asyncio.Server | None = None

    @property
    def port(self) -> int:
        """Where it listens; differs from the settings if they say 0. Only after `start`."""
        assert self._server is not None
        return int(self._server.sockets[0].getsockname()[1])

    async def start(self, host: str, port: int) -> None:
        """Listens.

        Raises:
          OSError: if the port cannot be had.
        """
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._make_protocol, host, port, backlog=self._backlog
        )
        for listening in self._server.sockets:
            limit_buffers(listening)

    def stop(self) -> None:
        """Accepts no more."""
        if self._server is not None:
            self._server.close()
