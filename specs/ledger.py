"""The rule by which a stream's records count, for one partition and one non-idempotent call.

The abstract twin of `quincespool.core.ledger`: a pure function of a prefix of the stream. Streams
are interned, so that equal ones are the same object and a state that holds one hashes fast.
"""

from __future__ import annotations

from typing import Final
from typing import Literal
from typing import NamedTuple

NO_EPOCH: Final = -1

Kind = Literal["claim", "yield", "intent", "outcome"]
Verdict = Literal["not_run", "ran", "may_have_run"]


class Writer(NamedTuple):
    """One incarnation of a daemon."""

    daemon: int
    incarnation: int


class Record(NamedTuple):
    """A group of one entry.

    Attributes:
      writer: Who wrote it.
      sequence: Its place among the writer's groups.
      kind: What it is.
      epoch: The epoch it is written under; for a claim, the epoch it means to replace.
      ask: Which of the caller's asks an intent is for, else -1.
      verdict: Of an outcome, else empty.
    """

    writer: Writer
    sequence: int
    kind: Kind
    epoch: int
    ask: int = -1
    verdict: Verdict | Literal[""] = ""


class Ledger(NamedTuple):
    """What a prefix says.

    Attributes:
      epoch: In force, `NO_EPOCH` if nobody holds the partition.
      holder: Who claimed it.
      intent: The first intent that counts.
      intents: How many count.
      outcome: The first verdict that counts.
      next_sequence: By writer's newest incarnation, what is next in line.
      unseen_takeovers: Claims that count but replaced an epoch other than the one they name.
    """

    epoch: int = NO_EPOCH
    holder: Writer | None = None
    intent: Record | None = None
    intents: int = 0
    outcome: Verdict | Literal[""] = ""
    next_sequence: tuple[tuple[Writer, int], ...] = ()
    unseen_takeovers: int = 0

    def expected(self, writer: Writer) -> int | None:
        """Returns the sequence number next in line for a writer, None if it is outdated."""
        for known, sequence in self.next_sequence:
            if known.daemon == writer.daemon:
                if known.incarnation == writer.incarnation:
                    return sequence
                return 0 if writer.incarnation > known.incarnation else None
        return 0


class LedgerGuards(NamedTuple):
    """Parts of the rule that a mutant leaves out."""

    compare_and_set: bool = True
    epoch_in_force: bool = True
    next_in_line: bool = True


class Stream:
    """A sequence of records and what they say. Make one with `empty_stream` and `append`."""

    __slots__ = ("_guards", "_longer", "_prefixes", "ledger")

    def __init__(self, prefixes: tuple[Stream, ...], ledger: Ledger, guards: LedgerGuards) -> None:
        self.ledger = ledger
        self._prefixes = prefixes
        self._guards = guards
        self._longer: dict[Record, Stream] = {}

    def __len__(self) -> int:
        return len(self._prefixes)

    def append(self, record: Record) -> Stream:
        """Returns the stream with a record more; this one itself if the record is void.

        A void record changes nothing for any reader, so the stream without it is equivalent.
        """
        if record not in self._longer:
            ledger = _apply(self.ledger, len(self), record, self._guards)
            longer = self
            if ledger != self.ledger:
                longer = Stream((*self._prefixes, self), ledger, self._guards)
            self._longer[record] = longer
        return self._longer[record]

    def prefix(self, length: int) -> Stream:
        """Returns the stream of the first `length` records."""
        return self if length == len(self) else self._prefixes[length]


def empty_stream(guards: LedgerGuards) -> Stream:
    """Returns a stream without records."""
    return Stream((), Ledger(), guards)


def _apply(ledger: Ledger, offset: int, record: Record, guards: LedgerGuards) -> Ledger:
    if guards.next_in_line and ledger.expected(record.writer) != record.sequence:
        return ledger
    must_match = guards.compare_and_set if record.kind == "claim" else guards.epoch_in_force
    if must_match and record.epoch != ledger.epoch:
        return ledger
    advanced = ledger._replace(next_sequence=_advanced(ledger, record))
    if record.kind == "claim":
        return _apply_claim(advanced, offset, record)
    return _apply_entry(advanced, record)


def _apply_entry(ledger: Ledger, record: Record) -> Ledger:
    if record.kind == "yield":
        return ledger._replace(epoch=NO_EPOCH, holder=None)
    if record.kind == "intent":
        return ledger._replace(intent=ledger.intent or record, intents=ledger.intents + 1)
    return ledger._replace(outcome=ledger.outcome or record.verdict)


def _apply_claim(ledger: Ledger, offset: int, record: Record) -> Ledger:
    unseen = record.epoch != ledger.epoch
    return ledger._replace(
        epoch=offset,
        holder=record.writer,
        unseen_takeovers=ledger.unseen_takeovers + unseen,
    )


def _advanced(ledger: Ledger, record: Record) -> tuple[tuple[Writer, int], ...]:
    others = [item for item in ledger.next_sequence if item[0].daemon != record.writer.daemon]
    return tuple(sorted([*others, (record.writer, record.sequence + 1)]))
