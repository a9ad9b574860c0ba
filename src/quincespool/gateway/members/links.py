"""TCP links between daemons: frames with one message each, in both directions."""

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
from quincespool.net.framing import FrameError
from quincespool.net.framing import FrameReader
from quincespool.net.framing import frame
from quincespool.net.listener import Listener
from quincespool.net.socket_options import is_resending
from quincespool.net.socket_options import limit_silence
from quincespool.net.struct_codec import CodecError

if TYPE_CHECKING:
    from collections.abc import Callable

CONNECT_LIMIT_S = 0.5
# What is sent and not acknowledged for this long has met a dead host or a link that went silent;
# the turns on it are given back while their callers still wait.
UNACKNOWLEDGED_MS = 800
PROBE_INTERVAL_S = 0.4
# A link on which nothing is waited for is left to the kernel's probes, which wake no process. In a
# large group, messages on all idle links would wake each daemon more often than its callers do.
IDLE_BEFORE_PROBES_S = 3
# A process that is not heard and whose host lives, as one short of processor time, has the turns on
# its link kept so long; callers leave a stream after two seconds without an event.
STALL_LIMIT_S = 0.6
MAX_UNSENT_BYTES = 8_000_000
# A link that is lost sooner is made again only when it is needed: a peer that takes links and ends
# them at once would be connected to without pause.
MIN_RECONNECT_S = 0.2


class Link(asyncio.Protocol):
    """One connection to another daemon.

    Attributes:
      lost: Whether it is over.
      detail: Why it is over, as far as known; empty if this daemon has broken it off.
      waiting: Answers that are to come on it.
      made_s: Steady clock at which it was made.
    """

    def __init__(
        self,
        member_id: str,
        *,
        on_message: Callable[[Link, str, Any], None],
        on_lost: Callable[[Link], None],
    ) -> None:
        self._member_id = member_id
        self._on_message = on_message
        self._on_lost = on_lost
        self._frames = FrameReader()
        self._transport: asyncio.Transport | None = None
        self.lost = False
        self.detail = ""
        self.waiting = 0
        self.made_s = time.monotonic()
        self._heard_s = self.made_s
        self._doubted_s: float | None = None

    def trust(self) -> None:
        """Takes note that the other daemon is heard."""
        self._doubted_s = None

    def is_dead(self) -> bool:
        """Whether a daemon that is not heard any more is to be given up, with what waits on it.

        A host without power acknowledges nothing, and the kernel sends the last probe again and
        again. One that acknowledges lives; its process may only stall, and goes on with its turns.
        """
        now_s = time.monotonic()
        if self._doubted_s is None:
            self._doubted_s = now_s
        if not self.waiting or self._transport is None or is_resending(self._transport):
            return True
        return now_s - max(self._doubted_s, self._heard_s) >= STALL_LIMIT_S

    def send(self, message: Any) -> bool:
        """Sends a message; returns whether the link is there to take it."""
        if self.lost or self._transport is None:
            return False
        self._transport.write(frame(CODEC.encode(self._member_id, message)))
        if self._transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            # A daemon that does not read would make this one hold everything that is meant for it.
            self.close()
        return True

    def close(self) -> None:
        """Breaks the link off."""
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Limits how long silence goes unnoticed."""
        self._transport = cast("asyncio.Transport", transport)
        limit_silence(
            self._transport, unacknowledged_ms=UNACKNOWLEDGED_MS, idle_s=IDLE_BEFORE_PROBES_S
        )

    def data_received(self, data: bytes) -> None:
        """Hands whole messages on."""
        self._heard_s = time.monotonic()
        self._frames.feed(data)
        try:
            while (message := self._frames.next_message()) is not None:
                sender, decoded = CODEC.decode(message)
                if not isinstance(decoded, LinkProbe):
                    self._hand_on(sender, decoded)
        except (FrameError, CodecError):
            # Not a daemon of this version; nothing that follows on this link can be read.
            self.close()

    def _hand_on(self, sender: str, message: Any) -> None:
        """Hands a message on; a fault with one is no reason to end what else is on the link."""
        try:
            self._on_message(self, sender, message)
        except Exception as error:
            report_exception("message not handled", error)

    def connection_lost(self, exc: Exception | None) -> None:
        """Tells what is on the link that it is over."""
        self.lost = True
        self.detail = repr(exc) if exc is not None else ""
        self._on_lost(self)


class Links:
    """The links of one daemon: one outgoing link to each other one, made when it is needed."""

    def __init__(
        self,
        member_id: str,
        *,
        on_message: Callable[[Link, str, Any], None],
        on_lost: Callable[[Link], None],
        on_refused: Callable[[str], None],
    ) -> None:
        """Makes the links.

        Args:
          member_id: Of this daemon.
          on_message: Takes the link, the sender and the message.
          on_lost: Takes a link that is over.
          on_refused: Takes the address of a host where nothing listens any more.
        """
        self._member_id = member_id
        self._on_message = on_message
        self._on_lost = on_lost
        self._on_refused = on_refused
        self._reconnecting: set[asyncio.Task[Link | None]] = set()
        self._outgoing: dict[str, Link] = {}
        self._locks: dict[str, asyncio.Lock] = {}
        self._incoming: set[Link] = set()
        self._listener = Listener(self._make_incoming)

    async def start(self, host: str, port: int) -> None:
        """Listens.

        Raises:
          OSError: if the port cannot be had.
        """
        await self._listener.start(host, port)

    def stop(self) -> None:
        """Ends all links."""
        self._listener.stop()
        for task in self._reconnecting:
            task.cancel()
        outgoing = list(self._outgoing.values())
        self._outgoing.clear()
        for link in [*outgoing, *self._incoming]:
            link.close()

    async def get(self, address: str) -> Link | None:
        """Returns the link to a daemon, None if there is none to be had."""
        link = self._outgoing.get(address)
        if link is not None and not link.lost:
            return link
        async with self._locks.setdefault(address, asyncio.Lock()):
            link = self._outgoing.get(address)
            if link is not None and not link.lost:
                return link
            return await self._connect(address)

    async def probe(self) -> None:
        """Keeps sending a little on links that are waited on, so that a silent one is noticed."""
        while True:
            await asyncio.sleep(PROBE_INTERVAL_S)
            for address, link in list(self._outgoing.items()):
                if link.lost:
                    del self._outgoing[address]
                elif link.waiting:
                    link.send(LinkProbe(sent_ms=int(time.monotonic() * 1000)))

    def doubt(self, address: str) -> None:
        """Breaks the link to a daemon that is not heard any more, unless it may only stall."""
        link = self._outgoing.get(address)
        if link is not None and link.is_dead():
            del self._outgoing[address]
            link.close()

    def trust(self, address: str) -> None:
        """Takes note that a daemon is heard."""
        link = self._outgoing.get(address)
        if link is not None:
            link.trust()

    async def _connect(self, address: str) -> Link | None:
        link = Link(
            self._member_id,
            on_message=self._on_message,
            on_lost=lambda link: self._lose_outgoing(address, link),
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

    def _lose_outgoing(self, address: str, link: Link) -> None:
        self._on_lost(link)
        if self._outgoing.get(address) is not link:
            return
        # A process that was killed resets its links; only another attempt tells that from a link
        # that was reset, and the end of its lease should not wait for the next turn.
        del self._outgoing[address]
        if time.monotonic() - link.made_s < MIN_RECONNECT_S:
            return
        start_background_task(self.get(address), self._reconnecting)

    def _make_incoming(self) -> Link:
        link = Link(self._member_id, on_message=self._on_message, on_lost=self._lose_incoming)
        self._incoming.add(link)
        return link

    def _lose_incoming(self, link: Link) -> None:
        self._incoming.discard(link)
        self._on_lost(link)
