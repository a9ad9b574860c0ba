"""Brings the configuration to daemons that cannot read it from the store.

What goes wrong without it: the store turns some hosts away, or they are cut off from it, while the
operators take a key away; these hosts go on serving it until they are let in again. One notices a
`configuration_version` in `call answered` that is behind that of other daemons. Heartbeats tell of
a newer version, and any daemon that has it hands it on whole.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import msgspec

from quincespool.gateway.clock import now_ms
from quincespool.gateway.futures import start_kept
from quincespool.gateway.members.messages import ConfigurationCopy
from quincespool.gateway.members.messages import ConfigurationQuestion
from quincespool.gateway.model import Configuration

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

    from quincespool.gateway.callers.routes import RouteTable
    from quincespool.gateway.decision_log import DecisionLog
    from quincespool.gateway.members.links import Link
    from quincespool.gateway.members.links import Links
    from quincespool.gateway.members.member_table import MemberTable

# The store shows a new version to all within some tens of milliseconds; only who has none by then
# asks the others, so that a change costs no messages as long as the store serves all.
ASK_AFTER_MS = 200
# An answer takes a round trip; one that is lost is asked for again.
ASK_INTERVAL_MS = 250

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Configuration)


def write_configuration_copy(configuration: Configuration) -> bytes:
    """Returns a configuration as daemons hand it on."""
    return _ENCODER.encode(configuration)


def read_configuration_copy(data: bytes) -> Configuration:
    """Returns the configuration in some bytes.

    Raises:
      msgspec.MsgspecError: if they hold none of this version of the product.
    """
    return _DECODER.decode(data)


class ConfigurationCopies:
    """Asks other daemons for a newer configuration, and hands this one's on."""

    def __init__(
        self,
        *,
        routes: RouteTable,
        members: MemberTable,
        links: Links,
        log: DecisionLog,
        adopt: Callable[[Configuration, str], None],
    ) -> None:
        """Makes the part of one daemon.

        Args:
          routes: Have the configuration in force.
          members: Tell where daemons can be reached.
          links: Carry questions and copies.
          log: Takes copies that can't be read.
          adopt: Takes a configuration and the daemon that it is from.
        """
        self._routes = routes
        self._members = members
        self._links = links
        self._log = log
        self._adopt = adopt
        self._newer_since_ms: int | None = None
        self._asked_ms = -ASK_INTERVAL_MS
        self._asking: set[asyncio.Task[None]] = set()

    def heard(self, peer_id: str, version: int) -> None:
        """Takes in which version another daemon has in force."""
        if version <= self._routes.version:
            return
        at_ms = now_ms()
        if self._newer_since_ms is None:
            self._newer_since_ms = at_ms
        if at_ms - self._newer_since_ms < ASK_AFTER_MS or at_ms - self._asked_ms < ASK_INTERVAL_MS:
            return
        peer = self._members.entries.get(peer_id)
        if peer is not None:
            self._asked_ms = at_ms
            start_kept(self._ask(peer.peer_address), self._asking)

    def on_message(self, link: Link, sender: str, message: Any) -> None:
        """Takes a question or a copy of another daemon."""
        if isinstance(message, ConfigurationQuestion):
            configuration = self._routes.configuration
            if configuration is not None and configuration.version > message.version:
                link.send(ConfigurationCopy(write_configuration_copy(configuration)))
            return
        try:
            configuration = read_configuration_copy(message.data)
        except msgspec.MsgspecError as error:
            self._log.write("configuration copy unreadable", peer_id=sender, detail=str(error))
            return
        self._adopt(configuration, sender)

    def caught_up(self) -> None:
        """Takes note that a newer configuration is in force; the next one is waited for anew."""
        self._newer_since_ms = None

    async def _ask(self, address: str) -> None:
        link = await self._links.get(address)
        if link is not None:
            link.send(ConfigurationQuestion(self._routes.version))
