"""The receiving side of a link between two daemons."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import Protocol
from typing import cast

from quincespool.core.messages import Ack
from quincespool.core.messages import Ping
from quincespool.core.messages import PingRequest
from quincespool.net.codec import CodecError
from quincespool.net.codec import Hello
from quincespool.net.codec import decode
from quincespool.net.framing import FrameError
from quincespool.net.framing import FrameReader
from quincespool.net.socket_options import limit_silence

if TYPE_CHECKING:
    from quincespool.core.messages import Message
    from quincespool.net.held_memory import HeldMemory

HELLO_LIMIT_S = 5.0


class IncomingOwner(Protocol):
    """What a link needs of the daemon that it was made to."""

    member_id: str
    memory: HeldMemory

    def incoming_made(self, link: IncomingLink) -> bool:
        """A link was made to this daemon, by whom is not known yet; false if there are too many."""

    def incoming_named(self, link: IncomingLink) -> bool:
        """The other side has said who it is; false if the link is not to be used."""

    def incoming_lost(self, link: IncomingLink) -> None:
        """The link is gone."""

    def received(self, sender: str, message: Message, size_bytes: int) -> None:
        """A message has come in whole."""

    def undecoded(self, error: CodecError) -> None:
        """A message could not be read and was dropped."""


class IncomingLink(asyncio.Protocol):
    """A link made by another daemon.

    Attributes:
      sender: Member id of that daemon, empty until it has said so.
      incarnation: Of its process, -1 until it has said so.
    """

    def __init__(self, owner: IncomingOwner) -> None:
        self.sender = ""
        self.incarnation = -1
        self._owner = owner
        self._frames = FrameReader()
        self._transport: asyncio.Transport
        self._hello_limit: asyncio.TimerHandle
        self._over = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Starts the time limit for the other side to say who it is."""
        self._transport = cast("asyncio.Transport", transport)
        limit_silence(self._transport)
        self._hello_limit = asyncio.get_running_loop().call_later(HELLO_LIMIT_S, self.abort)
        if not self._owner.incoming_made(self):
            self.abort()

    def data_received(self, data: bytes) -> None:
        """Hands whole messages on; stops at once when the link is broken off meanwhile."""
        self._frames.feed(data)
        self._take_messages()
        self._owner.memory.update(self, self.measure_held())

    def connection_lost(self, exc: Exception | None) -> None:
        """Tells the owner."""
        self._over = True
        self._hello_limit.cancel()
        self._owner.memory.discard(self)
        self._owner.incoming_lost(self)

    def abort(self) -> None:
        """Breaks the link off; what has not been read yet is dropped."""
        self._over = True
        self._transport.abort()

    def evict(self) -> None:
        """See `Evictable.evict`."""
        self.abort()

    def measure_held(self) -> int:
        """See `Holder.measure_held`."""
        return 0 if self._over else self._frames.held_bytes

    def shed(self) -> None:
        """See `Holder.shed`."""
        self.abort()

    def _take_messages(self) -> None:
        while not self._over:
            try:
                message = self._frames.next_message()
            except FrameError:
                self.abort()
                return
            if message is None:
                return
            self._take(message)

    def _take(self, data: bytes) -> None:
        try:
            sender, message = decode(data)
        except CodecError as error:
            self._owner.undecoded(error)
            return
        if isinstance(message, Hello):
            self._take_hello(sender, message)
        elif isinstance(message, Ping | Ack | PingRequest) or sender != self.sender:
            # A datagram, or a message before `Hello` or under another name: not our protocol.
            self.abort()
        else:
            self._owner.received(sender, message, len(data))

    def _take_hello(self, sender: str, hello: Hello) -> None:
        self._hello_limit.cancel()
        if self.sender or not sender or hello.target_id != self._owner.member_id:
            # The address was another daemon's before: a replaced host. Its messages are not ours.
            self.abort()
            return
        self.sender = sender
        self.incarnation = hello.incarnation
        if not self._owner.incoming_named(self):
            self.abort()
