"""What one daemon believes of all members, and the rules by which news changes it."""

from __future__ import annotations

import math
from enum import StrEnum
from typing import TYPE_CHECKING
from typing import NamedTuple

from quincespool.core.members import Member

if TYPE_CHECKING:
    from collections.abc import Iterable

    from quincespool.core.messages import MemberUpdate

SUSPICION_BASE_MS = 2_000
SUSPICION_PER_DOUBLING_MS = 400
SUSPICION_MOST_MS = 5_000
SUSPICION_GRID_MS = 200
DISTRUST_MS = 30_000
FORGET_MS = 600_000
TELL_GONE_MS = 300_000


class MemberState(StrEnum):
    """The values of `MemberUpdate.state`."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"
    LEFT = "left"


_RANK = {
    MemberState.ALIVE: 0,
    MemberState.SUSPECT: 1,
    MemberState.DEAD: 2,
    MemberState.LEFT: 3,
}
_GONE = frozenset({MemberState.DEAD, MemberState.LEFT})


class Record(NamedTuple):
    """What is believed of one other member.

    Attributes:
      update: The newest accepted news.
      since_ms: When it was accepted here.
      due_ms: For a suspect, when it is declared dead; else 0.
      trusted_from_ms: Until then its bad news about others is not accepted.
      hearsay: A gone member that was never held alive here; such records are not told on.
    """

    update: MemberUpdate
    since_ms: int
    due_ms: int = 0
    trusted_from_ms: int = 0
    hearsay: bool = False

    @property
    def gone(self) -> bool:
        """Whether the member is dead or has left."""
        return self.update.state in _GONE


class MemberTable:
    """All members known here, this daemon apart.

    Attributes:
      own: This daemon's own update, always `alive` until it leaves.
      superseded: Whether a later process of this member id has been heard of.
    """

    def __init__(self, own: MemberUpdate) -> None:
        self.own = own
        self.superseded = False
        self._records: dict[str, Record] = {}
        self._suspects: set[str] = set()
        self._gone: set[str] = set()
        self._alive: dict[str, Member] = {own.member_id: _member(own)}
        self._by_address: dict[str, str] = {address_of(own): own.member_id}
        self._sorted: tuple[Member, ...] | None = None
        self._changed = True

    def alive(self) -> tuple[Member, ...]:
        """Returns the members believed alive, suspects and this one included, sorted by id."""
        if self._sorted is None:
            self._sorted = tuple(self._alive[member_id] for member_id in sorted(self._alive))
        return self._sorted

    def find(self, member_id: str) -> Member | None:
        """Returns a member believed alive."""
        return self._alive.get(member_id)

    def record(self, member_id: str) -> Record | None:
        """Returns what is believed of another member, also a gone one."""
        return self._records.get(member_id)

    def records(self) -> Iterable[Record]:
        """Returns the records of all other members."""
        return self._records.values()

    def suspects(self) -> list[Record]:
        """Returns the suspects, those declared dead soonest first."""
        suspects = [self._records[member_id] for member_id in self._suspects]
        return sorted(suspects, key=lambda record: (record.due_ms, record.update.member_id))

    def next_due_ms(self) -> int | None:
        """Returns when the first suspect is declared dead, None if there is no suspect."""
        return min((self._records[member_id].due_ms for member_id in self._suspects), default=None)

    def dead(self) -> list[Record]:
        """Returns the dead (not those that left) sorted by id."""
        gone = (self._records[member_id] for member_id in sorted(self._gone))
        return [record for record in gone if record.update.state == MemberState.DEAD]

    def alive_at(self, address: str) -> bool:
        """Whether a member believed alive has this peer address."""
        return address in self._by_address

    def take_changed(self) -> bool:
        """Returns whether `alive()` has changed since the last call."""
        changed = self._changed
        self._changed = False
        return changed

    def suspicion_ms(self) -> int:
        """Returns how long a suspect has for its refutation; grows with the members."""
        scaled = SUSPICION_BASE_MS + SUSPICION_PER_DOUBLING_MS * math.log2(len(self._alive) + 1)
        return min(SUSPICION_MOST_MS, int(scaled))

    def set_own(self, *, state: str = MemberState.ALIVE, draining: bool | None = None) -> None:
        """Changes the own update under a new refutation number, so that it replaces all before."""
        self.own = self.own._replace(
            refutation=self.own.refutation + 1,
            state=state,
            draining=self.own.draining if draining is None else draining,
        )
        if state == MemberState.ALIVE:
            self._set_alive(self.own)

    def take(self, update: MemberUpdate, *, sender_id: str, now_ms: int) -> MemberUpdate | None:
        """Accepts news, or not.

        Returns:
          What others should hear of it, None if it was no news.
        """
        if update.member_id == self.own.member_id:
            return self._hear_of_self(update)
        held = self._records.get(update.member_id)
        if held is None:
            return self._take_unknown(update, now_ms)
        if _order(update) <= _order(held.update):
            return None
        if update.state in {MemberState.ALIVE, MemberState.LEFT}:
            return self._accept(update, now_ms)
        return self._take_bad_news(held, update, self._trusts(sender_id, now_ms), now_ms)

    def suspect(self, member_id: str, now_ms: int) -> MemberUpdate | None:
        """Begins a suspicion of a member that didn't answer; None if it isn't held alive."""
        held = self._records.get(member_id)
        if held is None or held.update.state != MemberState.ALIVE:
            return None
        return self._accept(held.update._replace(state=MemberState.SUSPECT), now_ms)

    def declare_dead(self, now_ms: int) -> list[MemberUpdate]:
        """Declares the suspects dead whose time for a refutation is over."""
        due = [record.update for record in self.suspects() if record.due_ms <= now_ms]
        return [self._accept(update._replace(state=MemberState.DEAD), now_ms) for update in due]

    def restart_suspicions(self, now_ms: int) -> None:
        """Gives all suspects the whole time again."""
        for record in self.suspects():
            due_ms = self._due_ms(now_ms)
            self._records[record.update.member_id] = record._replace(due_ms=due_ms)

    def forget(self, now_ms: int) -> list[MemberUpdate]:
        """Drops members that have been gone for long and returns their last updates."""
        old = [
            member_id
            for member_id in sorted(self._gone)
            if now_ms - self._records[member_id].since_ms >= FORGET_MS
        ]
        self._gone.difference_update(old)
        return [self._records.pop(member_id).update for member_id in old]

    def told(self, now_ms: int) -> tuple[MemberUpdate, ...]:
        """Returns the own update and then all that others may be told.

        Gone members are told only for a while and only by those who held them alive: otherwise
        daemons that have forgotten one would take it back from daemons that have not yet, in
        turns, and the table would grow for good.
        """
        others = (record.update for record in self._records.values() if _tellable(record, now_ms))
        return (self.own, *others)

    def newer_than(self, told: tuple[MemberUpdate, ...], now_ms: int) -> tuple[MemberUpdate, ...]:
        """Returns what is known here, of others, and not by the sender of `told`."""
        orders = {update.member_id: _order(update) for update in told}
        return tuple(
            update
            for update in self.told(now_ms)[1:]
            if update.member_id not in orders or _order(update) > orders[update.member_id]
        )

    def _hear_of_self(self, update: MemberUpdate) -> MemberUpdate | None:
        if update.incarnation > self.own.incarnation:
            self.superseded = True
            return None
        if update.incarnation < self.own.incarnation or self.own.state == MemberState.LEFT:
            return None
        if _order(update) <= _order(self.own):
            return None
        self.own = self.own._replace(refutation=update.refutation)
        self.set_own()
        return self.own

    def _take_unknown(self, update: MemberUpdate, now_ms: int) -> MemberUpdate | None:
        if update.state in _GONE:
            self._records[update.member_id] = Record(update, now_ms, hearsay=True)
            self._gone.add(update.member_id)
            return None
        if update.state == MemberState.SUSPECT:
            # It may be one that everyone has forgotten, brought up by a daemon that stood still.
            # If it lives it refutes, and then it is taken in.
            return None
        return self._accept(update, now_ms)

    def _take_bad_news(
        self, held: Record, update: MemberUpdate, trusted: bool, now_ms: int
    ) -> MemberUpdate | None:
        if held.gone or update.incarnation > held.update.incarnation:
            return self._accept(update, now_ms)
        newer = update.refutation > held.update.refutation
        if not trusted:
            # A cut heals: the other side still believes everyone on this side dead. Accepting that
            # would empty `alive()` for seconds and set off claims for everything. The number only
            # shows that the member itself has spoken since.
            alive = update._replace(state=MemberState.ALIVE)
            return self._accept(alive, now_ms) if newer else None
        if update.state == MemberState.SUSPECT or newer or not held.due_ms:
            # Also a death: a member held alive here gets its time for a refutation from everyone,
            # so one daemon's mistake doesn't remove it everywhere at once.
            suspected = self._accept(update._replace(state=MemberState.SUSPECT), now_ms)
            if update.state == MemberState.DEAD:
                self._hasten(update.member_id, now_ms)
            return suspected
        self._hasten(update.member_id, now_ms)
        return None

    def _hasten(self, member_id: str, now_ms: int) -> None:
        """Leaves a suspect that others have declared dead half the time for its refutation."""
        held = self._records[member_id]
        due_ms = _on_grid(max(now_ms, held.since_ms + self.suspicion_ms() // 2))
        self._records[member_id] = held._replace(due_ms=min(held.due_ms, due_ms))

    def _accept(self, update: MemberUpdate, now_ms: int) -> MemberUpdate:
        member_id = update.member_id
        held = self._records.get(member_id)
        trusted_from_ms = held.trusted_from_ms if held else 0
        if held and held.gone and held.update.incarnation == update.incarnation:
            trusted_from_ms = now_ms + DISTRUST_MS
        suspected = update.state == MemberState.SUSPECT
        due_ms = self._due_ms(now_ms) if suspected else 0
        record = Record(update, now_ms, due_ms, trusted_from_ms)
        self._records[member_id] = record
        (self._suspects.add if suspected else self._suspects.discard)(member_id)
        (self._gone.add if record.gone else self._gone.discard)(member_id)
        if record.gone:
            self._drop_alive(member_id)
        else:
            self._set_alive(update)
        return update

    def _due_ms(self, now_ms: int) -> int:
        return _on_grid(now_ms + self.suspicion_ms())

    def _trusts(self, sender_id: str, now_ms: int) -> bool:
        record = self._records.get(sender_id)
        return record is not None and not record.gone and now_ms >= record.trusted_from_ms

    def _set_alive(self, update: MemberUpdate) -> None:
        member = _member(update)
        if self._alive.get(update.member_id) == member:
            return
        self._drop_alive(update.member_id)
        self._alive[update.member_id] = member
        self._by_address[address_of(update)] = update.member_id

    def _drop_alive(self, member_id: str) -> None:
        self._changed = True
        self._sorted = None
        member = self._alive.pop(member_id, None)
        if member is None:
            return
        address = f"{member.host}:{member.peer_port}"
        if self._by_address.get(address) == member_id:
            del self._by_address[address]


def address_of(update: MemberUpdate) -> str:
    """Returns the peer address as host:port."""
    return f"{update.host}:{update.peer_port}"


def _on_grid(at_ms: int) -> int:
    """Rounds up, so that many suspects fall due together and make one change of the members."""
    return -(-at_ms // SUSPICION_GRID_MS) * SUSPICION_GRID_MS


def _order(update: MemberUpdate) -> tuple[int, int, int]:
    """Returns what decides which of two updates on a member is the newer one."""
    return update.incarnation, update.refutation, _RANK[MemberState(update.state)]


def _member(update: MemberUpdate) -> Member:
    return Member(
        member_id=update.member_id,
        incarnation=update.incarnation,
        zone=update.zone,
        host=update.host,
        http_port=update.http_port,
        peer_port=update.peer_port,
        draining=update.draining,
    )


def _tellable(record: Record, now_ms: int) -> bool:
    return not record.gone or (not record.hearsay and now_ms - record.since_ms < TELL_GONE_MS)
