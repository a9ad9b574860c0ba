"""Whom a daemon probes next, which probe is under way, and which ones it relays for others."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

if TYPE_CHECKING:
    import random
    from collections.abc import Container

    from quincespool.core.members import Member


class Probe(NamedTuple):
    """The probe of the present period."""

    sequence: int
    target_id: str
    answered: bool = False


class Relay(NamedTuple):
    """A ping sent for another daemon that got no answer itself.

    Attributes:
      target_id: Who was pinged.
      host: Of the daemon that asked.
      port: Of the daemon that asked.
      sequence: The sequence number by which it knows its probe.
      until_ms: When it no longer waits.
    """

    target_id: str
    host: str
    port: int
    sequence: int
    until_ms: int


class ProbeOrder:
    """Goes round all members in a shuffled order, a new one in every round.

    This bounds the time until a given member is probed by two rounds, where independent random
    choices would leave some unprobed for long.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._round: list[str] = []
        self._urgent: list[str] = []

    def add(self, member_id: str) -> None:
        """Puts a new member at a random place of the round under way."""
        self._round.insert(self._rng.randint(0, len(self._round)), member_id)

    def hurry(self, member_id: str) -> None:
        """Has a member probed next, on a hint that it may be gone."""
        if member_id not in self._urgent:
            self._urgent.append(member_id)

    def next(self, members: tuple[Member, ...], self_id: str) -> str | None:
        """Returns the member to probe now, None if there are no others."""
        alive = {member.member_id for member in members if member.member_id != self_id}
        urgent = _pop_member(self._urgent, alive)
        if urgent is not None:
            return urgent
        target_id = _pop_member(self._round, alive)
        if target_id is not None or not alive:
            return target_id
        self._round = sorted(alive)
        self._rng.shuffle(self._round)
        return self._round.pop()


def _pop_member(waiting: list[str], alive: Container[str]) -> str | None:
    while waiting:
        member_id = waiting.pop()
        if member_id in alive:
            return member_id
    return None
