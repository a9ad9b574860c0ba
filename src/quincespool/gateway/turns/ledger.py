"""Histories and budgets of programs: a reducer over the records of one partition.

The same reducer runs at the owner while it serves and at a new owner that reads the partition, so
both arrive at the same state from the same records.
"""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING
from typing import NamedTuple

import msgspec

from quincespool.gateway.model import account_of

if TYPE_CHECKING:
    from collections.abc import Callable

# Records of the store take 256 KiB; the rest is room for ids.
MAX_PART_BYTES = 200_000


class TurnStarted(msgspec.Struct, tag="s", array_like=True, frozen=True):
    """Written before the first token of a turn is handed out: reserves the most it can generate."""

    turn_id: str
    program_id: str
    most_tokens: int
    at_ms: int


class TurnEnded(msgspec.Struct, tag="e", array_like=True, frozen=True):
    """Written before a caller sees the end of a whole turn: from here on it can be continued.

    Attributes:
      input: What the turn added to its history.
      output: The data of each event, each with a line feed after it.
    """

    turn_id: str
    program_id: str
    previous_id: str
    input: bytes
    output: bytes
    tokens: int
    retention_ms: int
    at_ms: int


class TurnBroken(msgspec.Struct, tag="b", array_like=True, frozen=True):
    """A turn that did not end whole: spends what was handed out, releases the rest."""

    turn_id: str
    program_id: str
    tokens: int
    at_ms: int


class HistoryPart(msgspec.Struct, tag="h", array_like=True, frozen=True):
    """A piece of history: of a turn of another program, or of a turn too long for one record."""

    turn_id: str
    program_id: str
    previous_id: str
    text: bytes
    retention_ms: int
    at_ms: int


class ProgramRenewed(msgspec.Struct, tag="p", array_like=True, frozen=True):
    """What a program has come to, after its turns as history: older records need not last.

    It tells the state and no change, so reading it after the records that it replaces, or in their
    place, comes to the same.

    Attributes:
      part_count: Records of the program just before this one that belong to it.
    """

    program_id: str
    spent_tokens: int
    reserved: dict[str, int]
    retention_ms: int
    kept_until_ms: int
    part_count: int
    at_ms: int


Record = TurnStarted | TurnEnded | TurnBroken | HistoryPart | ProgramRenewed


class Admission(StrEnum):
    """Whether a turn may start."""

    FINE = "fine"
    OVER_BUDGET = "over_budget"
    NO_SUCH_TURN = "no_such_turn"


class _Kept(NamedTuple):
    previous_id: str
    text: bytes


class Program:
    """One program's state.

    Attributes:
      spent_tokens: Handed out by turns that are over.
      reserved: The most that each open turn can still hand out, by turn id.
      kept_until_ms: When the last of its turns can no longer be continued.
      oldest_ms: When the oldest record was written that a later owner needs.
    """

    __slots__ = (
        "kept_until_ms",
        "oldest_ms",
        "reserved",
        "retention_ms",
        "spent_tokens",
        "turns",
    )

    def __init__(self, oldest_ms: int) -> None:
        self.oldest_ms = oldest_ms
        self.spent_tokens = 0
        self.reserved: dict[str, int] = {}
        self.turns: dict[str, _Kept] = {}
        self.kept_until_ms = 0
        self.retention_ms = 0

    def chain(self, turn_id: str) -> list[bytes] | None:
        """Returns the texts up to a turn, newest first; None if one of them is not here."""
        texts: list[bytes] = []
        while turn_id:
            kept = self.turns.get(turn_id)
            # The store drops the oldest records first, so a later owner may have read a turn and
            # not the one before it. A caller that uses an id twice can make a chain endless.
            if kept is None or len(texts) == len(self.turns):
                return None
            texts.append(kept.text)
            turn_id = kept.previous_id
        return texts

    def has_whole(self, turn_id: str) -> bool:
        """Whether a turn and all before it are here."""
        return self.chain(turn_id) is not None


class Ledger:
    """The programs of one partition, folded from its records."""

    def __init__(self) -> None:
        self.programs: dict[str, Program] = {}
        # Of all accounts: ids are the callers', and two of them may choose the same.
        self._programs_of: dict[str, tuple[str, ...]] = {}

    def apply(self, record: Record) -> None:
        """Folds one record in. A record that was applied already changes nothing."""
        program = self.programs.get(record.program_id)
        if program is None:
            program = self.programs[record.program_id] = Program(record.at_ms)
        if isinstance(record, ProgramRenewed):
            program.spent_tokens = record.spent_tokens
            program.reserved = dict(record.reserved)
            program.retention_ms = record.retention_ms
            program.kept_until_ms = max(program.kept_until_ms, record.kept_until_ms)
            program.oldest_ms = record.at_ms
            return
        if isinstance(record, TurnStarted):
            program.reserved[record.turn_id] = record.most_tokens
            program.kept_until_ms = max(program.kept_until_ms, record.at_ms)
            return
        if isinstance(record, HistoryPart):
            self._keep(program, record, record.text)
            return
        if record.turn_id in program.reserved:
            # A turn is settled once; a second settlement, sent again after a lost answer, must not
            # spend twice.
            del program.reserved[record.turn_id]
            program.spent_tokens += record.tokens
        if isinstance(record, TurnEnded):
            self._keep(program, record, record.input + record.output)

    def find(self, turn_id: str, account: str) -> str:
        """Returns the id of an account's program with a turn and all before it, empty if none."""
        for program_id in self._programs_of.get(turn_id, ()):
            if account_of(program_id) == account and self.programs[program_id].has_whole(turn_id):
                return program_id
        return ""

    def is_foreign(self, turn_id: str, account: str) -> bool:
        """Whether only other accounts have such a turn."""
        programs = self._programs_of.get(turn_id, ())
        return bool(programs) and all(account_of(one) != account for one in programs)

    def admit(
        self, *, program_id: str, previous_id: str, budget_tokens: int | None, most_tokens: int
    ) -> Admission:
        """Says whether a turn may start, every open turn counted at its most."""
        program = self.programs.get(program_id)
        if previous_id and (program is None or not program.has_whole(previous_id)):
            return Admission.NO_SUCH_TURN
        return _within(program, budget_tokens, most_tokens)

    def admit_again(self, start: TurnStarted, *, budget_tokens: int | None) -> Admission:
        """Says whether a turn that another owner has admitted may still start."""
        program = self.programs.get(start.program_id)
        if program is not None and start.turn_id in program.reserved:
            # The other owner's record came through.
            return Admission.FINE
        return _within(program, budget_tokens, start.most_tokens)

    def history(self, program_id: str, previous_id: str) -> bytes | None:
        """Returns what a turn that continues `previous_id` is to read first, oldest turn first.

        None if a part of it is not here: a history that lacks one must not reach an engine.
        """
        program = self.programs.get(program_id)
        if program is None:
            return None if previous_id else b""
        texts = program.chain(previous_id)
        return None if texts is None else b"".join(reversed(texts))

    def retention_ms(self, program_id: str) -> int:
        """Returns how long the turns of a program are kept after each one's end."""
        program = self.programs.get(program_id)
        return program.retention_ms if program is not None else 0

    def renewed(self, program_id: str, at_ms: int) -> list[Record]:
        """Returns records that make all earlier ones of a program needless, in their order.

        The one that says so is the last: an owner may be lost between any two of them.
        """
        program = self.programs[program_id]
        # None of them may keep the program longer than it is kept.
        left_ms = program.kept_until_ms - at_ms
        records: list[Record] = [
            HistoryPart(turn_id, program_id, kept.previous_id, kept.text, left_ms, at_ms)
            for turn_id, kept in program.turns.items()
        ]
        records.append(
            ProgramRenewed(
                program_id=program_id,
                spent_tokens=program.spent_tokens,
                reserved=dict(program.reserved),
                retention_ms=program.retention_ms,
                kept_until_ms=program.kept_until_ms,
                part_count=len(program.turns),
                at_ms=at_ms,
            )
        )
        return records

    def expire(
        self,
        now_ms: int,
        *,
        grace_ms: int,
        known_ms: Callable[[str, int], int] | None = None,
    ) -> int:
        """Forgets programs whose turns can no longer be continued; returns how many.

        Args:
          now_ms: Wall clock.
          known_ms: Tells for how long a program's end is known here, by the steady clock. The time
            of day may be set forward, and was another host's when the record was written.
          grace_ms: Longer than clocks of daemons differ and any turn takes; an open turn of a
            daemon that has died holds its program for no longer than this.
        """
        over = [
            program_id
            for program_id, program in self.programs.items()
            if (
                known_ms is None
                or known_ms(program_id, program.kept_until_ms) >= program.retention_ms + grace_ms
            )
            and program.kept_until_ms + grace_ms < now_ms
        ]
        for program_id in over:
            for turn_id in self.programs.pop(program_id).turns:
                self._forget_turn(program_id, turn_id)
        return len(over)

    def _forget_turn(self, program_id: str, turn_id: str) -> None:
        programs = self._programs_of.pop(turn_id, ())
        left = tuple(one for one in programs if one != program_id)
        if left:
            self._programs_of[turn_id] = left

    def _keep(self, program: Program, record: TurnEnded | HistoryPart, text: bytes) -> None:
        program.turns[record.turn_id] = _Kept(record.previous_id, text)
        # Others than the one that made it have its history whole when its own has lost a part.
        programs = self._programs_of.get(record.turn_id, ())
        if record.program_id not in programs:
            self._programs_of[record.turn_id] = (*programs, record.program_id)
        program.retention_ms = record.retention_ms
        until_ms = record.at_ms + record.retention_ms
        program.kept_until_ms = max(program.kept_until_ms, until_ms)


def _within(program: Program | None, budget_tokens: int | None, most_tokens: int) -> Admission:
    if budget_tokens is None:
        return Admission.FINE
    used = 0 if program is None else program.spent_tokens + sum(program.reserved.values())
    return Admission.FINE if used + most_tokens <= budget_tokens else Admission.OVER_BUDGET


def split_history(
    turn_id: str,
    program_id: str,
    text: bytes,
    *,
    previous_id: str = "",
    retention_ms: int,
    at_ms: int,
) -> list[HistoryPart]:
    """Returns a text as pieces that each fit into a record; the last one bears the turn's id."""
    pieces = [text[at : at + MAX_PART_BYTES] for at in range(0, len(text), MAX_PART_BYTES)] or [b""]
    parts = []
    for number, piece in enumerate(pieces, start=1):
        part_id = turn_id if number == len(pieces) else f"{turn_id}#{number}"
        parts.append(HistoryPart(part_id, program_id, previous_id, piece, retention_ms, at_ms))
        previous_id = part_id
    return parts


_ENCODER = msgspec.msgpack.Encoder()
_DECODER: msgspec.msgpack.Decoder[Record] = msgspec.msgpack.Decoder(Record)


def encode_record(record: Record) -> bytes:
    """Returns the bytes of a record."""
    return _ENCODER.encode(record)


def decode_record(data: bytes) -> Record:
    """Returns the record in some bytes.

    Raises:
      msgspec.DecodeError: if they hold none.
    """
    return _DECODER.decode(data)
