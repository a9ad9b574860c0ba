"""What the membership part sends, to whom, and when next."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quincespool.core import effects as fx
from quincespool.core.membership.table import MemberState
from quincespool.core.membership.table import address_of
from quincespool.core.messages import MembersTold
from quincespool.core.messages import Ping
from quincespool.core.timers import TimerKey

if TYPE_CHECKING:
    from quincespool.core.context import Context
    from quincespool.core.effects import Effects
    from quincespool.core.members import Member
    from quincespool.core.membership.state import MembershipState
    from quincespool.core.messages import MemberUpdate

PART = "membership"
PROBE_PERIOD_MS = 1_000
GOSSIP_PERIOD_MS = 500
SYNC_LEAST_MS = 30_000
JOIN_CONTACTS = 3
CONTACTS_PER_DEAD_S = 5
CONTACTS_ALL_S = 20


def ping(state: MembershipState, target: Member | MemberUpdate) -> fx.SendDatagram:
    """Returns a ping with news; it has the sequence number `state.sequence`."""
    news_ = news(state, held(state, target.member_id))
    message = Ping(state.next_sequence(), state.self_id, news_)
    return fx.SendDatagram(target.host, target.peer_port, message)


def knock(state: MembershipState, target: MemberUpdate) -> fx.SendDatagram:
    """Returns a ping to one who may not be there: no gossip is spent on it."""
    against = held(state, target.member_id)
    updates = (state.table.own, against) if against else (state.table.own,)
    message = Ping(state.next_sequence(), state.self_id, updates)
    return fx.SendDatagram(target.host, target.peer_port, message)


def news(state: MembershipState, subject: MemberUpdate | None) -> tuple[MemberUpdate, ...]:
    """Returns the own update, the one that a datagram's receiver must hear, and gossip."""
    first = (state.table.own, subject) if subject else (state.table.own,)
    return state.gossip.pick(first, len(state.alive()))


def held(state: MembershipState, member_id: str) -> MemberUpdate | None:
    """Returns what is held against a member, which it must hear in order to refute it."""
    record = state.table.record(member_id)
    if record is None or record.update.state == MemberState.ALIVE:
        return None
    return record.update


def sample(state: MembershipState, count: int, *, but: str = "") -> list[Member]:
    """Returns up to `count` other members believed alive, chosen at random."""
    members = state.alive()
    picked = state.rng.sample(members, min(len(members), count + 2))
    others = [member for member in picked if member.member_id not in {state.self_id, but}]
    return others[:count]


def sync(state: MembershipState, context: Context, member_id: str = "") -> Effects:
    """Asks a member, a random one if none is named, for what it knows and this daemon doesn't.

    A daemon that has not settled tells only of itself, since what else it holds may be old.
    """
    if not member_id:
        peers = sample(state, 1)
        if not peers:
            return []
        member_id = peers[0].member_id
    state.synced_ms = context.now_ms
    told = state.table.told(context.now_ms) if state.settled else (state.table.own,)
    return [fx.SendMessage(member_id, MembersTold(told))]


def may_sync(state: MembershipState, now_ms: int) -> bool:
    """Whether the last exchange of tables is long enough ago."""
    least_ms = SYNC_LEAST_MS if state.settled else PROBE_PERIOD_MS
    return state.synced_ms is None or now_ms - state.synced_ms >= least_ms


def contact_dead(state: MembershipState) -> Effects:
    """Now and then pings one of the dead, which may have been cut off only.

    All daemons together reach each dead member a few times a second, however many they are.
    """
    dead = state.table.dead()
    chance = CONTACTS_PER_DEAD_S * len(dead) / len(state.alive())
    if not dead or state.rng.random() >= chance:
        return []
    return [knock(state, state.rng.choice(dead).update)]


def contact_someone(state: MembershipState) -> Effects:
    """Now and then pings an address at which nobody is known to be alive."""
    if not state.settled or len(state.alive()) == 1:
        return contact_listed(state, JOIN_CONTACTS)
    if state.rng.random() >= CONTACTS_ALL_S / len(state.alive()):
        return []
    return contact_listed(state, 1)


def contact_listed(state: MembershipState, count: int) -> Effects:
    """Pings up to `count` seeds, listed hosts and former addresses of nobody alive."""
    out: Effects = []
    for _ in range(count):
        address = state.contacts.pick(state.table.alive_at)
        if address is None:
            return out
        host, _, port = address.rpartition(":")
        dead = [r.update for r in state.table.dead() if address_of(r.update) == address]
        message = Ping(state.next_sequence(), state.self_id, (state.table.own, *dead[:1]))
        out.append(fx.SendDatagram(host, int(port), message))
    return out


def take_all(
    state: MembershipState, context: Context, updates: tuple[MemberUpdate, ...], sender_id: str
) -> list[MemberUpdate]:
    """Takes in news and returns what of it was new."""
    fresh = []
    for update in updates:
        was_alive = state.find(update.member_id) is not None
        accepted = state.table.take(update, sender_id=sender_id, now_ms=context.now_ms)
        if accepted is None:
            state.gossip.heard(update)
        else:
            fresh.append(accepted)
        if not was_alive and state.find(update.member_id) is not None:
            state.order.add(update.member_id)
    subscribe_suspicion(state, context)
    return fresh


def spread(state: MembershipState, context: Context, *updates: MemberUpdate) -> None:
    """Queues updates for gossip."""
    for update in updates:
        state.gossip.add(update)
    subscribe_gossip(state, context)


def subscribe_gossip(state: MembershipState, context: Context) -> None:
    """Sees to it that fresh news does not wait for the next probe."""
    if "gossip" in state.due_ms or not state.gossip.fresh(len(state.alive())):
        return
    wait_ms = state.rng.randint(GOSSIP_PERIOD_MS // 2, GOSSIP_PERIOD_MS)
    subscribe(state, context, "gossip", context.now_ms + wait_ms)


def subscribe_suspicion(state: MembershipState, context: Context) -> None:
    """Sets the timer for the first suspect that is due."""
    due_ms = state.table.next_due_ms()
    if due_ms is not None and state.due_ms.get("suspicion") != due_ms:
        subscribe(state, context, "suspicion", due_ms)


def subscribe(state: MembershipState, context: Context, name: str, at_ms: int) -> None:
    """Sets a timer and keeps its time, to see whether it fires late."""
    state.due_ms[name] = at_ms
    context.timers.subscribe(TimerKey(PART, name), at_ms=at_ms)
