"""Checkpoints of the catalogue in its own stream, so that it outlives the log's retention.

A checkpoint says what the catalogue is after all records before `as_of`. That is a fact about a
fixed prefix: true whoever writes it, however late and however often, so writing it needs no lease.
"""

from __future__ import annotations

import base64
import binascii
import hashlib
from typing import Literal
from typing import NamedTuple
from typing import TypedDict

import msgspec

from quincespool.core.catalogue.fold import CatalogueFold
from quincespool.core.catalogue.fold import CheckpointError

PART_BYTES = 200_000
MAX_PARTS = 1000
MAX_OPEN_GROUPS = 4


class CheckpointRecord(TypedDict):
    """Body of one part of a checkpoint.

    `digest` of the whole state tells apart the parts of different writers, `at_ms` is the writer's
    clock and only decides when the next checkpoint is due.
    """

    kind: Literal["checkpoint"]
    as_of: int
    part: int
    parts: int
    digest: str
    writer: str
    at_ms: int
    state: str


class CheckpointKey(NamedTuple):
    """Names one checkpoint."""

    as_of: int
    digest: str
    parts: int


class Completed(NamedTuple):
    """All parts of a checkpoint have been read; `state` is empty if it was not kept."""

    key: CheckpointKey
    at_ms: int
    state: bytes


class CheckpointCollector:
    """Puts the parts of checkpoints together as they are read."""

    def __init__(self) -> None:
        self._groups: dict[CheckpointKey, dict[int, str]] = {}

    def add(self, offset: int, body: bytes, *, keep_state: bool) -> Completed | None:
        """Takes in the record at `offset`; returns the checkpoint that it completes, if any.

        Anything but a part of a checkpoint is ignored. With `keep_state` false only the fact that
        the part is there is kept, not its 200 KB.
        """
        record = _decode(offset, body)
        if record is None:
            return None
        key = CheckpointKey(record["as_of"], record["digest"], record["parts"])
        group = self._groups.setdefault(key, {})
        group[record["part"]] = record["state"] if keep_state else ""
        if len(group) < key.parts:
            self._bound_groups()
            return None
        del self._groups[key]
        state = _join([group[part] for part in range(key.parts)], key.digest) if keep_state else b""
        return None if state is None else Completed(key, record["at_ms"], state)

    def has_part(self, key: CheckpointKey, part: int) -> bool:
        """Whether this part of an incomplete checkpoint has been read."""
        return part in self._groups.get(key, ())

    def clear(self) -> None:
        """Forgets the incomplete checkpoints."""
        self._groups.clear()

    def _bound_groups(self) -> None:
        # Writers die between parts; their remains must not pile up.
        while len(self._groups) > MAX_OPEN_GROUPS:
            del self._groups[next(iter(self._groups))]


class CheckpointWrite:
    """A checkpoint that this daemon is writing: one part after the other, each read back."""

    def __init__(self, state: bytes, *, as_of: int, writer: str, now_ms: int) -> None:
        text = base64.b64encode(state).decode("ascii")
        pieces = [text[at : at + PART_BYTES] for at in range(0, len(text), PART_BYTES)]
        self.key = CheckpointKey(as_of, _digest(state), len(pieces))
        self.started_at_ms = now_ms
        self._records: list[CheckpointRecord] = [
            {
                "kind": "checkpoint",
                "as_of": as_of,
                "part": part,
                "parts": len(pieces),
                "digest": self.key.digest,
                "writer": writer,
                "at_ms": now_ms,
                "state": piece,
            }
            for part, piece in enumerate(pieces)
        ]

    def first_missing(self, collector: CheckpointCollector) -> int | None:
        """Returns the first part that has not been read back, None if all of them have."""
        missing = (part for part in range(self.key.parts) if not collector.has_part(self.key, part))
        return next(missing, None)

    def body(self, part: int) -> bytes:
        """Returns the record of one part."""
        return msgspec.json.encode(self._records[part])


def load_state(state: bytes, *, next_offset: int) -> CatalogueFold | None:
    """Returns the catalogue in a checkpoint, None if it is damaged or of another prefix."""
    try:
        fold = CatalogueFold.from_checkpoint(state)
    except CheckpointError:
        return None
    return fold if fold.next_offset == next_offset else None


def _decode(offset: int, body: bytes) -> CheckpointRecord | None:
    try:
        record = msgspec.json.decode(body, type=CheckpointRecord)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return None
    if not 0 < record["parts"] <= MAX_PARTS or not 0 <= record["part"] < record["parts"]:
        return None
    # Nobody can know the records after its own; such a record is not a statement of fact.
    return record if 0 <= record["as_of"] <= offset else None


def _join(pieces: list[str], digest: str) -> bytes | None:
    try:
        state = base64.b64decode("".join(pieces), validate=True)
    except (binascii.Error, ValueError):
        return None
    return state if _digest(state) == digest else None


def _digest(state: bytes) -> str:
    return hashlib.blake2b(state, digest_size=16).hexdigest()
