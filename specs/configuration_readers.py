"""Daemons that read the catalogue: after expiry, over restarts with nothing, and from peers.

The stream grows freely: edits that count or are void, and checkpoints, which are written late and
twice. Two hosts read it and restart. While the log is out for one of them it may take over the
state of the other.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from specs.catalogue_log import NONE
from specs.catalogue_log import Checkpoint
from specs.catalogue_log import Edit
from specs.catalogue_log import apply_record
from specs.catalogue_log import version_after
from specs.checking import Specification

if TYPE_CHECKING:
    from collections.abc import Iterator

    from specs.catalogue_log import Log

    Steps = Iterator[tuple[str, "State"]]


class Guards(NamedTuple):
    """Parts of the protocol that a mutant leaves out.

    Attributes:
      as_of_prefix: A checkpoint speaks of the prefix before `as_of`, not of the one before itself.
      no_gap: A reader uses it only if it has every record from `as_of` on.
      ready_at_end: A reader serves only after reading to the end that it found when it started.
      adopt_only_newer: A reader takes a peer's state only if that is ahead of its own.
    """

    as_of_prefix: bool = True
    no_gap: bool = True
    ready_at_end: bool = True
    adopt_only_newer: bool = True


class Bounds(NamedTuple):
    """How much may happen."""

    records: int = 4
    checkpoints: int = 2
    restarts: int = 1
    peers: bool = False


class Reader(NamedTuple):
    """One host's daemon.

    Attributes:
      start: Where it began to read; `NONE` before that.
      target: The stream's end then.
      next_offset: What it reads next.
      version: In force before `next_offset`, None if it cannot know yet.
      ready: Whether it serves.
      highest: The highest version this incarnation has served.
      highest_ever: The same over the host's incarnations.
    """

    start: int = NONE
    target: int = 0
    next_offset: int = 0
    version: int | None = None
    ready: bool = False
    highest: int = NONE
    highest_ever: int = NONE


class State(NamedTuple):
    """All records ever, the first one kept, the readers and how often they restarted."""

    log: Log = ()
    earliest: int = 0
    readers: tuple[Reader, ...] = (Reader(), Reader())
    restarts: int = 0


ALL_GUARDS = Guards()
BOUNDS = Bounds()


class Readers:
    """The steps under given guards and bounds."""

    def __init__(self, guards: Guards, bounds: Bounds) -> None:
        self._guards = guards
        self._bounds = bounds

    def successors(self, state: State) -> Steps:
        """Yields every step from a state."""
        if len(state.log) < self._bounds.records:
            yield from self._landing_steps(state)
        if state.earliest < len(state.log):
            yield "oldest record expires", state._replace(earliest=state.earliest + 1)
        for index, reader in enumerate(state.readers):
            yield from self._reader_steps(state, index, reader)
            if self._bounds.peers:
                yield from self._peer_steps(state, index, reader)

    def _landing_steps(self, state: State) -> Steps:
        version = version_after(state.log, compare_and_set=True)
        for name, base in (("edit", version), ("void edit", NONE)):
            if name == "edit" or base != version:
                yield f"{name} lands", state._replace(log=(*state.log, Edit(0, base)))
        if sum(isinstance(r, Checkpoint) for r in state.log) == self._bounds.checkpoints:
            return
        for as_of in range(len(state.log) + 1):
            fact = version_after(state.log[:as_of], compare_and_set=True)
            log = (*state.log, Checkpoint(as_of, fact))
            yield f"checkpoint as of {as_of} lands", state._replace(log=log)

    def _reader_steps(self, state: State, index: int, reader: Reader) -> Steps:
        if reader.start == NONE:
            version = NONE if state.earliest == 0 else None
            fresh = Reader(
                start=state.earliest,
                target=len(state.log),
                next_offset=state.earliest,
                version=version,
                highest_ever=reader.highest_ever,
            )
            yield f"{index} starts at {state.earliest}", self._served(state, index, fresh)
            return
        if state.earliest <= reader.next_offset < len(state.log):
            read = self._read_one(state.log, reader)
            yield f"{index} reads {reader.next_offset}", self._served(state, index, read)
        if state.restarts < self._bounds.restarts:
            fresh = Reader(highest_ever=reader.highest_ever)
            restarted = _with_reader(state, index, fresh)._replace(restarts=state.restarts + 1)
            yield f"{index} restarts", restarted

    def _read_one(self, log: Log, reader: Reader) -> Reader:
        offset = reader.next_offset
        record = log[offset]
        read = reader._replace(next_offset=offset + 1)
        if reader.version is not None:
            version = apply_record(reader.version, offset, record, compare_and_set=True)
            return read._replace(version=version)
        if not isinstance(record, Checkpoint):
            return read
        if record.as_of < reader.start and self._guards.no_gap:
            return read
        version = record.version
        since = max(record.as_of, reader.start) if self._guards.as_of_prefix else offset
        for place in range(since, offset):
            version = apply_record(version, place, log[place], compare_and_set=True)
        return read._replace(version=version)

    def _peer_steps(self, state: State, index: int, reader: Reader) -> Steps:
        peer = state.readers[1 - index]
        ahead = reader.version is None or peer.next_offset > reader.next_offset
        if not peer.ready or not (ahead or not self._guards.adopt_only_newer):
            return
        adopted = reader._replace(
            start=peer.next_offset,
            target=peer.next_offset,
            next_offset=peer.next_offset,
            version=peer.version,
        )
        if adopted != reader:
            yield f"{index} takes over from its peer", self._served(state, index, adopted)

    def _served(self, state: State, index: int, reader: Reader) -> State:
        at_end = reader.next_offset >= reader.target or not self._guards.ready_at_end
        if reader.version is not None and (reader.ready or at_end):
            reader = reader._replace(
                ready=True,
                highest=max(reader.highest, reader.version),
                highest_ever=max(reader.highest_ever, reader.version),
            )
        return _with_reader(state, index, reader)


def make_readers(guards: Guards = ALL_GUARDS, bounds: Bounds = BOUNDS) -> Specification[State]:
    """Returns the specification, or a mutant of it if a guard is off."""
    return Specification(
        initial=State(),
        successors=Readers(guards, bounds).successors,
        rules={
            "readers agree with the log": lambda s: all(
                r.version in (None, version_after(s.log[: r.next_offset], compare_and_set=True))
                for r in s.readers
            ),
            "never goes back": lambda s: all(
                not r.ready or r.version == r.highest for r in s.readers
            ),
            "never goes back over a restart": lambda s: all(
                not r.ready or r.version == r.highest_ever for r in s.readers
            ),
        },
        sights={
            "ready from a checkpoint": lambda s: any(
                r.ready and 0 < r.start < r.next_offset and r.version != NONE for r in s.readers
            ),
            "ready again after a restart": lambda s: (
                s.restarts > 0 and any(r.ready and r.highest_ever != NONE for r in s.readers)
            ),
        },
    )


def _with_reader(state: State, index: int, reader: Reader) -> State:
    readers = tuple(reader if i == index else r for i, r in enumerate(state.readers))
    return state._replace(readers=readers)
