"""The sending side of a link between two daemons."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import Protocol
from typing import cast

from quincespool.net.codec import Hello
from quincespool.net.codec import encode
from quincespool.net.framing import frame
from quincespool.net.socket_options import limit_silence

if TYPE_CHECKING:
    from quincespool.core.members import Member
    from quincespool.net.clock import Clock

CONNECT_LIMIT_S = 1.0
SILENCE_LIMIT_MS = 5000
MAX_UNSENT_BYTES = 48_000_000


class OutgoingOwner(Protocol):
    """Whom a link tells that it is gone."""

    def outgoing_lost(self, link: OutgoingLink) -> None:
        """The link broke or could not be made."""


class OutgoingLink(asyncio.Protocol):
    """A link to one daemon, as it was known when the link was made.

    Attributes:
      member: The daemon at the other end.
    """

    def __init__(
        self, *, member: Member, owner: OutgoingOwner, clock: Clock, stale_ms: int
    ) -> None:
        self.member = member
        self._owner = owner
        self._clock = clock
        self._stale_ms = stale_ms
        self._transport: asyncio.Transport | None = None
        self._connecting: asyncio.Task[None] | None = None
        self._waiting: list[bytes] = []
        self._waiting_bytes = 0
        self._over = False

    @property
    def unsent(self) -> bool:
        """Whether something waits in this process to be sent."""
        if self._transport is None:
            return bool(self._waiting)
        return self._transport.get_write_buffer_size() > 0

    def connect(self, member_id: str, incarnation: int) -> None:
        """Starts to connect and to say who we are."""
        hello = Hello(incarnation=incarnation, target_id=self.member.member_id)
        first = frame(encode(member_id, hello))
        self._connecting = asyncio.get_running_loop().create_task(
            self._connect(first, asked_ms=self._clock.now_ms())
        )

    def send(self, framed: bytes) -> None:
        """Sends a frame, once the link is there."""
        if self._over:
            return
        if self._transport is None:
            self._waiting.append(framed)
            self._waiting_bytes += len(framed)
            unsent_bytes = self._waiting_bytes
        else:
            self._transport.write(framed)
            unsent_bytes = self._transport.get_write_buffer_size()
        if unsent_bytes > MAX_UNSENT_BYTES:
            # A daemon that reads too slowly would make us hold everything that is meant for it.
            self._lose()

    def abort(self) -> None:
        """Breaks the link off; what has not left yet is dropped."""
        self._over = True
        self._waiting.clear()
        if self._transport is not None:
            self._transport.abort()
        if self._connecting is not None:
            self._connecting.cancel()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Limits how long the kernel keeps what is not acknowledged."""
        stream = cast("asyncio.Transport", transport)
        limit_silence(stream, unacknowledged_ms=SILENCE_LIMIT_MS)
        if self._over:
            stream.abort()
            return
        self._transport = stream

    def eof_received(self) -> bool:
        """The other side never sends; that it ends means that it does not read either."""
        self._lose()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Tells the owner."""
        self._lose()

    async def _connect(self, first: bytes, *, asked_ms: int) -> None:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_LIMIT_S):
                await loop.create_connection(lambda: self, self.member.host, self.member.peer_port)
        except OSError:
            self._connecting = None
            self._lose()
            return
        self._connecting = None
        if self._clock.now_ms() - asked_ms > self._stale_ms:
            # The process stood still while it was connecting. What waits was decided before, by a
            # holder that may have been replaced meanwhile, and must not be sent.
            self._lose()
            return
        self._flush(first)

    def _flush(self, first: bytes) -> None:
        if self._over or self._transport is None:
            return
        self._transport.write(b"".join([first, *self._waiting]))
        self._waiting.clear()

    def _lose(self) -> None:
        if self._over:
            return
        self.abort()
        self._owner.outgoing_lost(self)
