"""Transfers the configuration between daemons, for those that cannot read it from the store.

Without such copies, hosts that the store rejects or that are cut off from it would continue to
accept an API key that operators have revoked, until they can read the store again. The symptom is a
`configuration_version` in `call answered` that is behind that of other daemons. Heartbeats carry
the version in force, and any daemon that has a newer one sends the complete configuration on
request.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import msgspec

from quincespool.gateway.clock import now_ms
from quincespool.gateway.futures import start_background_task
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

# The store delivers a new version to all daemons within some tens of milliseconds. Only a daemon
# that does not have it by then requests a copy, so that a change causes no messages between daemons
# as long as the store serves them all.
REQUEST_DELAY_MS = 200
# Interval between requests: an answer takes one round trip, and a lost one must be requested again.
REQUEST_INTERVAL_MS = 250

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Configuration)


def write_configuration_copy(configuration: Configuration) -> bytes:
    """Returns a configuration, encoded for other daemons."""
    return _ENCODER.encode(configuration)


def read_configuration_copy(data: bytes) -> Configuration:
    """Returns the configuration that `write_configuration_copy` has encoded.

    Raises:
      msgspec.MsgspecError: If the data cannot be decoded, for example because it is from another
        release.
    """
    return _DECODER.decode(data)


class ConfigurationCopies:
    """Requests newer configurations from other daemons, and answers their requests."""

    def __init__(
        self,
        *,
        routes: RouteTable,
        members: MemberTable,
        links: Links,
        log: DecisionLog,
        adopt: Callable[[Configuration, str], None],
    ) -> None:
        """Creates the component of one daemon.

        Args:
          routes: Holds the configuration in force.
          members: Gives the addresses of other daemons.
          links: Connections to other daemons.
          log: Receives a line on each copy that cannot be decoded.
          adopt: Called with a configuration and the id of the daemon that sent it.
        """
        self._routes = routes
        self._members = members
        self._links = links
        self._log = log
        self._adopt = adopt
        self._newer_since_ms: int | None = None
        self._requested_ms = -REQUEST_INTERVAL_MS
        self._requests: set[asyncio.Task[None]] = set()

    def on_peer_version(self, peer_id: str, version: int) -> None:
        """Requests a copy if another daemon has had a newer version in force for long enough.

        Args:
          peer_id: The other daemon.
          version: The version of the configuration that it has in force.
        """
        if version <= self._routes.version:
            return
        at_ms = now_ms()
        if self._newer_since_ms is None:
            self._newer_since_ms = at_ms
        if (
            at_ms - self._newer_since_ms < REQUEST_DELAY_MS
            or at_ms - self._requested_ms < REQUEST_INTERVAL_MS
        ):
            return
        peer = self._members.entries.get(peer_id)
        if peer is not None:
            self._requested_ms = at_ms
            start_background_task(self._request_copy(peer.peer_address), self._requests)

    def on_message(self, link: Link, sender: str, message: Any) -> None:
        """Handles a request for a copy, or a copy, from another daemon."""
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

    def on_configuration_adopted(self) -> None:
        """Restarts the delay before the next request, since a newer configuration is in force."""
        self._newer_since_ms = None

    async def _request_copy(self, address: str) -> None:
        link = await self._links.get(address)
        if link is not None:
            link.send(ConfigurationQuestion(self._routes.version))
