"""The catalogue part: follows the operators' edits and brings them into force in this daemon.

It reads the log's `catalogue` stream from the start on. Where records have expired it goes on from
a checkpoint, where the log cannot be reached it asks its peers; it never goes back.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from quincespool.core.catalogue.check import check_entry
from quincespool.core.catalogue.checkpoint import load_state
from quincespool.core.catalogue.fold import NO_VERSION
from quincespool.core.catalogue.fold import CatalogueFold
from quincespool.core.catalogue.state import CatalogueState
from quincespool.core.catalogue.writer import STREAM
from quincespool.core.catalogue.writer import note_append_failed
from quincespool.core.catalogue.writer import note_completed
from quincespool.core.catalogue.writer import write_checkpoint
from quincespool.core.effects import Count
from quincespool.core.effects import FollowStream
from quincespool.core.effects import Log
from quincespool.core.effects import Observe
from quincespool.core.effects import Raise
from quincespool.core.effects import SendMessage
from quincespool.core.events import AppendFailed
from quincespool.core.events import CatalogueChanged
from quincespool.core.events import MembersChanged
from quincespool.core.events import MessageReceived
from quincespool.core.events import RecordsRead
from quincespool.core.events import Started
from quincespool.core.events import StreamExpired
from quincespool.core.events import StreamUnreachable
from quincespool.core.events import TimerFired
from quincespool.core.events import Woken
from quincespool.core.messages import CatalogueAsked
from quincespool.core.messages import CatalogueTold
from quincespool.core.timers import TimerKey
from quincespool.stable_hash import stable_hash

if TYPE_CHECKING:
    from quincespool.core.catalogue.fold import EditResult
    from quincespool.core.context import Context
    from quincespool.core.effects import Effects
    from quincespool.core.events import Event
    from quincespool.core.events import LogRecord
    from quincespool.settings import Settings

__all__ = ["CatalogueFold", "CatalogueState", "check_entry", "make_catalogue", "reduce"]

PART = "catalogue"
TICK_MS = 1_000
ASK_EVERY_MS = 2_000
PEERS_ASKED = 2
# How long a peer's catalogue waits for the log to say whether there is a newer one.
LOG_GRACE_MS = 3_000
NAMES_LOGGED = 10


def make_catalogue(settings: Settings, *, incarnation: int) -> CatalogueState:
    """Makes the part's state for a process that has just started."""
    del incarnation  # Checkpoints are facts: it does not matter which process wrote them.
    return CatalogueState(settings.member_id)


def reduce(state: CatalogueState, context: Context, event: Event) -> Effects:
    """Handles one event."""
    match event:
        case Started():
            _subscribe_tick(context)
            return [FollowStream(STREAM, state.next_offset)]
        case Woken():
            return [FollowStream(STREAM, state.next_offset)]
        case TimerFired(part=part) if part == PART:
            return _tick(state, context)
        case RecordsRead(stream=stream) if stream == STREAM:
            return _read(state, context, event)
        case StreamExpired(stream=stream) if stream == STREAM:
            return _expired(state, event.earliest_offset)
        case StreamUnreachable(stream=stream) if stream == STREAM:
            state.log_unreachable = True
            return []
        case AppendFailed(stream=stream) if stream == STREAM:
            note_append_failed(state, context, event)
            return []
        case MembersChanged() if not state.ready:
            return _ask_peers(state, context)
        case MessageReceived(sender=sender, message=CatalogueAsked() as message):
            return _answer_peer(state, sender, message)
        case MessageReceived(message=CatalogueTold() as message):
            return _told(state, context, message)
    return []


def _read(state: CatalogueState, context: Context, event: RecordsRead) -> Effects:
    state.log_unreachable = False
    effects: Effects = []
    names: set[str] = set()
    for record in event.records:
        if record.offset < state.next_offset:
            continue
        if record.offset > state.next_offset:
            # An answer to a read from before this part moved its place. Applying it would lose
            # the records between: this host alone would judge the next edits differently.
            return [*effects, *_changed(names), FollowStream(STREAM, state.next_offset)]
        names |= _take(state, context, record, effects)
    if state.gap is None and state.next_offset == event.next_offset == event.end_offset:
        state.last_end_read_ms = context.now_ms
        if not state.ready:
            names |= state.publish()
    effects += _changed(names)
    return effects + write_checkpoint(state, context) if state.write else effects


def _take(state: CatalogueState, context: Context, record: LogRecord, effects: Effects) -> set[str]:
    """Takes in the next record; returns the names that it changed for the other parts."""
    if state.gap is not None:
        state.gap.records.append(record)
    else:
        result = state.apply(record)
        if result is not None:
            effects += _report(result) if state.ready else []
            return set(result.names) if state.ready and _is_news(result) else set()

    keep_state = state.gap is not None
    completed = state.collector.add(record.offset, record.body, keep_state=keep_state)
    if completed is None:
        return set()
    effects += note_completed(state, context, completed)
    return state.bridge_gap(completed) or set()


def _expired(state: CatalogueState, earliest_offset: int) -> Effects:
    if earliest_offset <= state.next_offset:
        return [FollowStream(STREAM, state.next_offset)]
    fields: dict[str, object] = {"held": state.fold.next_offset, "earliest": earliest_offset}
    state.open_gap(earliest_offset)
    return [
        Log("warning", "catalogue records have expired unread; waiting for a checkpoint", fields),
        FollowStream(STREAM, earliest_offset),
    ]


def _tick(state: CatalogueState, context: Context) -> Effects:
    _subscribe_tick(context)
    effects: Effects = []
    if state.publish_at_ms is not None and context.now_ms >= state.publish_at_ms:
        effects += _publish(state)
    if state.needs_peers(context.now_ms):
        effects += _ask_peers(state, context)
    if state.last_end_read_ms is not None:
        effects.append(Observe("catalogue_lag_ms", state.lag_ms(context.now_ms)))
    return effects + write_checkpoint(state, context)


def _ask_peers(state: CatalogueState, context: Context) -> Effects:
    self_id = context.members.self_id
    peers = [m.member_id for m in context.members.alive() if m.member_id != self_id]
    early = state.asked_at_ms is not None and context.now_ms < state.asked_at_ms + ASK_EVERY_MS
    if not peers or early or state.publish_at_ms is not None:
        return []
    state.asked_at_ms = context.now_ms
    state.ask_round += 1
    # Each host starts elsewhere in the list and walks through it, so that a zone of newcomers
    # does not ask the same two, and a round to dead ones is not the last.
    first = stable_hash(self_id) + state.ask_round * PEERS_ASKED
    asked = {peers[(first + step) % len(peers)] for step in range(PEERS_ASKED)}
    # Behind a gap the newest version may be the same: what is missing then is the prefix.
    known_version = NO_VERSION if state.gap else state.version
    message = CatalogueAsked(known_version=known_version)
    return [SendMessage(peer, message) for peer in sorted(asked)]


def _answer_peer(state: CatalogueState, sender: str, message: CatalogueAsked) -> Effects:
    if not state.ready:
        return []
    if 0 <= state.version <= message.known_version:
        return []
    as_of, checkpoint = state.checkpoint()
    return [SendMessage(sender, CatalogueTold(next_offset=as_of, state=checkpoint))]


def _told(state: CatalogueState, context: Context, message: CatalogueTold) -> Effects:
    if not state.needs_peers(context.now_ms):
        return []
    effects: Effects = []
    if message.next_offset > state.fold.next_offset:
        fold = load_state(message.state, next_offset=message.next_offset)
        if fold is None:
            return [Log("warning", "a peer's catalogue cannot be read", {})]
        effects += _changed(state.replace(fold))
        effects.append(Count("catalogue_adopted_total"))
        effects.append(FollowStream(STREAM, state.next_offset))
    if state.ready:
        return effects
    # What is held now is at least as new as what is in force at the peer.
    if state.log_unreachable:
        return effects + _publish(state)
    if state.publish_at_ms is None:
        state.publish_at_ms = context.now_ms + LOG_GRACE_MS
    return effects


def _publish(state: CatalogueState) -> Effects:
    if state.ready:
        state.publish_at_ms = None
        return []
    return _changed(state.publish())


def _changed(names: set[str]) -> Effects:
    return [Raise(CatalogueChanged(tuple(sorted(names))))] if names else []


def _is_news(result: EditResult) -> bool:
    return result.accepted and not result.repeated


def _report(result: EditResult) -> Effects:
    verdict = "repeated" if result.repeated else "accepted" if result.accepted else "refused"
    fields: dict[str, object] = {
        "edit_id": result.edit_id,
        "editor": result.editor,
        "version": result.version,
        "names": list(result.names[:NAMES_LOGGED]),
        "faults": list(result.faults),
        "lost_to": [lost.name for lost in result.lost_to[:NAMES_LOGGED]],
    }
    return [
        Log("info", f"catalogue edit {verdict}", fields),
        Count("catalogue_edits_total", labels=(("verdict", verdict),)),
    ]


def _subscribe_tick(context: Context) -> None:
    context.timers.subscribe(TimerKey(PART, "tick"), at_ms=context.now_ms + TICK_MS)
