"""Callers that send on and on and read nothing."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import socket
import time
from typing import TYPE_CHECKING
from typing import NamedTuple
from typing import Self

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

# Of the kernel, for answers that are not read: what it does not take, the daemon has to hold.
RECEIVE_BUFFER_BYTES = 4_096
# A crowd is done once none of its connections has taken a byte for so long, which also gives the
# daemon the time to read what the kernel has taken.
QUIET_S = 1.0
PIECE_BYTES = 16_384
POLL_S = 0.05
# A daemon that takes a crowd's bytes for longer than this hangs.
HANG_S = 150.0


class Flood(NamedTuple):
    """What some connections to one port send.

    Attributes:
      connections: How many there are.
      bytes_each: Most that is sent on one connection.
      make_pieces: Returns what is sent on the connection of a number, piece by piece.
    """

    port: int
    connections: int
    bytes_each: int
    make_pieces: Callable[[int], Iterable[bytes]]
    host: str = "127.0.0.1"


def repeated(request: bytes) -> Callable[[int], Iterable[bytes]]:
    """Returns the pieces of a connection that sends one request again and again."""
    piece = request * max(1, PIECE_BYTES // len(request))
    return lambda _: itertools.repeat(piece)


def once(request: bytes) -> Callable[[int], Iterable[bytes]]:
    """Returns the pieces of a connection that sends this and nothing more."""
    return lambda _: [request] if request else []


class Crowd:
    """The connections of some floods; a context manager that closes them."""

    def __init__(self, floods: Iterable[Flood]) -> None:
        self._floods = list(floods)
        self._sockets: list[socket.socket] = []
        self._senders: list[asyncio.Task[None]] = []
        self._moved_s = time.monotonic()

    async def __aenter__(self) -> Self:
        # The floods take turns, so that no port is full before another one is tried.
        for number in range(max(flood.connections for flood in self._floods)):
            for flood in self._floods:
                if number < flood.connections:
                    await self._connect(flood, number)
        return self

    async def __aexit__(self, *_: object) -> None:
        for sender in self._senders:
            sender.cancel()
        await asyncio.gather(*self._senders, return_exceptions=True)
        for one in self._sockets:
            one.close()

    async def until_quiet(self) -> None:
        """Waits until all is sent, or the daemon has closed or stopped reading what is left.

        Raises:
          TimeoutError: if that does not come about.
        """
        self._moved_s = time.monotonic()
        async with asyncio.timeout(HANG_S):
            while time.monotonic() - self._moved_s < QUIET_S:
                await asyncio.sleep(POLL_S)

    async def _connect(self, flood: Flood, number: int) -> None:
        one = socket.socket()
        one.setblocking(False)
        one.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self._sockets.append(one)
        # A daemon may refuse connections.
        with contextlib.suppress(OSError):
            await asyncio.get_running_loop().sock_connect(one, (flood.host, flood.port))
            self._senders.append(asyncio.create_task(self._send(one, flood, number)))

    async def _send(self, one: socket.socket, flood: Flood, number: int) -> None:
        loop = asyncio.get_running_loop()
        left_bytes = flood.bytes_each
        # A daemon may close connections.
        with contextlib.suppress(OSError):
            for piece in flood.make_pieces(number):
                if left_bytes <= 0:
                    return
                await loop.sock_sendall(one, piece[:left_bytes])
                left_bytes -= len(piece)
                self._moved_s = time.monotonic()
                # A small crowd must not keep the stand-ins and the ordinary callers waiting.
                await asyncio.sleep(0)
