"""Membership: which daemons are alive, by probes and gossip over datagrams (after SWIM).

Every daemon probes one other in each period, asks helpers to probe those that do not answer, and
suspects those that do not answer the helpers either. A suspect that does not refute the suspicion
in time is declared dead. All news rides on these datagrams. Nothing here decides correctness:
claims in the log do. A wrong death costs claims and nothing else.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from quincespool.core import effects as fx
from quincespool.core import events as ev
from quincespool.core.membership import send
from quincespool.core.membership.probe import Probe
from quincespool.core.membership.probe import Relay
from quincespool.core.membership.send import JOIN_CONTACTS
from quincespool.core.membership.send import PART
from quincespool.core.membership.send import PROBE_PERIOD_MS
from quincespool.core.membership.state import MembershipState
from quincespool.core.membership.table import TELL_GONE_MS
from quincespool.core.membership.table import MemberState
from quincespool.core.membership.table import MemberTable
from quincespool.core.membership.table import address_of
from quincespool.core.messages import Ack
from quincespool.core.messages import MembersTold
from quincespool.core.messages import MemberUpdate
from quincespool.core.messages import Ping
from quincespool.core.messages import PingRequest

if TYPE_CHECKING:
    from quincespool.core.context import Context
    from quincespool.core.effects import Effects
    from quincespool.core.events import Event
    from quincespool.core.messages import Datagram
    from quincespool.settings import Settings

ACK_TIMEOUT_MS = 300
HELPERS = 3
LATE_MS = 400
SETTLE_MS = 3_000
SYNC_PERIOD_MS = 300_000
SYNC_AGAIN_MS = 2_000
BULK_UPDATES = 10
UPKEEP_PERIOD_MS = 10_000
SUSPECT_CHECKS = 4
GOODBYES = 5


def make_membership(settings: Settings, *, incarnation: int, seed: int) -> MembershipState:
    """Makes the state of a daemon that knows only itself and its settings.

    Args:
      settings: Of the daemon.
      incarnation: Start of the process in wall-clock milliseconds.
      seed: For the random choices of whom to ask.
    """
    own = MemberUpdate(
        member_id=settings.member_id,
        incarnation=incarnation,
        refutation=0,
        zone=settings.zone,
        host=settings.host,
        http_port=settings.http_port,
        peer_port=settings.peer_port,
        state=MemberState.ALIVE,
        draining=False,
    )
    return MembershipState(own, settings.seeds, seed)


def reduce(state: MembershipState, context: Context, event: Event) -> Effects:
    """Handles one event; raises `MembersChanged` if the members believed alive have changed."""
    if state.table.own.state == MemberState.LEFT:
        return []
    settled = state.settled
    out = _handle(state, context, event)
    if state.table.take_changed() or state.settled != settled:
        out.append(fx.Raise(ev.MembersChanged(state.alive())))
    if state.table.superseded and not state.stepped_down:
        out += _step_down(state)
    return out


def say_left(state: MembershipState) -> Effects:
    """Tells some members that this daemon has left; to be sent right before it stops."""
    state.table.set_own(state=MemberState.LEFT)
    return [send.ping(state, member) for member in send.sample(state, GOODBYES)]


def _handle(state: MembershipState, context: Context, event: Event) -> Effects:
    match event:
        case ev.DatagramReceived():
            return _on_datagram(state, context, event)
        case ev.TimerFired(part=part) if part == PART:
            return _on_timer(state, context, event.name)
        case ev.MessageReceived(message=MembersTold() as told):
            return _on_told(state, context, event.sender, told)
        case ev.LinkDown():
            state.order.hurry(event.member_id)
        case ev.HostsRead():
            state.contacts.read_hosts(
                event.hosts, lambda: _backend_addresses(context), context.now_ms
            )
        case ev.Started():
            return _on_started(state, context)
        case ev.Woken():
            return _on_woken(state, context, event.gap_ms)
        case ev.DrainRequested():
            return _on_drain(state, context)
    return []


def _on_started(state: MembershipState, context: Context) -> Effects:
    first_ms = state.rng.randint(1, PROBE_PERIOD_MS)
    send.subscribe(state, context, "probe", context.now_ms + first_ms)
    send.subscribe(state, context, "settle", context.now_ms + SETTLE_MS)
    send.subscribe(state, context, "upkeep", context.now_ms + UPKEEP_PERIOD_MS)
    sync_ms = state.rng.randint(SYNC_PERIOD_MS // 2, SYNC_PERIOD_MS)
    send.subscribe(state, context, "sync", context.now_ms + sync_ms)
    return send.contact_listed(state, JOIN_CONTACTS)


def _on_woken(state: MembershipState, context: Context, gap_ms: int) -> Effects:
    """Takes up again after standing still, without judging anyone by the time that has passed."""
    state.settled = False
    state.probe = None
    state.relays.clear()
    state.gossip.clear()
    send.subscribe(state, context, "settle", context.now_ms + SETTLE_MS)
    state.woken_at_sequence = None
    if gap_ms >= TELL_GONE_MS // 2:
        # Others may no longer tell who died meanwhile, and soon forget it. Telling them of these
        # members as alive would bring them back everywhere until found dead once more.
        state.woken_at_sequence = state.sequence
        _start_table_again(state, context)
    state.table.restart_suspicions(context.now_ms)
    send.subscribe_suspicion(state, context)
    state.table.set_own()
    send.spread(state, context, state.table.own)
    out: Effects = [send.ping(state, member) for member in send.sample(state, JOIN_CONTACTS)]
    return out + send.contact_listed(state, JOIN_CONTACTS) + send.sync(state, context)


def _start_table_again(state: MembershipState, context: Context) -> None:
    for record in state.table.records():
        state.contacts.remember(address_of(record.update), context.now_ms)
    state.table = MemberTable(state.table.own)


def _on_drain(state: MembershipState, context: Context) -> Effects:
    if state.table.own.draining:
        return []
    state.table.set_own(draining=True)
    send.spread(state, context, state.table.own)
    return [send.ping(state, member) for member in send.sample(state, GOODBYES)]


def _step_down(state: MembershipState) -> Effects:
    # Two processes have one member id: this one was replaced while it was frozen or cut off, or
    # its clock is behind that of its predecessor. The log voids all it writes, so it would look
    # healthy and finish nothing. Operators see this line; draining lets a supervisor start anew.
    state.stepped_down = True
    fields: dict[str, object] = {"member_id": state.self_id, "incarnation": state.incarnation}
    line = fx.Log("error", "a later process of this member id is alive; draining", fields)
    return [line, fx.Raise(ev.DrainRequested())]


def _on_datagram(state: MembershipState, context: Context, event: ev.DatagramReceived) -> Effects:
    datagram = event.datagram
    known = state.find(datagram.sender_id) is not None
    if not state.may_be_old(datagram):
        fresh = send.take_all(state, context, datagram.updates, datagram.sender_id)
        send.spread(state, context, *fresh)
    if isinstance(datagram, Ping):
        reply = Ack(
            datagram.sequence,
            state.self_id,
            state.self_id,
            send.news(state, _correction(state, datagram)),
        )
        return [fx.SendDatagram(event.host, event.port, reply)]
    if isinstance(datagram, PingRequest):
        return _relay_ping(state, context, event.host, event.port, datagram)
    out = _on_ack(state, context, datagram)
    found = not known and state.find(datagram.sender_id) is not None
    if found and send.may_sync(state, context.now_ms):
        out += send.sync(state, context, datagram.sender_id)
    return out


def _on_ack(state: MembershipState, context: Context, ack: Ack) -> Effects:
    probe = state.probe
    if probe and (ack.sequence, ack.subject_id) == (probe.sequence, probe.target_id):
        state.probe = probe._replace(answered=True)
        return []
    relay = state.relays.get(ack.sequence)
    if relay is None or relay.target_id != ack.subject_id or relay.until_ms < context.now_ms:
        return []
    del state.relays[ack.sequence]
    news = send.news(state, send.held(state, relay.target_id))
    answer = Ack(relay.sequence, state.self_id, relay.target_id, news)
    return [fx.SendDatagram(relay.host, relay.port, answer)]


def _relay_ping(
    state: MembershipState, context: Context, host: str, port: int, asked: PingRequest
) -> Effects:
    sequence = state.next_sequence()
    until_ms = context.now_ms + PROBE_PERIOD_MS
    state.relays[sequence] = Relay(asked.target_id, host, port, asked.sequence, until_ms)
    ping = Ping(sequence, state.self_id, send.news(state, send.held(state, asked.target_id)))
    return [fx.SendDatagram(asked.target_host, asked.target_port, ping)]


def _on_told(state: MembershipState, context: Context, sender: str, told: MembersTold) -> Effects:
    """Takes in a table. One that begins with the sender's own update asks for the difference.

    One that tells much comes to a newcomer, after a common start or when a cut has healed. So much
    is not gossiped, since it would fill the datagrams for minutes. While an exchange of tables
    brings news, another one with another member follows soon, which spreads it there.
    """
    if sender == state.self_id:
        return []
    fresh = send.take_all(state, context, told.updates, sender)
    if len(fresh) <= BULK_UPDATES:
        send.spread(state, context, *fresh)
    if any(update.member_id != sender for update in fresh):
        again_ms = state.rng.randint(SYNC_AGAIN_MS // 2, SYNC_AGAIN_MS)
        send.subscribe(state, context, "sync", context.now_ms + again_ms)
    if not told.updates or told.updates[0].member_id != sender:
        state.settled = True
        return []
    newer = state.table.newer_than(told.updates, context.now_ms)
    return [fx.SendMessage(sender, MembersTold(newer))]


def _on_timer(state: MembershipState, context: Context, name: str) -> Effects:
    late = context.now_ms - state.due_ms.pop(name, context.now_ms) > LATE_MS
    match name:
        case "probe":
            return _on_probe(state, context, late=late)
        case "ack":
            return _ask_helpers(state)
        case "gossip":
            return _on_gossip(state, context)
        case "suspicion":
            return _on_suspicion(state, context, late=late)
        case "sync":
            send.subscribe(state, context, "sync", context.now_ms + SYNC_PERIOD_MS)
            return send.sync(state, context)
        case "settle":
            state.settled = True
        case "upkeep":
            _on_upkeep(state, context)
    return []


def _on_probe(state: MembershipState, context: Context, *, late: bool) -> Effects:
    # A late timer means that this process was slow: answers may lie unread in its socket, and
    # judging now would suspect members whose only fault is to have been probed from here.
    missed = state.probe is not None and not state.probe.answered and not late
    if state.probe is not None and missed:
        suspected = state.table.suspect(state.probe.target_id, context.now_ms)
        if suspected is not None:
            send.spread(state, context, suspected)
            send.subscribe_suspicion(state, context)
    out = _start_probe(state, context)
    for record in state.table.suspects()[:SUSPECT_CHECKS]:
        out.append(send.knock(state, record.update))
    out += send.contact_dead(state) + send.contact_someone(state)
    if not state.settled:
        out += send.sync(state, context)
    send.subscribe(state, context, "probe", context.now_ms + PROBE_PERIOD_MS)
    return out


def _start_probe(state: MembershipState, context: Context) -> Effects:
    state.probe = None
    target_id = state.order.next(state.alive(), state.self_id)
    target = state.find(target_id) if target_id else None
    if target is None:
        return []
    ping = send.ping(state, target)
    state.probe = Probe(state.sequence, target.member_id)
    send.subscribe(state, context, "ack", context.now_ms + ACK_TIMEOUT_MS)
    return [ping]


def _ask_helpers(state: MembershipState) -> Effects:
    probe = state.probe
    target = state.find(probe.target_id) if probe and not probe.answered else None
    if probe is None or target is None:
        return []
    out: Effects = []
    for helper in send.sample(state, HELPERS, but=probe.target_id):
        asked = PingRequest(
            probe.sequence,
            state.self_id,
            target.member_id,
            target.host,
            target.peer_port,
            send.news(state, send.held(state, target.member_id)),
        )
        out.append(fx.SendDatagram(helper.host, helper.peer_port, asked))
    return out


def _on_gossip(state: MembershipState, context: Context) -> Effects:
    out: Effects = [send.ping(state, member) for member in send.sample(state, 1)]
    send.subscribe_gossip(state, context)
    return out


def _on_suspicion(state: MembershipState, context: Context, *, late: bool) -> Effects:
    if late:
        state.table.restart_suspicions(context.now_ms)
    dead = state.table.declare_dead(context.now_ms)
    for update in dead:
        send.spread(state, context, update)
    send.subscribe_suspicion(state, context)
    if not dead:
        return []
    ids = [update.member_id for update in dead]
    return [fx.Log("warning", "members declared dead", {"member_ids": ids})]


def _on_upkeep(state: MembershipState, context: Context) -> None:
    send.subscribe(state, context, "upkeep", context.now_ms + UPKEEP_PERIOD_MS)
    for update in state.table.forget(context.now_ms):
        state.contacts.remember(address_of(update), context.now_ms)
    state.contacts.expire(context.now_ms)
    now_ms = context.now_ms
    state.relays = {n: relay for n, relay in state.relays.items() if relay.until_ms >= now_ms}


def _correction(state: MembershipState, datagram: Datagram) -> MemberUpdate | None:
    """Returns what is held of the sender if that is not what it says of itself."""
    record = state.table.record(datagram.sender_id)
    if record is None or record.update in datagram.updates[:1]:
        return None
    return record.update


def _backend_addresses(context: Context) -> set[str]:
    return {entry["address"] for entry in context.catalogue.backends().values()}
