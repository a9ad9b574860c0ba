"""UDP socket for heartbeats and notices between daemons."""

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


class DatagramSocket(asyncio.DatagramProtocol):
    """Sends and receives messages as UDP datagrams.

    Attributes:
      undecodable_count: Received datagrams that could not be decoded.
    """

    def __init__(self, member_id: str, *, on_datagram: Callable[[str, Any], None]) -> None:
        self._member_id = member_id
        self._on_datagram = on_datagram
        self._transport: asyncio.DatagramTransport | None = None
        self.undecodable_count = 0

    async def start(self, host: str, port: int) -> None:
        """Binds the port.

        Raises:
          OSError: if the port cannot be bound.
        """
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=(host, port))

    def stop(self) -> None:
        """Closes the socket; messages that are sent later are dropped."""
        if self._transport is not None:
            self._transport.close()
            self._transport = None

    def send(self, daemons: list[Daemon], message: Any) -> None:
        """Sends a message to each daemon; lost datagrams are not retransmitted."""
        if self._transport is None:
            return
        data = CODEC.encode(self._member_id, message)
        for daemon in daemons:
            self._transport.sendto(data, split_address(daemon.peer_address))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport; see `asyncio.BaseProtocol`."""
        self._transport = cast("asyncio.DatagramTransport", transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Decodes a datagram and passes it to `on_datagram`; counts undecodable ones."""
        del addr
        try:
            sender, message = CODEC.decode(data)
        except CodecError:
            self.undecodable_count += 1
            return
        self._on_datagram(sender, message)

    def error_received(self, exc: Exception) -> None:
        """Ignores unreachable ports; missing heartbeats show that a daemon has stopped."""
