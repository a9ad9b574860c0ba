"""Checkpoints: a reader that starts after records have expired reaches the same state.

A checkpoint is a statement of fact about the prefix before `as_of`. It comes in parts, which anyone
who has read that far may write, late and twice. Entries of two writers count if next in the
writer's sequence, so a copy that lands twice counts once, for a late reader as well.
"""

from __future__ import annotations

from functools import cache
from typing import TYPE_CHECKING
from typing import NamedTuple

from specs.checking import Specification

if TYPE_CHECKING:
    from collections.abc import Iterator

    Steps = Iterator[tuple[str, "State"]]
    Stream = tuple["Entry | Part", ...]

COPIES = (2, 1)
WRITERS = len(COPIES)


class Guards(NamedTuple):
    """Parts of the protocol that a mutant leaves out.

    Attributes:
      as_of_prefix: A checkpoint speaks of the prefix before `as_of`, not of the one before itself.
      no_gap: A reader uses it only if it has every record from `as_of` on.
      parts_of_one_prefix: Parts are put together only if they are of the same prefix.
      holds_sequences: The sequence numbers are part of the state.
    """

    as_of_prefix: bool = True
    no_gap: bool = True
    parts_of_one_prefix: bool = True
    holds_sequences: bool = True


class Bounds(NamedTuple):
    """How many records the stream holds, and how many of them are parts of checkpoints."""

    records: int = 6
    parts: int = 3


class Fold(NamedTuple):
    """What a prefix says: the entries that count, in order, and each writer's next sequence."""

    counted: tuple[int, ...] = ()
    next_sequence: tuple[int, ...] = (0,) * WRITERS


class Entry(NamedTuple):
    """Something of a writer's that should count once."""

    writer: int
    sequence: int


class Part(NamedTuple):
    """One half of a checkpoint: field `half` of the `Fold` before `as_of`."""

    as_of: int
    half: int
    value: tuple[int, ...]


class Reader(NamedTuple):
    """A reader that began at `start`; `fold` is None as long as it has no whole checkpoint."""

    start: int
    fold: Fold | None


class State(NamedTuple):
    """A stream, and what a reader makes of it that finds the records before `start` expired."""

    log: tuple[Entry | Part, ...] = ()
    reader: Reader | None = None


ALL_GUARDS = Guards()
BOUNDS = Bounds()


class Checkpoints:
    """The steps under given guards and bounds."""

    def __init__(self, guards: Guards, bounds: Bounds) -> None:
        self._guards = guards
        self._bounds = bounds

    def successors(self, state: State) -> Steps:
        """Yields every step from a state.

        A reader ends the run: what it makes of a stream depends on that stream only, and every
        shorter stream is a state of its own.
        """
        if state.reader is not None:
            return
        if len(state.log) < self._bounds.records:
            yield from self._landing_steps(state)
        for start in range(len(state.log) + 1):
            reader = Reader(start, self._read(state.log, start))
            yield f"reads from {start} to the end", state._replace(reader=reader)

    def _landing_steps(self, state: State) -> Steps:
        for writer, copies in enumerate(COPIES):
            if state.log.count(Entry(writer, 0)) < copies:
                log = (*state.log, Entry(writer, 0))
                yield f"entry of {writer} lands", state._replace(log=log)
        if sum(isinstance(r, Part) for r in state.log) == self._bounds.parts:
            return
        for as_of in range(len(state.log) + 1):
            fold = fold_prefix(state.log[:as_of])
            for half in range(len(Fold._fields)):
                log = (*state.log, Part(as_of, half, fold[half]))
                yield f"part {half} as of {as_of} lands", state._replace(log=log)

    def _read(self, log: Stream, start: int) -> Fold | None:
        fold = Fold() if start == 0 else None
        for offset in range(start, len(log)):
            record = log[offset]
            if fold is not None:
                fold = apply_record(fold, record)
            elif isinstance(record, Part):
                fold = self._assembled(log[: offset + 1], start)
        return fold

    def _assembled(self, log: Stream, start: int) -> Fold | None:
        parts = [record for record in log[start:] if isinstance(record, Part)]
        usable = [p for p in parts if p.as_of >= start or not self._guards.no_gap]
        if not usable:
            return None
        as_of = usable[-1].as_of
        values = {
            part.half: part.value
            for part in usable
            if part.as_of == as_of or not self._guards.parts_of_one_prefix
        }
        if len(values) < len(Fold._fields):
            return None
        fold = Fold(counted=values[0], next_sequence=values[1])
        if not self._guards.holds_sequences:
            fold = fold._replace(next_sequence=Fold().next_sequence)
        if not self._guards.as_of_prefix:
            return fold
        for record in log[max(as_of, start) :]:
            fold = apply_record(fold, record)
        return fold


def apply_record(fold: Fold, record: Entry | Part) -> Fold:
    """Returns what a prefix says with one record more."""
    if isinstance(record, Part) or record.sequence != fold.next_sequence[record.writer]:
        return fold
    return Fold(
        counted=(*fold.counted, record.writer),
        next_sequence=tuple(s + (i == record.writer) for i, s in enumerate(fold.next_sequence)),
    )


@cache
def fold_prefix(log: tuple[Entry | Part, ...]) -> Fold:
    """Returns what a whole prefix says."""
    return apply_record(fold_prefix(log[:-1]), log[-1]) if log else Fold()


def make_checkpoints(guards: Guards = ALL_GUARDS, bounds: Bounds = BOUNDS) -> Specification[State]:
    """Returns the specification, or a mutant of it if a guard is off."""

    def late_reader_agrees(state: State) -> bool:
        reader = state.reader
        if reader is None or reader.fold is None:
            return True
        return reader.fold == fold_prefix(state.log)

    def late_reader_caught_up(state: State) -> bool:
        reader = state.reader
        return (
            reader is not None
            and reader.start > 0
            and reader.fold is not None
            and len(reader.fold.counted) == WRITERS
        )

    return Specification(
        initial=State(),
        successors=Checkpoints(guards, bounds).successors,
        rules={"late reader agrees": late_reader_agrees},
        sights={"late reader caught up": late_reader_caught_up},
    )
