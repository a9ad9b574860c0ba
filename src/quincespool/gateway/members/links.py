"""TCP links between daemons; each frame holds one message, in both directions."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING
from typing import Any
from typing import cast

from quincespool.gateway.futures import report_exception
from quincespool.gateway.futures import start_background_task
from quincespool.gateway.members.messages import CODEC
from quincespool.gateway.members.messages import LinkProbe
from quincespool.net.addresses import split_address
from quincespool.net.connection_table import ConnectionTable
from quincespool.net.framing import FrameError
from quincespool.net.framing import FrameReader
from quincespool.net.framing import frame
from quincespool.net.listener import Listener
from quincespool.net.socket_options import is_resending
from quincespool.net.socket_options import limit_silence
from quincespool.net.struct_codec import CodecError

if TYPE_CHECKING:
    from collections.abc import Callable

    from quincespool.net.held_memory import HeldMemory

CONNECT_LIMIT_S = 0.5
# Data that stays unacknowledged for this long means a dead host or a broken link. The link is
# then closed, and its pending turns are answered with errors while their callers still wait.
UNACKNOWLEDGED_MS = 800
PROBE_INTERVAL_S = 0.4
# Links without a pending answer are checked only by the kernel's keepalive probes, which wake no
# process. In a large group, messages on all idle links would wake a daemon more often than its
# callers do.
IDLE_BEFORE_PROBES_S = 3
# Turns stay on the link of a process that sends nothing while its host still acknowledges, such as
# one short of processor time, for this long; callers disconnect from a stream after two
# seconds without an event.
STALL_LIMIT_S = 0.6
MAX_UNSENT_BYTES = 8_000_000
# A link that is lost sooner than this is reconnected only when it is needed next: otherwise a peer
# that accepts links and closes them at once would be connected to without pause.
MIN_RECONNECT_S = 0.2


class Link(asyncio.Protocol):
    """One connection to another daemon.

    Attributes:
      lost: Whether the connection is closed.
      detail: Why it was closed, if known; empty if this daemon closed it.
      pending_answers: Number of answers that are expected on it.
      connected_s: Monotonic clock in seconds at which it was created.
    """

    def __init__(
        self,
        member_id: str,
        *,
        memory: HeldMemory,
        on_message: Callable[[Link, str, Any], None],
        on_lost: Callable[[Link], None],
        on_made: Callable[[Link], bool] = lambda _: True,
        on_named: Callable[[Link], None] = lambda _: None,
    ) -> None:
        self._memory = memory
        self._on_made = on_made
        self._on_named = on_named
        self._has_message = False
        self._member_id = member_id
        self._on_message = on_message
        self._on_lost = on_lost
        self._frames = FrameReader()
        self._transport: asyncio.Transport | None = None
        self.lost = False
        self.detail = ""
        self.pending_answers = 0
        self.connected_s = time.monotonic()
        self._last_received_s = self.connected_s
        self._silent_since_s: float | None = None

    def record_alive(self) -> None:
        """Records that heartbeats of the other daemon arrive."""
        self._silent_since_s = None

    def is_dead(self) -> bool:
        """Whether the link to a daemon that has fallen silent should be closed.

        A host without power acknowledges nothing, and the kernel retransmits the last probe
        repeatedly. A host that acknowledges is alive; its process may only be stalled, and will
        continue its turns.
        """
        now_s = time.monotonic()
        if self._silent_since_s is None:
            self._silent_since_s = now_s
        if not self.pending_answers or self._transport is None or is_resending(self._transport):
            return True
        return now_s - max(self._silent_since_s, self._last_received_s) >= STALL_LIMIT_S

    def send(self, message: Any) -> bool:
        """Sends a message; returns False if the link is closed."""
        if self.lost or self._transport is None:
            return False
        self._transport.write(frame(CODEC.encode(self._member_id, message)))
        if self._transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            # Otherwise this daemon would buffer without bound for a peer that does not read.
            self.close()
        self._report_held()
        return True

    def close(self) -> None:
        """Aborts the connection."""
        if self._transport is not None:
            self._transport.abort()

    def evict(self) -> None:
        """See `Evictable.evict`."""
        self.close()

    def measure_held(self) -> int:
        """See `Holder.measure_held`."""
        if self.lost or self._transport is None:
            return 0
        return self._frames.held_bytes + self._transport.get_write_buffer_size()

    def shed(self) -> None:
        """See `Holder.shed`."""
        self.close()

    def _report_held(self) -> None:
        self._memory.update(self, self.measure_held())

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Sets the socket options that limit how long a silent link goes unnoticed."""
        self._transport = cast("asyncio.Transport", transport)
        if not self._on_made(self):
            self.close()
            return
        limit_silence(
            self._transport, unacknowledged_ms=UNACKNOWLEDGED_MS, idle_s=IDLE_BEFORE_PROBES_S
        )

    def data_received(self, data: bytes) -> None:
        """Decodes complete messages and passes them to `on_message`; drops probes."""
        self._last_received_s = time.monotonic()
        self._frames.feed(data)
        try:
            while (message := self._frames.next_message()) is not None:
                sender, decoded = CODEC.decode(message)
                if not self._has_message:
                    self._has_message = True
                    self._on_named(self)
                if not isinstance(decoded, LinkProbe):
                    self._dispatch(sender, decoded)
        except (FrameError, CodecError):
            # The peer speaks another protocol version; nothing else on this link can be decoded.
            self.close()
        self._report_held()

    def _dispatch(self, sender: str, message: Any) -> None:
        """Calls `on_message`; an exception in it must not end the other calls on the link."""
        try:
            self._on_message(self, sender, message)
        except Exception as error:
            report_exception("message not handled", error)

    def connection_lost(self, exc: Exception | None) -> None:
        """Reports the closed link to its owner, so that pending calls on it can fail."""
        self.lost = True
        self.detail = repr(exc) if exc is not None else ""
        self._memory.discard(self)
        self._on_lost(self)


class Links:
    """The links of one daemon: one outgoing link to each peer, connected on demand."""

    def __init__(
        self,
        member_id: str,
        *,
        memory: HeldMemory,
        max_incoming: int,
        on_message: Callable[[Link, str, Any], None],
        on_lost: Callable[[Link], None],
        on_refused: Callable[[str], None],
    ) -> None:
        """Creates an empty set of links.

        Args:
          member_id: Id of this daemon.
          memory: Bounds what all connections hold.
          max_incoming: Maximum number of links that others have made.
          on_message: Called with the link, the sender's member id and the message.
          on_lost: Called with a link that was closed.
          on_refused: Called with the address of a peer that refuses connections.
        """
        self._member_id = member_id
        self._memory = memory
        self._on_message = on_message
        self._on_lost = on_lost
        self._on_refused = on_refused
        self._reconnecting: set[asyncio.Task[Link | None]] = set()
        self._outgoing: dict[str, Link] = {}
        self._locks: dict[str, asyncio.Lock] = {}
        self._incoming: ConnectionTable[Link] = ConnectionTable(max_incoming)
        self._listener = Listener(self._make_incoming)

    async def start(self, host: str, port: int) -> None:
        """Starts to listen for links of other daemons.

        Raises:
          OSError: if the port cannot be bound.
        """
        await self._listener.start(host, port)

    def stop(self) -> None:
        """Stops listening and closes all links."""
        self._listener.stop()
        for task in self._reconnecting:
            task.cancel()
        outgoing = list(self._outgoing.values())
        self._outgoing.clear()
        for link in [*outgoing, *self._incoming]:
            link.close()

    async def get(self, address: str) -> Link | None:
        """Returns the link to a daemon, connecting if needed; None if the connection fails."""
        link = self._outgoing.get(address)
        if link is not None and not link.lost:
            return link
        async with self._locks.setdefault(address, asyncio.Lock()):
            link = self._outgoing.get(address)
            if link is not None and not link.lost:
                return link
            return await self._connect(address)

    async def probe(self) -> None:
        """Sends probes on links with pending answers, so that a silent link is noticed."""
        while True:
            await asyncio.sleep(PROBE_INTERVAL_S)
            for address, link in list(self._outgoing.items()):
                if link.lost:
                    del self._outgoing[address]
                elif link.pending_answers:
                    link.send(LinkProbe(sent_ms=int(time.monotonic() * 1000)))

    def close_if_dead(self, address: str) -> None:
        """Closes the link to a daemon that has fallen silent, unless it may only be stalled."""
        link = self._outgoing.get(address)
        if link is not None and link.is_dead():
            del self._outgoing[address]
            link.close()

    def record_alive(self, address: str) -> None:
        """Records that heartbeats of a daemon arrive."""
        link = self._outgoing.get(address)
        if link is not None:
            link.record_alive()

    async def _connect(self, address: str) -> Link | None:
        link = Link(
            self._member_id,
            memory=self._memory,
            on_message=self._on_message,
            on_lost=lambda link: self._on_outgoing_lost(address, link),
        )
        host, port = split_address(address)
        try:
            async with asyncio.timeout(CONNECT_LIMIT_S):
                await asyncio.get_running_loop().create_connection(lambda: link, host, port)
        except ConnectionRefusedError:
            self._on_refused(address)
            return None
        except OSError:
            return None
        self._outgoing[address] = link
        return link

    def _on_outgoing_lost(self, address: str, link: Link) -> None:
        self._on_lost(link)
        if self._outgoing.get(address) is not link:
            return
        # Both a killed process and a network fault reset links. Only a new connection attempt shows
        # which of them happened, and the lease of a killed process should end before the next turn
        # is relayed to that process.
        del self._outgoing[address]
        if time.monotonic() - link.connected_s < MIN_RECONNECT_S:
            return
        start_background_task(self.get(address), self._reconnecting)

    def _make_incoming(self) -> Link:
        return Link(
            self._member_id,
            memory=self._memory,
            on_message=self._on_message,
            on_lost=self._on_incoming_lost,
            on_made=self._incoming.add,
            on_named=self._incoming.record_start,
        )

    def _on_incoming_lost(self, link: Link) -> None:
        self._incoming.discard(link)
        self._on_lost(link)
