"""The state of the membership part."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from quincespool.core.membership.contacts import Contacts
from quincespool.core.membership.gossip import GossipQueue
from quincespool.core.membership.probe import ProbeOrder
from quincespool.core.membership.table import MemberTable
from quincespool.core.messages import Ack

if TYPE_CHECKING:
    from quincespool.core.members import Member
    from quincespool.core.membership.probe import Probe
    from quincespool.core.membership.probe import Relay
    from quincespool.core.messages import Datagram
    from quincespool.core.messages import MemberUpdate


class MembershipState:
    """This part's slice of the state; offers `quincespool.core.context.MembersView`."""

    def __init__(self, own: MemberUpdate, seeds: tuple[str, ...], seed: int) -> None:
        self.rng = random.Random(seed)
        self.table = MemberTable(own)
        self.gossip = GossipQueue()
        self.order = ProbeOrder(self.rng)
        self.contacts = Contacts(seeds, self.rng)
        self.probe: Probe | None = None
        self.relays: dict[int, Relay] = {}
        self.sequence = self.rng.getrandbits(30)
        self.due_ms: dict[str, int] = {}
        self.synced_ms: int | None = None
        self.settled = False
        self.woken_at_sequence: int | None = None
        self.stepped_down = False

    @property
    def self_id(self) -> str:
        """This daemon's member id."""
        return self.table.own.member_id

    @property
    def incarnation(self) -> int:
        """This daemon's incarnation."""
        return self.table.own.incarnation

    def alive(self) -> tuple[Member, ...]:
        """Returns the members believed alive, sorted by id, this one included.

        Until `settled` this may be a small part of them, and nobody's absence means anything.
        """
        return self.table.alive()

    def find(self, member_id: str) -> Member | None:
        """Returns a member believed alive."""
        return self.table.find(member_id)

    def backend_leaving(self, address: str) -> bool:
        """Whether the platform's host list says that this address is leaving."""
        return self.contacts.leaving(address)

    def known(self) -> tuple[MemberUpdate, ...]:
        """Returns what is known of every member, this one first, gone ones included."""
        others = sorted(record.update for record in self.table.records())
        return (self.table.own, *others)

    def may_be_old(self, datagram: Datagram) -> bool:
        """Whether a datagram may have waited in the socket of a process that stood still for long.

        Its news may be of members that everyone else has forgotten. Answers to pings sent since
        then are surely new, and by the time these have led to an exchange of tables, what had
        waited has been read.
        """
        if self.settled or self.woken_at_sequence is None:
            return False
        return not isinstance(datagram, Ack) or datagram.sequence <= self.woken_at_sequence

    def next_sequence(self) -> int:
        """Returns a new number for a ping."""
        self.sequence += 1
        return self.sequence
