"""The rule by which a stream's records count, for one partition and one non-idempotent call.

The abstract twin of `quincespool.core.ledger`: a pure function of a prefix of the stream.
"""

from __future__ import annotations

from enum import IntEnum
from functools import lru_cache
from typing import NamedTuple

NO_EPOCH = -1


class Kind(IntEnum):
    """What a record is."""

    CLAIM = 0
    YIELD = 1
    INTENT = 2
    OUTCOME = 3


class Verdict(IntEnum):
    """What is known of the effect of the call."""

    NOT_RUN = 0
    RAN = 1
    MAY_HAVE_RUN = 2


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
      detail: The ask (an index) of an intent, the verdict of an outcome.
    """

    writer: Writer
    sequence: int
    kind: Kind
    epoch: int
    detail: int = 0


class Ledger(NamedTuple):
    """What a prefix says.

    Attributes:
      epoch: In force, `NO_EPOCH` if nobody holds the partition.
      holder: Who claimed it.
      intent: The first intent that counts, and its epoch.
      intents: How many count.
      outcome: The first verdict that counts.
      next_sequence: By writer's newest incarnation, what is next in line.
      unseen_takeovers: Claims that count but replaced an epoch other than the one they name.
    """

    epoch: int = NO_EPOCH
    holder: Writer | None = None
    intent: Record | None = None
    intents: int = 0
    outcome: Verdict | None = None
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


@lru_cache(maxsize=None)
def read_prefix(log: tuple[Record, ...], guards: LedgerGuards) -> Ledger:
    """Returns what the records of `log` together say."""
    if not log:
        return Ledger()
    return _apply(read_prefix(log[:-1], guards), len(log) - 1, log[-1], guards)


def _apply(ledger: Ledger, offset: int, record: Record, guards: LedgerGuards) -> Ledger:
    if guards.next_in_line and ledger.expected(record.writer) != record.sequence:
        return ledger
    ledger = ledger._replace(next_sequence=_advanced(ledger, record))
    if record.kind is Kind.CLAIM:
        return _apply_claim(ledger, offset, record, guards)
    if guards.epoch_in_force and record.epoch != ledger.epoch:
        return ledger
    if record.kind is Kind.YIELD:
        return ledger._replace(epoch=NO_EPOCH, holder=None)
    if record.kind is Kind.INTENT:
        return ledger._replace(intent=ledger.intent or record, intents=ledger.intents + 1)
    if ledger.outcome is None:
        return ledger._replace(outcome=Verdict(record.detail))
    return ledger


def _apply_claim(ledger: Ledger, offset: int, record: Record, guards: LedgerGuards) -> Ledger:
    seen = record.epoch == ledger.epoch
    if guards.compare_and_set and not seen:
        return ledger
    return ledger._replace(
        epoch=offset,
        holder=record.writer,
        unseen_takeovers=ledger.unseen_takeovers + (not seen),
    )


def _advanced(ledger: Ledger, record: Record) -> tuple[tuple[Writer, int], ...]:
    others = [item for item in ledger.next_sequence if item[0].daemon != record.writer.daemon]
    return tuple(sorted([*others, (record.writer, record.sequence + 1)]))
