"""TCP links between daemons.

Every daemon sends on links that it has made itself and only reads on those made to it, one link for
each target. What could not be sent on a link is dropped with it and never sent on a later one: the
sender has been told `LinkDown` by then and may have decided otherwise.
"""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from quincespool.core.events import LinkDown
from quincespool.core.events import MessageReceived
from quincespool.net.codec import CodecError
from quincespool.net.codec import encode
from quincespool.net.connection_table import ConnectionTable
from quincespool.net.framing import frame
from quincespool.net.incoming_link import IncomingLink
from quincespool.net.listener import SMALL_BACKLOG
from quincespool.net.listener import Listener
from quincespool.net.outgoing_link import OutgoingLink

if TYPE_CHECKING:
    from collections.abc import Callable

    from quincespool.core.events import Event
    from quincespool.core.members import Member
    from quincespool.core.messages import Message
    from quincespool.net.clock import Clock
    from quincespool.net.held_memory import HeldMemory
    from quincespool.net.metrics import Metrics
    from quincespool.settings import Settings

FLUSH_LIMIT_S = 1.0


class Peers:
    """The links of one daemon.

    Attributes:
      member_id: Of this daemon.
      memory: Bounds what all connections hold.
    """

    def __init__(
        self,
        *,
        settings: Settings,
        memory: HeldMemory,
        max_incoming: int,
        incarnation: int,
        find_member: Callable[[str], Member | None],
        post: Callable[[Event], None],
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self.member_id = settings.member_id
        self.memory = memory
        self._settings = settings
        self._incarnation = incarnation
        self._find_member = find_member
        self._post = post
        self._clock = clock
        self._metrics = metrics
        self._outgoing: dict[str, OutgoingLink] = {}
        self._incoming: dict[str, IncomingLink] = {}
        # All links that others have made, named or not.
        self._made: ConnectionTable[IncomingLink] = ConnectionTable(max_incoming)
        self._listener = Listener(lambda: IncomingLink(self), backlog=SMALL_BACKLOG)
        self._sent_messages = 0
        self._sent_bytes = 0
        self._received_messages = 0
        self._received_bytes = 0
        metrics.watch("link_messages_sent_total", lambda: self._sent_messages)
        metrics.watch("link_bytes_sent_total", lambda: self._sent_bytes)
        metrics.watch("link_messages_received_total", lambda: self._received_messages)
        metrics.watch("link_bytes_received_total", lambda: self._received_bytes)

    @property
    def port(self) -> int:
        """Where it listens; differs from the settings if they say 0. Only after `start`."""
        return self._listener.port

    async def start(self) -> None:
        """Listens on the peer port.

        Raises:
          OSError: if the port cannot be had.
        """
        await self._listener.start(self._settings.host, self._settings.peer_port)

    async def flush(self) -> None:
        """Waits a moment for what has been sent to leave this process."""
        deadline_s = time.monotonic() + FLUSH_LIMIT_S
        while time.monotonic() < deadline_s and any(
            link.unsent for link in self._outgoing.values()
        ):
            await asyncio.sleep(0.01)

    def close(self) -> None:
        """Stops listening and breaks all links off."""
        self._listener.stop()
        for outgoing in self._outgoing.values():
            outgoing.abort()
        for incoming in self._made:
            incoming.abort()

    def send(self, member_id: str, message: Message) -> None:
        """Sends a message, or posts `LinkDown` if that can't be done.

        Raises:
          CodecError: if the message does not fit the schema.
        """
        member = self._find_member(member_id)
        link = self._outgoing.get(member_id)
        if member is None:
            if link is not None:
                link.abort()
                del self._outgoing[member_id]
            self._lost(member_id)
            return
        if link is not None and link.member != member._replace(draining=link.member.draining):
            # The daemon has been started anew or elsewhere. On the old link our messages would go
            # nowhere until the kernel gives up, and every call behind them would wait for that.
            link.abort()
            self.outgoing_lost(link)
            link = None
        if link is None:
            link = OutgoingLink(
                member=member, owner=self, clock=self._clock, stale_ms=self._settings.stale_after_ms
            )
            self._outgoing[member_id] = link
            link.connect(self.member_id, self._incarnation)
        framed = frame(encode(self.member_id, message))
        self._sent_messages += 1
        self._sent_bytes += len(framed)
        link.send(framed)

    def close_links(self) -> None:
        """Breaks all links off at once; what is buffered on them is dropped, unread and unsent."""
        outgoing = list(self._outgoing.values())
        incoming = list(self._made)
        for out_link in outgoing:
            out_link.abort()
        for in_link in incoming:
            in_link.abort()
        lost = {link.member.member_id for link in outgoing} | set(self._incoming)
        self._outgoing.clear()
        self._incoming.clear()
        for member_id in sorted(lost):
            self._lost(member_id)

    def outgoing_lost(self, link: OutgoingLink) -> None:
        """A link made by this daemon broke or could not be made."""
        member_id = link.member.member_id
        if self._outgoing.get(member_id) is link:
            del self._outgoing[member_id]
            self._lost(member_id)

    def incoming_made(self, link: IncomingLink) -> bool:
        """A link was made to this daemon, by whom is not known yet; false if there are too many."""
        return self._made.add(link)

    def incoming_named(self, link: IncomingLink) -> bool:
        """The other side of a link has said who it is; false if the link is not to be used.

        A daemon has one link to us at a time. If there are two, the one of the later incarnation,
        or else the later one, counts: messages of a process that has been replaced would arrive
        after those of its successor and undo them.
        """
        self._made.record_start(link)
        earlier = self._incoming.get(link.sender)
        if earlier is not None and earlier.incarnation > link.incarnation:
            return False
        self._incoming[link.sender] = link
        if earlier is not None:
            earlier.abort()
            self._lost(link.sender)
        return True

    def incoming_lost(self, link: IncomingLink) -> None:
        """A link made to this daemon is gone."""
        self._made.discard(link)
        if self._incoming.get(link.sender) is link:
            del self._incoming[link.sender]
            self._lost(link.sender)

    def received(self, sender: str, message: Message, size_bytes: int) -> None:
        """A message has come in whole."""
        self._received_messages += 1
        self._received_bytes += size_bytes
        self._post(MessageReceived(sender=sender, message=message))

    def undecoded(self, error: CodecError) -> None:
        """A message could not be read and was dropped."""
        self._metrics.count("undecoded_total", source="link")

    def _lost(self, member_id: str) -> None:
        self._metrics.count("link_losses_total")
        self._post(LinkDown(member_id=member_id))
