"""Addresses at which daemons may be found that are not known to be alive.

They come from the settings' seeds, from the platform's host list and from members of long ago. An
address here says nothing about whether anyone is there.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random
    from collections.abc import Callable
    from collections.abc import Set as AbstractSet

KEEP_FORMER_MS = 4 * 3_600_000
KEEP_LEAVING_MS = 600_000
LISTED_LEAVING = "leaving"
_LOOKS_PER_PICK = 200


class Contacts:
    """Seeds, the host list as last read, and addresses of members that have been forgotten."""

    def __init__(self, seeds: tuple[str, ...], rng: random.Random) -> None:
        self._seeds = tuple(filter(_is_address, seeds))
        self._rng = rng
        self._hosts: dict[str, str] = {}
        self._leaving_ms: dict[str, int] = {}
        self._listed: list[str] = []
        self._former_ms: dict[str, int] = {}
        self._round: list[str] = []

    def read_hosts(
        self, hosts: dict[str, str], backends: Callable[[], AbstractSet[str]], now_ms: int
    ) -> None:
        """Takes in the platform's host list.

        Args:
          hosts: Address (host:port) to `live` or `leaving`, for entry hosts and backend servers.
          backends: Gives the addresses known to be backend servers', which are never contacted.
          now_ms: The time.
        """
        if not hosts:
            # The list is empty when the platform has lost it, not when all hosts are gone. Taking
            # it at its word would give leaving backend servers new work again.
            return
        self._note_leaving(hosts, now_ms)
        if hosts == self._hosts:
            return
        self._hosts = hosts
        live = {address for address, state in hosts.items() if state != LISTED_LEAVING}
        self._listed = sorted(filter(_is_address, live - backends()))

    def leaving(self, address: str) -> bool:
        """Whether the host list says that an address is leaving, or said so and dropped it."""
        return address in self._leaving_ms

    def remember(self, address: str, now_ms: int) -> None:
        """Keeps the address of a member that is being forgotten."""
        self._former_ms[address] = now_ms

    def expire(self, now_ms: int) -> None:
        """Drops addresses of members that have been gone for hours."""
        self._former_ms = {
            address: since_ms
            for address, since_ms in self._former_ms.items()
            if now_ms - since_ms < KEEP_FORMER_MS
        }

    def pick(self, known: Callable[[str], bool]) -> str | None:
        """Returns the next address that is not `known` already, None if there is none near."""
        if not self._round:
            self._round = sorted({*self._seeds, *self._listed, *self._former_ms})
            self._rng.shuffle(self._round)
        for _ in range(min(_LOOKS_PER_PICK, len(self._round))):
            address = self._round.pop()
            if not known(address):
                return address
        return None

    def _note_leaving(self, hosts: dict[str, str], now_ms: int) -> None:
        for address, state in hosts.items():
            if state == LISTED_LEAVING:
                self._leaving_ms[address] = now_ms
            else:
                self._leaving_ms.pop(address, None)
        # A host that has left drops out of the list, and would look like one that may be used.
        # So it counts as leaving until it is listed live, or long enough for everyone to see it.
        gone = [a for a, at_ms in self._leaving_ms.items() if now_ms - at_ms >= KEEP_LEAVING_MS]
        for address in gone:
            del self._leaving_ms[address]


def _is_address(text: str) -> bool:
    # The list is others' data. One malformed address would raise in the reducer at each look at
    # it, on every daemon at the same time; left out, it is merely not contacted.
    host, _, port = text.rpartition(":")
    return bool(host) and port.isascii() and port.isdigit() and 0 < int(port) < 65_536
