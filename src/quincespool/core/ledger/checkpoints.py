"""Checkpoints of a ledger: statements of fact about a prefix, in parts, among the other records.

The log keeps records for a limited time only. Before they expire, the stream's committer writes the
fold's whole state again, so that claims, open programs and unresolved intents stay known.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from quincespool.core import commit
from quincespool.core.effects import Count
from quincespool.core.events import Started
from quincespool.core.events import TimerFired
from quincespool.core.placement import stream_members
from quincespool.core.timers import TimerKey

if TYPE_CHECKING:
    from quincespool.core.commit import CommitState
    from quincespool.core.context import Context
    from quincespool.core.effects import Effects
    from quincespool.core.events import Event
    from quincespool.core.ledger.followed import LedgerState
    from quincespool.core.ledger.stream_ledger import StreamLedger
    from quincespool.core.records import LedgerEntry
    from quincespool.settings import Settings

PART = "checkpoints"
LOOK_MS = 2_000

PART_BYTES = 150_000


def split_state(state: bytes) -> list[str]:
    """Returns a state's JSON in parts that fit a record each."""
    text = state.decode()
    return [text[start : start + PART_BYTES] for start in range(0, len(text), PART_BYTES)]


class CheckpointsState:
    """When this daemon last saw or wrote a checkpoint of each stream."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.known_as_of: dict[str, int] = {}
        self.known_ms: dict[str, int] = {}


def make_checkpoints(settings: Settings) -> CheckpointsState:
    """Returns the part's first state."""
    return CheckpointsState(settings)


def reduce(
    state: CheckpointsState,
    context: Context,
    event: Event,
    *,
    ledger: LedgerState,
    commits: CommitState,
) -> Effects:
    """Writes checkpoints of the streams whose committer this daemon is, when they are due."""
    match event:
        case Started():
            _subscribe(context)
            return []
        case TimerFired(part=part) if part == PART:
            _subscribe(context)
            return _look(state, context, ledger, commits)
        case _:
            return []


def _subscribe(context: Context) -> None:
    context.timers.subscribe(TimerKey(PART, "look"), at_ms=context.now_ms + LOOK_MS)


def _look(
    state: CheckpointsState, context: Context, ledger: LedgerState, commits: CommitState
) -> Effects:
    effects: Effects = []
    for stream, followed in ledger.streams.items():
        fold = followed.ledger
        if fold.checkpoint_as_of > state.known_as_of.get(stream, -1):
            state.known_as_of[stream] = fold.checkpoint_as_of
            state.known_ms[stream] = context.now_ms
        if not ledger.fresh(stream) or not _is_first(state, context, stream):
            continue
        if _due(state, context, stream, fold):
            effects += _write(state, context, commits, stream, fold)
    return effects


def _is_first(state: CheckpointsState, context: Context, stream: str) -> bool:
    """Any reader may state a fact, but one is enough."""
    shared = stream_members(stream, context.members.alive(), state.settings.stream_count)
    return bool(shared) and shared[0].member_id == context.members.self_id


def _due(state: CheckpointsState, context: Context, stream: str, fold: StreamLedger) -> bool:
    grown = fold.state.next_offset - state.known_as_of.get(stream, 0)
    if grown <= 0:
        return False
    if grown >= state.settings.checkpoint_records:
        return True
    age_ms = context.now_ms - state.known_ms.setdefault(stream, context.now_ms)
    return age_ms >= state.settings.checkpoint_every_ms


def _write(
    state: CheckpointsState,
    context: Context,
    commits: CommitState,
    stream: str,
    fold: StreamLedger,
) -> Effects:
    as_of = fold.state.next_offset
    state.known_as_of[stream] = as_of
    state.known_ms[stream] = context.now_ms
    parts = split_state(fold.to_json())
    effects: Effects = [Count("ledger_checkpoints_total")]
    for part, text in enumerate(parts):
        entry: LedgerEntry = {
            "kind": "checkpoint",
            "as_of": as_of,
            "part": part,
            "parts": len(parts),
            "state": text,
        }
        _, more = commit.submit(commits, context, stream=stream, entries=[entry])
        effects += more
    return effects
