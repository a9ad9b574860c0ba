"""The quarantine: stops requests that crash backend servers, whoever sends them.

The log decides (`quincespool.core.quarantine.log`); what daemons tell one another by `CrashSeen`
counts at once, until the log has it. A fingerprint with one crash is a suspect: it runs on one
backend server at a time and next to no other suspect. With two it is blocked for good.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple
from typing import Protocol

import msgspec

from quincespool.core.effects import Count
from quincespool.core.effects import FollowStream
from quincespool.core.effects import Log
from quincespool.core.effects import SendMessage
from quincespool.core.events import AppendDone
from quincespool.core.events import AppendFailed
from quincespool.core.events import MessageReceived
from quincespool.core.events import RecordsRead
from quincespool.core.events import Started
from quincespool.core.events import StreamExpired
from quincespool.core.events import TimerFired
from quincespool.core.messages import CrashSeen
from quincespool.core.quarantine.log import BLOCKED_CRASHES
from quincespool.core.quarantine.log import ClearedRecord
from quincespool.core.quarantine.log import CrashRecord
from quincespool.core.quarantine.log import QuarantineLog
from quincespool.core.quarantine.outbox import PART
from quincespool.core.quarantine.outbox import QUARANTINE_STREAM
from quincespool.core.quarantine.outbox import RETRY
from quincespool.core.quarantine.outbox import Outbox
from quincespool.core.timers import TimerKey
from quincespool.stable_hash import stable_hash

if TYPE_CHECKING:
    from collections.abc import Sequence

    from quincespool.core.context import Context
    from quincespool.core.effects import Effects
    from quincespool.core.events import Event
    from quincespool.core.quarantine.log import QuarantineRecord
    from quincespool.settings import Settings

CHECKPOINT = TimerKey(part=PART, name="checkpoint")

# Reports of one backend server within this time are of one crash; a trial there waits for longer,
# so that two crashes are never taken for one.
SAME_CRASH_MS = 5000
TRIAL_REST_MS = 6000
MAX_NOTED = 2000

CHECKPOINT_CHECK_MS = 60_000
CHECKPOINT_RECORDS = 1000
CHECKPOINT_AGE_MS = 3_600_000
CHECKPOINT_TURN_MS = 300_000


class QuarantineView(Protocol):
    """What the keeper may ask the quarantine."""

    @property
    def ready(self) -> bool:
        """Whether the stream has been read to its end once."""

    def blocked(self, fingerprint: str) -> bool:
        """Whether a request is stopped for good."""

    def suspect(self, fingerprint: str) -> bool:
        """Whether a request has crashed a backend server and not been cleared since."""

    def may_try(self, fingerprint: str, backend: str, *, now_ms: int) -> bool:
        """Whether a backend server has rested long enough from a suspect."""


class NotedCrash(NamedTuple):
    """What this daemon knows of a fingerprint and a backend server, the log aside.

    `learnt_ms` is by this daemon's clock; `written` says whether this daemon has recorded it.
    """

    crash_number: int
    learnt_ms: int
    written: bool


class QuarantineState:
    """State of the quarantine part.

    Attributes:
      ready: Whether the stream has been read to its end once.
      log: What the log says.
      noted: Crashes heard of, by fingerprint and backend server.
      clearing: Suspects whose `ClearedRecord` has not been read back.
      checkpoint_as_of: Of the newest checkpoint in the log.
      checkpoint_read_ms: When that was read.
      outbox: Records to append.
    """

    def __init__(self, settings: Settings, *, incarnation: int) -> None:
        self.settings = settings
        self.incarnation = incarnation
        self.ready = False
        self.log = QuarantineLog()
        self.noted: dict[str, dict[str, NotedCrash]] = {}
        self.outbox = Outbox()
        self.clearing: set[str] = set()
        self.checkpoint_as_of = 0
        self.checkpoint_read_ms = 0

    def crashes(self, fingerprint: str) -> int:
        """Returns how many crashes are held against a request."""
        recorded = self.log.blocked.get(fingerprint) or self.log.suspects.get(fingerprint, {})
        backends = {*recorded, *self.noted.get(fingerprint, {})}
        return sum(self.crash_number(fingerprint, backend) for backend in backends)

    def crash_number(self, fingerprint: str, backend: str) -> int:
        """Returns how many of them were of one backend server."""
        noted = self.noted.get(fingerprint, {}).get(backend)
        recorded = self.log.crash_number(fingerprint, backend)
        return max(recorded, noted.crash_number if noted else 0)

    def blocked(self, fingerprint: str) -> bool:
        """Whether a request is stopped for good."""
        return self.crashes(fingerprint) >= BLOCKED_CRASHES

    def suspect(self, fingerprint: str) -> bool:
        """Whether a request has crashed a backend server and not been cleared since."""
        return 0 < self.crashes(fingerprint) < BLOCKED_CRASHES

    def may_try(self, fingerprint: str, backend: str, *, now_ms: int) -> bool:
        """Whether a backend server has rested long enough from a suspect."""
        noted = self.noted.get(fingerprint, {}).get(backend)
        return noted is None or now_ms - noted.learnt_ms >= TRIAL_REST_MS

    def trial_backend(self, fingerprint: str, backends: Sequence[str]) -> str:
        """Returns where a suspect is tried; `backends` is not empty.

        All owners get the same name from the same list, so the same content under several programs
        meets at one keeper, which runs one suspect at a time. A backend server that has not crashed
        with it goes first.
        """
        return min(
            backends,
            key=lambda name: (
                self.crash_number(fingerprint, name),
                stable_hash(f"{fingerprint}|{name}"),
            ),
        )

    def note_crash(
        self,
        context: Context,
        *,
        fingerprint: str,
        backend: str,
        program_id: str,
        call_number: int,
        class_name: str,
    ) -> Effects:
        """Counts a crash of which this owner has been told, tells all members and records it."""
        number = _number_of_crash(self, context, fingerprint, backend)
        noted = self.noted.get(fingerprint, {}).get(backend)
        if noted is not None and noted.written and noted.crash_number == number:
            return []
        _note(self, context, fingerprint, backend, crash_number=number, written=True)
        record = CrashRecord(
            fingerprint=fingerprint,
            backend=backend,
            crash_number=number,
            program_id=program_id,
            call_number=call_number,
            member_id=context.members.self_id,
            class_name=class_name,
            at_ms=context.now_ms,
        )
        seen = CrashSeen(fingerprint, backend, program_id, call_number)
        detail = {**msgspec.to_builtins(record), "blocked": self.blocked(fingerprint)}
        return [
            Log("warning", "a backend server crashed with a request", detail),
            Count("quarantine_crashes_total"),
            *(SendMessage(member.member_id, seen) for member in context.members.alive()),
            *self.outbox.append(record),
        ]

    def note_completed(
        self,
        context: Context,
        *,
        fingerprint: str,
        program_id: str,
        call_number: int,
    ) -> Effects:
        """Clears a suspect that has run to its end; does nothing for any other request."""
        if not self.suspect(fingerprint) or fingerprint in self.clearing:
            return []
        self.clearing.add(fingerprint)
        record = ClearedRecord(
            fingerprint=fingerprint,
            read_to=self.log.next_offset,
            program_id=program_id,
            call_number=call_number,
            member_id=context.members.self_id,
            at_ms=context.now_ms,
        )
        return [Count("quarantine_cleared_total"), *self.outbox.append(record)]

    def dump(self) -> dict[str, object]:
        """Returns the state for operators."""
        return {
            "ready": self.ready,
            "complete": self.log.complete,
            "next_offset": self.log.next_offset,
            "checkpoint_as_of": self.checkpoint_as_of,
            "suspects": msgspec.to_builtins(self.log.suspects),
            "blocked": msgspec.to_builtins(self.log.blocked),
            "noted": sorted(self.noted),
            "records_waiting": len(self.outbox),
        }


def make_quarantine(settings: Settings, *, incarnation: int) -> QuarantineState:
    """Returns the state of a daemon that has read nothing yet."""
    return QuarantineState(settings, incarnation=incarnation)


def reduce(state: QuarantineState, context: Context, event: Event) -> Effects:
    """Handles one event."""
    match event:
        case Started():
            state.checkpoint_read_ms = context.now_ms
            context.timers.subscribe(CHECKPOINT, at_ms=context.now_ms + CHECKPOINT_CHECK_MS)
            return [FollowStream(QUARANTINE_STREAM, 0)]
        case RecordsRead(stream=stream) if stream == QUARANTINE_STREAM:
            return _take_records(state, context, event)
        case StreamExpired(stream=stream) if stream == QUARANTINE_STREAM:
            state.log.restart(event.earliest_offset)
            return [FollowStream(QUARANTINE_STREAM, event.earliest_offset)]
        case AppendDone(stream=stream) if stream == QUARANTINE_STREAM:
            return state.outbox.take_done(event)
        case AppendFailed(stream=stream) if stream == QUARANTINE_STREAM:
            return state.outbox.take_failed(context, event)
        case MessageReceived(message=CrashSeen() as seen):
            _note(state, context, seen.fingerprint, seen.backend, crash_number=1)
            return []
        case TimerFired(part=RETRY.part, name=RETRY.name):
            return state.outbox.send_first()
        case TimerFired(part=CHECKPOINT.part, name=CHECKPOINT.name):
            context.timers.subscribe(CHECKPOINT, at_ms=context.now_ms + CHECKPOINT_CHECK_MS)
            return _checkpoint_if_due(state, context)
        case _:
            return []


def write_checkpoint(state: QuarantineState) -> Effects:
    """Records what the log amounts to, so that it outlives the records it came from."""
    if state.outbox.holds_checkpoint or not state.log.complete or not state.ready:
        return []
    return state.outbox.append(state.log.checkpoint())


def _number_of_crash(
    state: QuarantineState, context: Context, fingerprint: str, backend: str
) -> int:
    """Tells a further crash of a backend server from one more report of the same.

    When a backend server crashes, every owner with a copy of the request on it reports. Counted
    apiece, an innocent request with two copies there would be blocked by one crash of another's
    making. Compared are only moments at which this daemon learnt, by its own clock.
    """
    known = state.crash_number(fingerprint, backend)
    noted = state.noted.get(fingerprint, {}).get(backend)
    if noted is not None and context.now_ms - noted.learnt_ms <= SAME_CRASH_MS:
        return known
    return known + 1


def _note(
    state: QuarantineState,
    context: Context,
    fingerprint: str,
    backend: str,
    *,
    crash_number: int,
    written: bool = False,
) -> None:
    noted = state.noted.setdefault(fingerprint, {})
    known = state.crash_number(fingerprint, backend)
    before = noted.get(backend)
    if before is None or crash_number > known:
        noted[backend] = NotedCrash(max(crash_number, known), context.now_ms, written)
    else:
        noted[backend] = before._replace(written=before.written or written)
    while len(state.noted) > MAX_NOTED:
        del state.noted[next(iter(state.noted))]


def _take_records(state: QuarantineState, context: Context, event: RecordsRead) -> Effects:
    effects: Effects = []
    for offset, body in event.records:
        record = state.log.apply(offset, body)
        if record is None:
            fields: dict[str, object] = {"stream": event.stream, "offset": offset}
            effects.append(Log("error", "malformed record", fields))
        else:
            _follow_record(state, context, record)
    if event.next_offset < event.end_offset:
        return effects
    # Nothing more is left of the expired records, so waiting for a checkpoint would be for good.
    state.log.settle()
    state.ready = True
    return effects + _checkpoint_if_due(state, context)


def _follow_record(state: QuarantineState, context: Context, record: QuarantineRecord) -> None:
    if isinstance(record, CrashRecord):
        number = record.crash_number
        _note(state, context, record.fingerprint, record.backend, crash_number=number)
    elif isinstance(record, ClearedRecord):
        state.noted.pop(record.fingerprint, None)
        state.clearing.discard(record.fingerprint)
    else:
        state.checkpoint_as_of = max(state.checkpoint_as_of, record.as_of)
        state.checkpoint_read_ms = context.now_ms


def _checkpoint_if_due(state: QuarantineState, context: Context) -> Effects:
    """Writes a checkpoint if it is this daemon's turn: the first by id, the next if it does not."""
    alive = [member.member_id for member in context.members.alive()]
    turn = alive.index(context.members.self_id) if context.members.self_id in alive else len(alive)
    moved = state.log.next_offset - state.checkpoint_as_of
    if moved >= CHECKPOINT_RECORDS * (1 + turn):
        return write_checkpoint(state)
    age_ms = context.now_ms - state.checkpoint_read_ms
    known = bool(state.log.suspects or state.log.blocked)
    # Few records come in, but they expire all the same: without this, what is blocked for good
    # would be forgotten with them.
    if known and age_ms >= CHECKPOINT_AGE_MS + CHECKPOINT_TURN_MS * turn:
        return write_checkpoint(state)
    return []
