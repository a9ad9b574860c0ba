"""Group commit: hands entries to the log, through the stream's committer, until they are read back.

Every daemon numbers its groups for each stream (`sequence`) and keeps a group until its own ledger
has applied it. Groups go to the stream's committer, which appends what it has gathered from all
daemons as one record; so appends a second depend on the number of streams and not on the number of
daemons or requests. The committer is soft state: if it is away, slow or wrong, each daemon appends
for itself, and the ledger drops what comes twice.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING
from typing import NamedTuple

import msgspec

from quincespool.core.effects import AppendRecord
from quincespool.core.effects import Count
from quincespool.core.effects import Log
from quincespool.core.effects import SendMessage
from quincespool.core.events import AppendDone
from quincespool.core.events import AppendFailed
from quincespool.core.events import LedgerAdvanced
from quincespool.core.events import LinkDown
from quincespool.core.events import MessageReceived
from quincespool.core.events import TimerFired
from quincespool.core.messages import CommitGroup
from quincespool.core.messages import CommitRefused
from quincespool.core.placement import stream_members
from quincespool.core.timers import TimerKey

if TYPE_CHECKING:
    from quincespool.core.context import Context
    from quincespool.core.effects import Effects
    from quincespool.core.events import Event
    from quincespool.core.records import Group
    from quincespool.core.records import LedgerEntry
    from quincespool.settings import Settings

PART = "commit"
RESEND_MS = 1_000
"""A group not read back within this time is appended by its writer itself."""
BURST_APPENDS = 8
"""A stream that was quiet may be appended to this often without waiting for its interval."""
MAX_RESEND_DOUBLINGS = 3
RETRY_MS = 200
MAX_BATCH_BYTES = 512_000
MAX_GATHERED_GROUPS = 5_000


class _Pending(NamedTuple):
    sequence: int
    group: bytes


class _StreamCommit:
    """What is on its way to one stream."""

    def __init__(self) -> None:
        self.next_sequence = 1
        self.unapplied: deque[_Pending] = deque()
        self.gathered: list[bytes] = []
        self.append_id = 0
        self.in_flight: list[bytes] = []
        self.next_append_ms = 0
        self.paid_until_ms = 0
        """Each append uses up one interval; it may run ahead of the clock by `BURST_APPENDS`."""
        self.own_until_ms = 0
        self.resends = 0


class CommitState:
    """All streams' commits of one daemon."""

    def __init__(self, *, settings: Settings, member_id: str, incarnation: int) -> None:
        self.settings = settings
        self.member_id = member_id
        self.incarnation = incarnation
        self.streams: dict[str, _StreamCommit] = {}
        self.append_ids = 0
        self.interval_ms = 1000 * settings.stream_count // max(1, settings.log_appends_per_s)

    def unapplied(self) -> int:
        """Returns how many groups of this daemon have not been read back yet."""
        return sum(len(stream.unapplied) for stream in self.streams.values())

    def streams_in_use(self) -> frozenset[str]:
        """Returns the streams with groups of this daemon that have not been read back."""
        return frozenset(name for name, stream in self.streams.items() if stream.unapplied)

    def stream(self, name: str) -> _StreamCommit:
        """Returns the commit state of a stream."""
        return self.streams.setdefault(name, _StreamCommit())


def make_commit(settings: Settings, *, member_id: str, incarnation: int) -> CommitState:
    """Returns the part's first state."""
    return CommitState(settings=settings, member_id=member_id, incarnation=incarnation)


def submit(
    state: CommitState, context: Context, *, stream: str, entries: list[LedgerEntry]
) -> tuple[int, Effects]:
    """Sends entries on their way; they take effect as one.

    Returns:
      The group's sequence number, to be compared with the ledger's `last_sequence`, and effects.
    """
    commit = state.stream(stream)
    sequence = commit.next_sequence
    commit.next_sequence += 1
    group: Group = {
        "writer": state.member_id,
        "incarnation": state.incarnation,
        "sequence": sequence,
        "entries": entries,
    }
    pending = _Pending(sequence, msgspec.json.encode(group))
    commit.unapplied.append(pending)
    effects = _hand_over(state, context, stream, pending)
    if len(commit.unapplied) == 1:
        # Only for the first one that waits: moved by each that follows, the timer would never come,
        # and a group lost on its way would hold up all of them for good.
        _subscribe(context, "resend", stream, context.now_ms + RESEND_MS)
    return sequence, effects


def reduce(state: CommitState, context: Context, event: Event) -> Effects:
    """Handles appends' answers, other daemons' groups, read-back and timers."""
    match event:
        case MessageReceived(sender, CommitGroup() as message):
            return _gather(state, context, sender, message)
        case MessageReceived(_, CommitRefused() as message):
            return _resend(state, context, message.stream)
        case AppendDone() | AppendFailed():
            return _on_append(state, context, event)
        case LedgerAdvanced():
            return _on_advance(state, context, event)
        case LinkDown():
            return _on_link_down(state, context, event.member_id)
        case TimerFired(part=part) if part == PART:
            return _on_timer(state, context, event)
        case _:
            return []


def dump(state: CommitState) -> dict[str, object]:
    """Returns what is on its way, by stream."""
    return {
        name: {
            "unapplied_groups": len(stream.unapplied),
            "gathered_groups": len(stream.gathered),
            "append_in_flight": bool(stream.in_flight),
        }
        for name, stream in state.streams.items()
    }


def _hand_over(state: CommitState, context: Context, stream: str, pending: _Pending) -> Effects:
    committer = _committer(state, context, stream)
    if committer == state.member_id:
        commit = state.stream(stream)
        commit.gathered.append(pending.group)
        return _append(state, context, stream)
    message = CommitGroup(ticket=pending.sequence, stream=stream, group=pending.group)
    return [SendMessage(committer, message)]


def _committer(state: CommitState, context: Context, stream: str) -> str:
    if context.now_ms < state.stream(stream).own_until_ms:
        return state.member_id
    ranked = stream_members(stream, context.members.alive(), state.settings.stream_count)
    return ranked[0].member_id if ranked else state.member_id


def _gather(state: CommitState, context: Context, sender: str, message: CommitGroup) -> Effects:
    commit = state.stream(message.stream)
    if message.group in commit.gathered or message.group in commit.in_flight:
        return []
    if len(commit.gathered) >= MAX_GATHERED_GROUPS:
        return [SendMessage(sender, CommitRefused(ticket=message.ticket, stream=message.stream))]
    commit.gathered.append(message.group)
    return _append(state, context, message.stream)


def _append(state: CommitState, context: Context, stream: str) -> Effects:
    """Appends what is gathered, unless an append is in flight or the last one is too recent."""
    commit = state.stream(stream)
    if commit.in_flight or not commit.gathered:
        return []
    if context.now_ms < commit.next_append_ms:
        _subscribe(context, "append", stream, commit.next_append_ms)
        return []
    size = 0
    while commit.gathered and (not commit.in_flight or size < MAX_BATCH_BYTES):
        group = commit.gathered.pop(0)
        size += len(group)
        commit.in_flight.append(group)
    state.append_ids += 1
    commit.append_id = state.append_ids
    commit.paid_until_ms = max(context.now_ms, commit.paid_until_ms) + state.interval_ms
    commit.next_append_ms = commit.paid_until_ms - BURST_APPENDS * state.interval_ms
    body = b'{"groups":[' + b",".join(commit.in_flight) + b"]}"
    return [
        AppendRecord(stream=stream, append_id=commit.append_id, body=body),
        Count("commit_appends_total"),
        Count("commit_groups_total", len(commit.in_flight)),
    ]


def _on_append(state: CommitState, context: Context, event: AppendDone | AppendFailed) -> Effects:
    commit = state.streams.get(event.stream)
    if commit is None or commit.append_id != event.append_id:
        return []
    groups, commit.in_flight = commit.in_flight, []
    if isinstance(event, AppendDone):
        return _append(state, context, event.stream)
    # Whether or not it was written, appending the same groups again is harmless: the ledger lets
    # each sequence number count once. Dropping them would lose what a caller waits for.
    commit.gathered = groups + commit.gathered
    commit.next_append_ms = context.now_ms + max(RETRY_MS, event.retry_after_ms)
    _subscribe(context, "append", event.stream, commit.next_append_ms)
    return [
        Count("commit_append_failed_total"),
        Log(
            "warning",
            "append failed",
            {
                "stream": event.stream,
                "detail": event.detail,
                "may_have_written": event.may_have_written,
            },
        ),
    ]


def _on_advance(state: CommitState, context: Context, event: LedgerAdvanced) -> Effects:
    commit = state.streams.get(event.stream)
    if commit is None:
        return []
    while commit.unapplied and commit.unapplied[0].sequence <= event.last_sequence:
        commit.unapplied.popleft()
        commit.resends = 0
    if not commit.unapplied:
        context.timers.cancel(TimerKey(PART, "resend", event.stream))
    return []


def _on_link_down(state: CommitState, context: Context, member_id: str) -> Effects:
    effects: Effects = []
    for stream, commit in state.streams.items():
        if commit.unapplied and _committer(state, context, stream) == member_id:
            effects += _resend(state, context, stream)
    return effects


def _on_timer(state: CommitState, context: Context, event: TimerFired) -> Effects:
    if event.name == "append":
        return _append(state, context, event.argument)
    return _resend(state, context, event.argument)


def _resend(state: CommitState, context: Context, stream: str) -> Effects:
    """Appends everything not read back yet, in order.

    A group lost on its way makes the ledger void all later ones of this writer (its sequence has a
    gap), so that only sending all of them again lets any of them count.
    """
    commit = state.stream(stream)
    if not commit.unapplied:
        return []
    commit.own_until_ms = context.now_ms + 5 * RESEND_MS
    # A log that takes longer than the wait would else be given more appends the slower it gets: one
    # of each writer, every second.
    wait_ms = RESEND_MS << min(commit.resends, MAX_RESEND_DOUBLINGS)
    commit.resends += 1
    _subscribe(context, "resend", stream, context.now_ms + wait_ms)
    own = {pending.group for pending in commit.unapplied}
    foreign = [group for group in commit.gathered if group not in own]
    in_flight = set(commit.in_flight)
    commit.gathered = [p.group for p in commit.unapplied if p.group not in in_flight] + foreign
    return [Count("commit_resends_total"), *_append(state, context, stream)]


def _subscribe(context: Context, name: str, stream: str, at_ms: int) -> None:
    context.timers.subscribe(TimerKey(PART, name, stream), at_ms=at_ms)
