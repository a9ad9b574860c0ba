"""The streams a daemon follows, folded; and the claims in force by them.

A daemon follows the streams whose resources it shares by placement, and those in which it still
holds something. What it concludes from them is used only while it is fresh: a daemon that cannot
read the log, or stood still, may have been superseded without knowing it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from quincespool.core.effects import Count
from quincespool.core.effects import FollowStream
from quincespool.core.effects import Log
from quincespool.core.effects import Raise
from quincespool.core.effects import Stop
from quincespool.core.effects import UnfollowStream
from quincespool.core.events import LedgerAdvanced
from quincespool.core.events import MembersChanged
from quincespool.core.events import RecordsRead
from quincespool.core.events import Started
from quincespool.core.events import StreamExpired
from quincespool.core.events import Woken
from quincespool.core.ledger.checkpoint_reader import CheckpointReader
from quincespool.core.ledger.followed import NEVER_MS
from quincespool.core.ledger.followed import Followed
from quincespool.core.ledger.followed import LedgerState
from quincespool.core.placement import shared_streams

if TYPE_CHECKING:
    from quincespool.core.context import Context
    from quincespool.core.effects import Effects
    from quincespool.core.events import Event
    from quincespool.core.ledger.stream_ledger import StreamLedger
    from quincespool.settings import Settings


def make_ledger(settings: Settings, *, member_id: str, incarnation: int) -> LedgerState:
    """Returns the part's first state."""
    return LedgerState(settings=settings, member_id=member_id, incarnation=incarnation)


def reduce(
    state: LedgerState, context: Context, event: Event, *, in_use: frozenset[str]
) -> Effects:
    """Follows streams, folds what is read.

    `in_use` names the streams that this daemon waits to read groups of its own back from.
    """
    match event:
        case RecordsRead(stream=stream) if stream in state.streams:
            return _on_records(state, context, event)
        case StreamExpired(stream=stream) if stream in state.streams:
            return _on_expired(state, event)
        case Started() | MembersChanged():
            return _choose_streams(state, context, in_use)
        case Woken():
            return _read_again(state)
        case _:
            return []


def dump(state: LedgerState) -> dict[str, object]:
    """Returns the followed streams."""
    return {
        name: {
            "next_offset": followed.ledger.state.next_offset,
            "fresh": state.fresh(name),
            "complete": followed.complete,
            "claims": len(followed.ledger.state.claims),
            "programs": len(followed.ledger.state.programs),
        }
        for name, followed in sorted(state.streams.items())
    }


def _choose_streams(state: LedgerState, context: Context, in_use: frozenset[str]) -> Effects:
    members = context.members.alive()
    wanted = set(shared_streams(state.member_id, members, state.settings.stream_count))
    wanted |= {state.stream_of(resource) for resource in state.held()}
    wanted |= in_use
    effects: Effects = []
    for stream in sorted(wanted - state.streams.keys()):
        state.streams[stream] = Followed(partition_count=state.settings.partition_count)
        effects.append(FollowStream(stream, 0))
    for stream in sorted(state.streams.keys() - wanted):
        del state.streams[stream]
        effects.append(UnfollowStream(stream))
    return effects


def _on_records(state: LedgerState, context: Context, event: RecordsRead) -> Effects:
    followed = state.streams[event.stream]
    if not followed.complete:
        return _on_incomplete(state, followed, event)
    ledger = followed.ledger
    resources: set[str] = set()
    programs: set[str] = set()
    void = 0
    for record in event.records:
        if record.offset != ledger.state.next_offset:
            continue
        applied = ledger.apply(record.offset, record.body)
        resources |= applied.resources
        programs |= applied.programs
        void += applied.void
    at_end = ledger.state.next_offset >= event.end_offset
    if at_end:
        followed.read_to_end_ms = context.now_ms
    if ledger.superseded(state.member_id, state.incarnation):
        return [
            Log("error", "a newer process uses this member_id", {"member_id": state.member_id}),
            Stop(),
        ]
    advanced = LedgerAdvanced(
        stream=event.stream,
        next_offset=ledger.state.next_offset,
        at_end=at_end,
        last_sequence=ledger.last_sequence(state.member_id, state.incarnation),
        resources=tuple(sorted(resources)),
        programs=tuple(sorted(programs)),
    )
    effects: Effects = [Raise(advanced)]
    if void:
        effects.append(Count("ledger_void_entries_total", void))
    return effects


def _on_expired(state: LedgerState, event: StreamExpired) -> Effects:
    """The beginning is gone: a checkpoint among the records left must stand for it."""
    followed = state.streams[event.stream]
    followed.read_to_end_ms = NEVER_MS
    followed.checkpoint = CheckpointReader(earliest_offset=event.earliest_offset)
    return [FollowStream(event.stream, event.earliest_offset)]


def _on_incomplete(state: LedgerState, followed: Followed, event: RecordsRead) -> Effects:
    reader = followed.checkpoint
    if reader is None:
        return []
    for record in event.records:
        found = reader.take(record.offset, record.body)
        if found is None:
            continue
        try:
            followed.ledger.load_json(found.state)
        except msgspec.MsgspecError:
            continue
        followed.checkpoint = None
        followed.ledger.checkpoint_as_of = found.as_of
        return [
            Log("info", "ledger taken from a checkpoint", {"stream": event.stream}),
            FollowStream(event.stream, found.as_of),
            Raise(_everything(state, event.stream, followed.ledger)),
        ]
    return []


def _everything(state: LedgerState, stream: str, ledger: StreamLedger) -> LedgerAdvanced:
    """A jump over expired records: any claim or program may have changed in them."""
    return LedgerAdvanced(
        stream=stream,
        next_offset=ledger.state.next_offset,
        at_end=False,
        last_sequence=ledger.last_sequence(state.member_id, state.incarnation),
        resources=tuple(sorted(ledger.state.claims)),
        programs=tuple(sorted(ledger.state.programs)),
    )


def _read_again(state: LedgerState) -> Effects:
    """After a standstill, answers already on their way say nothing of the present: ask anew."""
    effects: Effects = []
    for stream, followed in sorted(state.streams.items()):
        followed.read_to_end_ms = NEVER_MS
        from_offset = followed.ledger.state.next_offset
        if followed.checkpoint is not None:
            from_offset = followed.checkpoint.next_offset
        effects.append(FollowStream(stream, from_offset))
    return effects
