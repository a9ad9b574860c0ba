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
from quincespool.core.ledger.checkpoints import CheckpointReader
from quincespool.core.ledger.stream_ledger import StreamLedger
from quincespool.core.placement import partition_of
from quincespool.core.placement import shared_streams
from quincespool.core.placement import stream_of

if TYPE_CHECKING:
    from quincespool.core.context import Context
    from quincespool.core.effects import Effects
    from quincespool.core.events import Event
    from quincespool.core.ledger.program_record import ProgramRecord
    from quincespool.core.ledger.state import ClaimState
    from quincespool.settings import Settings

NEVER_MS = -(10**12)


class _Followed:
    """One followed stream."""

    def __init__(self, *, partition_count: int) -> None:
        self.ledger = StreamLedger(partition_count=partition_count)
        self.read_to_end_ms = NEVER_MS
        self.checkpoint: CheckpointReader | None = None

    @property
    def complete(self) -> bool:
        """Whether the fold covers the stream from its beginning, if only by a checkpoint."""
        return self.checkpoint is None


class LedgerState:
    """The followed streams; also the `ClaimsView` of this daemon."""

    def __init__(self, *, settings: Settings, member_id: str, incarnation: int) -> None:
        self.settings = settings
        self.member_id = member_id
        self.incarnation = incarnation
        self.streams: dict[str, _Followed] = {}
        self.now_ms = 0

    def fresh(self, stream: str) -> bool:
        """Whether a stream was read to its end a short while ago."""
        followed = self.streams.get(stream)
        if followed is None or not followed.complete:
            return False
        return self.now_ms - followed.read_to_end_ms <= self.settings.stale_after_ms

    def stream_of(self, resource: str) -> str:
        """Returns the stream that a resource is claimed in."""
        return stream_of(resource, self.settings.stream_count)

    def claim(self, resource: str) -> ClaimState | None:
        """Returns the claim in force by this daemon's fold, fresh or not."""
        followed = self.streams.get(self.stream_of(resource))
        return followed.ledger.claim(resource) if followed else None

    def epoch_held(self, resource: str) -> int | None:
        """Returns the epoch if this incarnation holds the resource by a fresh ledger."""
        epoch = self.epoch_believed(resource)
        return epoch if self.fresh(self.stream_of(resource)) else None

    def epoch_believed(self, resource: str) -> int | None:
        """Returns the epoch under which this incarnation holds the resource, fresh or not."""
        claim = self.claim(resource)
        if claim is None or claim.holder != self.member_id:
            return None
        return claim.epoch if claim.incarnation == self.incarnation else None

    def holder(self, resource: str) -> str | None:
        """Returns who holds a resource by this daemon's fold, None if free or not followed."""
        claim = self.claim(resource)
        return claim.holder or None if claim else None

    def held(self) -> list[str]:
        """Returns all resources this incarnation holds, by its fold."""
        return [
            resource
            for followed in self.streams.values()
            for resource, claim in followed.ledger.state.claims.items()
            if claim.holder == self.member_id and claim.incarnation == self.incarnation
        ]

    def partition(self, program_id: str) -> str:
        """Returns the partition of a program."""
        return partition_of(program_id, self.settings.partition_count)

    def stream_ledger(self, resource: str) -> StreamLedger | None:
        """Returns the fold of the stream that a resource belongs to, if followed."""
        followed = self.streams.get(self.stream_of(resource))
        return followed.ledger if followed else None

    def program(self, program_id: str) -> ProgramRecord | None:
        """Returns what the log says of a program, None also if its stream is not followed."""
        ledger = self.stream_ledger(self.partition(program_id))
        return ledger.program(program_id) if ledger else None

    def last_sequence(self, stream: str) -> int:
        """Returns this daemon's last group that counts in a stream."""
        followed = self.streams.get(stream)
        if followed is None:
            return 0
        return followed.ledger.last_sequence(self.member_id, self.incarnation)


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
        state.streams[stream] = _Followed(partition_count=state.settings.partition_count)
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


def _on_incomplete(state: LedgerState, followed: _Followed, event: RecordsRead) -> Effects:
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
