"""Membership datagrams over UDP."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import cast

from quincespool.core.events import DatagramReceived
from quincespool.core.messages import Ack
from quincespool.core.messages import Ping
from quincespool.core.messages import PingRequest
from quincespool.net.codec import CodecError
from quincespool.net.codec import decode
from quincespool.net.codec import encode

if TYPE_CHECKING:
    from collections.abc import Callable

    from quincespool.core.effects import SendDatagram
    from quincespool.core.events import Event
    from quincespool.net.metrics import Metrics
    from quincespool.settings import Settings


class Gossip(asyncio.DatagramProtocol):
    """The datagram socket of a daemon. A datagram that is lost is lost."""

    def __init__(
        self, *, settings: Settings, post: Callable[[Event], None], metrics: Metrics
    ) -> None:
        self._settings = settings
        self._post = post
        self._metrics = metrics
        self._transport: asyncio.DatagramTransport | None = None
        self._sent_bytes = 0
        self._received_bytes = 0
        metrics.watch("datagram_bytes_sent_total", lambda: self._sent_bytes)
        metrics.watch("datagram_bytes_received_total", lambda: self._received_bytes)

    async def start(self) -> None:
        """Binds the peer port.

        Raises:
          OSError: if the port cannot be had.
        """
        address = (self._settings.host, self._settings.peer_port)
        await asyncio.get_running_loop().create_datagram_endpoint(lambda: self, local_addr=address)

    def close(self) -> None:
        """Closes the socket after what has been sent."""
        if self._transport is not None:
            self._transport.close()

    def send(self, effect: SendDatagram) -> None:
        """Sends a datagram.

        Raises:
          CodecError: if it does not fit the schema.
        """
        if self._transport is None or self._transport.is_closing():
            return
        data = encode(self._settings.member_id, effect.datagram)
        self._sent_bytes += len(data)
        self._transport.sendto(data, (effect.host, effect.port))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Takes the socket."""
        self._transport = cast("asyncio.DatagramTransport", transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Hands a datagram on, if it is one."""
        self._received_bytes += len(data)
        try:
            message = decode(data).message
        except CodecError:
            self._metrics.count("undecoded_total", source="datagram")
            return
        if isinstance(message, Ping | Ack | PingRequest):
            self._post(DatagramReceived(host=addr[0], port=addr[1], datagram=message))

    def error_received(self, exc: Exception) -> None:
        """Passes over what the kernel says of unreachable ports; membership finds out itself."""
