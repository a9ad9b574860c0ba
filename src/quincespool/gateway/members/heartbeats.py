"""Heartbeats between daemons over UDP: who lives, what each one has under way and owns."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import Any
from typing import cast

from quincespool.gateway.members.messages import CODEC
from quincespool.net.addresses import split_address
from quincespool.net.struct_codec import CodecError

if TYPE_CHECKING:
    from collections.abc import Callable

    from quincespool.gateway.model import Daemon


class Heartbeats(asyncio.DatagramProtocol):
    """The datagram socket of a daemon."""

    def __init__(self, member_id: str, *, on_datagram: Callable[[str, Any], None]) -> None:
        self._member_id = member_id
        self._on_datagram = on_datagram
        self._transport: asyncio.DatagramTransport | None = None
        self.undecoded = 0

    async def start(self, host: str, port: int) -> None:
        """Binds the port.

        Raises:
          OSError: if it cannot be had.
        """
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=(host, port))

    def stop(self) -> None:
        """Closes the socket."""
        if self._transport is not None:
            self._transport.close()

    def send(self, daemons: list[Daemon], message: Any) -> None:
        """Sends a message to some daemons; what is lost is lost."""
        if self._transport is None:
            return
        data = CODEC.encode(self._member_id, message)
        for daemon in daemons:
            self._transport.sendto(data, split_address(daemon.peer_address))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Takes the socket."""
        self._transport = cast("asyncio.DatagramTransport", transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Hands a datagram on, if it is one."""
        del addr
        try:
            sender, message = CODEC.decode(data)
        except CodecError:
            self.undecoded += 1
            return
        self._on_datagram(sender, message)

    def error_received(self, exc: Exception) -> None:
        """Passes over unreachable ports; a daemon that is gone shows by its silence."""
