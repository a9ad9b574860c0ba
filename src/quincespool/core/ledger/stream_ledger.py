"""The fold of one `programs-N` stream: which claims, groups and entries count.

A deterministic state machine over a prefix of the stream. Every daemon that applies the same
prefix holds the same state, so a daemon needs nobody's word for what is in force: log order is the
arbiter.
"""

from __future__ import annotations

import bisect
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

import msgspec

from quincespool.core.ledger.program_record import OpenIntent
from quincespool.core.ledger.program_record import ProgramRecord
from quincespool.core.ledger.program_record import Step
from quincespool.core.ledger.program_record import next_chain
from quincespool.core.ledger.record_reader import convert_entry
from quincespool.core.ledger.record_reader import decode_groups
from quincespool.core.ledger.record_reader import stored_answer_of
from quincespool.core.ledger.state import ClaimState
from quincespool.core.ledger.state import StreamState
from quincespool.core.ledger.state import WriterState
from quincespool.core.placement import BACKEND_PREFIX
from quincespool.core.placement import PARTITION_PREFIX
from quincespool.core.placement import partition_of
from quincespool.verdict import Verdict

if TYPE_CHECKING:
    from collections.abc import Callable

    from quincespool.core.ledger.record_reader import RawGroup
    from quincespool.core.records import Checkpoint
    from quincespool.core.records import Claim
    from quincespool.core.records import Ended
    from quincespool.core.records import Intent
    from quincespool.core.records import Opened
    from quincespool.core.records import Outcome
    from quincespool.core.records import Slice
    from quincespool.core.records import Yield

FORGET_ENDED_MS = 3_600_000
"""Ended programs are remembered this long by the stream's own clock, to answer late repeats."""

KEPT_ENDED = 5_000
"""So many of the last ones are remembered in any case: for days, at the sizes of today.

A repeat that comes after its program has been forgotten opens a new one, and its order runs again.
"""

NO_EPOCH = -1


class Applied(NamedTuple):
    """What one record changed."""

    resources: frozenset[str]
    programs: frozenset[str]
    void: int


class StreamLedger:
    """Applies the records of one stream in order."""

    def __init__(self, *, partition_count: int) -> None:
        self.state = StreamState()
        self.checkpoint_as_of = 0
        """`as_of` of the newest checkpoint seen whole; not part of the state it states."""
        self._partition_count = partition_count
        self._open_roots: dict[str, dict[str, None]] = {}
        self._resources: set[str] = set()
        self._programs: set[str] = set()

    def apply(self, offset: int, body: bytes) -> Applied:
        """Applies the record at `offset`. A malformed record counts for nothing."""
        self._resources.clear()
        self._programs.clear()
        void = 0
        for group in decode_groups(body):
            if not self._take_turn(group):
                void += len(group.entries)
                continue
            for entry in group.entries:
                if not self._apply_entry(offset, group, entry):
                    void += 1
        self.state.next_offset = offset + 1
        self._forget_old()
        return Applied(frozenset(self._resources), frozenset(self._programs), void)

    def claim(self, resource: str) -> ClaimState | None:
        """Returns the claim in force, None if the resource was never claimed."""
        return self.state.claims.get(resource)

    def epoch(self, resource: str) -> int:
        """Returns the epoch in force, or `NO_EPOCH`."""
        claim = self.state.claims.get(resource)
        return claim.epoch if claim else NO_EPOCH

    def program(self, program_id: str) -> ProgramRecord | None:
        """Returns what the log says of a program."""
        return self.state.programs.get(program_id)

    def last_sequence(self, writer: str, incarnation: int) -> int:
        """Returns the last group of this incarnation that has been applied, 0 for none."""
        state = self.state.writers.get(writer)
        if state is None or state.incarnation != incarnation:
            return 0
        return state.sequence

    def superseded(self, writer: str, incarnation: int) -> bool:
        """Whether a newer incarnation of this writer has written here."""
        state = self.state.writers.get(writer)
        return state is not None and state.incarnation > incarnation

    def to_json(self) -> bytes:
        """Returns the state as a checkpoint states it."""
        return msgspec.json.encode(self.state)

    def load_json(self, text: bytes) -> None:
        """Takes over a checkpoint's state.

        Raises:
          msgspec.DecodeError: if the text is no such state.
        """
        self.state = msgspec.json.decode(text, type=StreamState)
        self._open_roots = {}
        for record in self.state.programs.values():
            if not record.ended:
                self._index(record.program_id)

    def _take_turn(self, group: RawGroup) -> bool:
        """Lets a group count only as the next one of its writer's newest incarnation.

        Without this, a group sent again after a lost answer would count twice, and one that was
        delayed could count after a later one: a budget slice granted twice, an intent after its
        outcome.
        """
        known = self.state.writers.get(group.writer)
        incarnation, sequence = group.incarnation, group.sequence
        if known is None or incarnation > known.incarnation:
            expected = 1
        elif incarnation == known.incarnation:
            expected = known.sequence + 1
        else:
            return False
        if sequence != expected:
            return False
        self.state.writers[group.writer] = WriterState(incarnation, sequence)
        return True

    def _apply_entry(self, offset: int, group: RawGroup, entry: dict[str, Any]) -> bool:
        typed = convert_entry(entry)
        if typed is None:
            return False
        return _HANDLERS[typed["kind"]](self, offset, group, typed)

    def _claim(self, offset: int, group: RawGroup, entry: Claim) -> bool:
        resource = entry["resource"]
        if not resource.startswith((PARTITION_PREFIX, BACKEND_PREFIX)):
            return False
        if entry["holder"] != group.writer or entry["incarnation"] != group.incarnation:
            return False
        if entry["previous"] != self.epoch(resource):
            return False
        self.state.claims[resource] = ClaimState(offset, entry["holder"], entry["incarnation"])
        self._resources.add(resource)
        return True

    def _yield(self, offset: int, group: RawGroup, entry: Yield) -> bool:
        resource = entry["resource"]
        claim = self.state.claims.get(resource)
        if claim is None or claim.epoch != entry["epoch"] or claim.holder != group.writer:
            return False
        # The epoch moves on too, or a claim written before the yield, with the same `previous`,
        # could count after it: two daemons would read one epoch as theirs.
        self.state.claims[resource] = ClaimState(offset, "", 0)
        if resource.startswith(PARTITION_PREFIX):
            self._close_slices(resource, claim.epoch, entry["unrecorded_tokens"])
        self._resources.add(resource)
        return True

    def _close_slices(self, resource: str, epoch: int, unrecorded: dict[str, int]) -> None:
        """A yield comes with nothing in flight: nothing more is spent than it and outcomes say."""
        for record in self.state.programs.values():
            if record.slice_epoch == epoch and self._partition(record.program_id) == resource:
                spent_tokens = record.settled_tokens + unrecorded.get(record.program_id, 0)
                record.closed_tokens += min(spent_tokens, record.slice_tokens)
                record.slice_tokens = 0
                record.settled_tokens = 0

    def _opened(self, offset: int, group: RawGroup, entry: Opened) -> bool:
        program_id = entry["program"]
        if not self._in_force(program_id, entry["epoch"], group):
            return False
        if program_id in self.state.programs:
            return False
        root_id = program_id.split("/", 1)[0]
        if root_id != program_id:
            root = self.state.programs.get(root_id)
            if root is None or root.ended:
                return False
            root.children.append(program_id)
        self.state.programs[program_id] = ProgramRecord(
            program_id=program_id,
            class_name=entry["class_name"],
            class_version=entry["class_version"],
            owner=entry["owner"],
            account=entry["account"],
            budget_tokens=entry["budget_tokens"],
            opened_at_ms=entry["opened_at_ms"],
            last_epoch=entry["epoch"],
            last_at_ms=entry["opened_at_ms"],
        )
        self._advance_clock(entry["opened_at_ms"])
        self._index(program_id)
        self._note(program_id, Step(offset, "opened", 0, entry["class_name"]))
        return True

    def _slice(self, offset: int, group: RawGroup, entry: Slice) -> bool:
        record = self._live(entry["program"], entry["epoch"], group)
        if record is None or entry["tokens"] <= 0:
            return False
        if record.granted_tokens + entry["tokens"] > record.budget_tokens:
            return False
        if record.slice_epoch != entry["epoch"]:
            # Nobody can say what the earlier owner spent of its slice beyond what it recorded, so
            # all of it counts as spent; else a takeover could overspend the budget.
            record.closed_tokens += record.slice_tokens
            record.slice_tokens = 0
            record.settled_tokens = 0
            record.slice_epoch = entry["epoch"]
        record.slice_tokens += entry["tokens"]
        self._note(record.program_id, Step(offset, "slice", 0, str(entry["tokens"])))
        return True

    def _intent(self, offset: int, group: RawGroup, entry: Intent) -> bool:
        record = self._live(entry["program"], entry["epoch"], group)
        if record is None or record.intent is not None:
            return False
        if entry["call_number"] != record.last_call + 1:
            return False
        record.intent = OpenIntent(
            call_number=entry["call_number"],
            fingerprint=entry["fingerprint"],
            holder=group.writer,
            incarnation=group.incarnation,
            epoch=entry["epoch"],
        )
        licensee = f"{group.writer} {group.incarnation}"
        self._note(record.program_id, Step(offset, "intent", entry["call_number"], licensee))
        return True

    def _outcome(self, offset: int, group: RawGroup, entry: Outcome) -> bool:
        record = self._live(entry["program"], entry["epoch"], group)
        if record is None or entry["call_number"] != record.last_call + 1:
            return False
        intent = record.intent
        if intent is not None and intent.fingerprint != entry["fingerprint"]:
            return False
        if entry["verdict"] == Verdict.NOT_RUN:
            return self._withdraw(offset, record, entry)
        expected = next_chain(
            record.chain,
            call_number=entry["call_number"],
            fingerprint=entry["fingerprint"],
            body=entry["body"],
        )
        if entry["chain"] != expected:
            return False
        record.intent = None
        record.last_call = entry["call_number"]
        record.last_epoch = entry["epoch"]
        record.last_at_ms = entry["at_ms"]
        record.chain = expected
        record.note_answer(stored_answer_of(offset, entry))
        self._settle(record, entry)
        self._advance_clock(entry["at_ms"])
        detail = f"{entry['verdict']} {entry['status']} {entry['backend']}".rstrip()
        self._note(record.program_id, Step(offset, "outcome", entry["call_number"], detail))
        return True

    def _withdraw(self, offset: int, record: ProgramRecord, entry: Outcome) -> bool:
        """The writer of an unused licence gives it back; the call number stays free."""
        intent = record.intent
        if intent is None or intent.epoch != entry["epoch"]:
            return False
        record.intent = None
        self._note(record.program_id, Step(offset, "withdrawn", entry["call_number"], ""))
        return True

    def _settle(self, record: ProgramRecord, entry: Outcome) -> None:
        root = self.state.programs.get(record.program_id.split("/", 1)[0])
        if root is not None and root.slice_epoch == entry["epoch"]:
            root.settled_tokens += entry["tokens"]

    def _ended(self, offset: int, group: RawGroup, entry: Ended) -> bool:
        record = self._live(entry["program"], entry["epoch"], group)
        if record is None:
            return False
        self._advance_clock(entry["at_ms"])
        for program_id in (record.program_id, *record.children):
            member = self.state.programs.get(program_id)
            if member is None or member.ended:
                continue
            member.ended = entry["reason"]
            member.last_at_ms = entry["at_ms"]
            self._close(program_id)
            self.state.ended.append((self.state.clock_ms, program_id))
            self._note(program_id, Step(offset, "ended", 0, entry["reason"]))
            member.shrink()
        return True

    def _checkpoint(self, offset: int, group: RawGroup, entry: Checkpoint) -> bool:
        del offset, group
        if entry["part"] == entry["parts"] - 1:
            self.checkpoint_as_of = max(self.checkpoint_as_of, entry["as_of"])
        return True

    def open_roots(self, partition: str) -> list[str]:
        """Returns the open root programs of a partition."""
        return list(self._open_roots.get(partition, ()))

    def _index(self, program_id: str) -> None:
        if "/" not in program_id:
            self._open_roots.setdefault(self._partition(program_id), {})[program_id] = None

    def _close(self, program_id: str) -> None:
        self._open_roots.get(self._partition(program_id), {}).pop(program_id, None)

    def _live(self, program_id: str, epoch: int, group: RawGroup) -> ProgramRecord | None:
        """Returns the record of a program that the group may write to."""
        record = self.state.programs.get(program_id)
        if record is None or record.ended or not self._in_force(program_id, epoch, group):
            return None
        return record

    def _in_force(self, program_id: str, epoch: int, group: RawGroup) -> bool:
        """Whether the writer holds the program's partition under this epoch, here in the stream.

        A holder that was paused past a takeover goes on writing under its old epoch; without this
        its entries would mix with the new owner's.
        """
        claim = self.state.claims.get(self._partition(program_id))
        return (
            claim is not None
            and claim.epoch == epoch
            and claim.holder == group.writer
            and claim.incarnation == group.incarnation
        )

    def _partition(self, program_id: str) -> str:
        return partition_of(program_id, self._partition_count)

    def _note(self, program_id: str, step: Step) -> None:
        self.state.programs[program_id].note_step(step)
        self._programs.add(program_id)

    def _advance_clock(self, at_ms: int) -> None:
        self.state.clock_ms = max(self.state.clock_ms, at_ms)

    def _forget_old(self) -> None:
        limit_ms = self.state.clock_ms - FORGET_ENDED_MS
        ended = self.state.ended
        if not ended or ended[0][0] >= limit_ms:
            return
        count = min(bisect.bisect_left(ended, (limit_ms, "")), len(ended) - KEPT_ENDED)
        if count <= 0:
            return
        for _, program_id in ended[:count]:
            self.state.programs.pop(program_id, None)
        del ended[:count]


_HANDLERS: dict[str, Callable[..., bool]] = {
    "claim": StreamLedger._claim,
    "yield": StreamLedger._yield,
    "opened": StreamLedger._opened,
    "slice": StreamLedger._slice,
    "intent": StreamLedger._intent,
    "outcome": StreamLedger._outcome,
    "ended": StreamLedger._ended,
    "checkpoint": StreamLedger._checkpoint,
}
