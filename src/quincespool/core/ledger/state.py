"""The state of one stream's fold: what a checkpoint states."""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from quincespool.core.ledger.program_record import ProgramRecord  # noqa: TC001 - msgspec reads it


class ClaimState(NamedTuple):
    """Who holds a resource. A yielded resource keeps its epoch and has no holder."""

    epoch: int
    holder: str
    incarnation: int


class WriterState(NamedTuple):
    """The newest incarnation of a writer and its last group that counted."""

    incarnation: int
    sequence: int


class StreamState(msgspec.Struct):
    """The whole state after a prefix; this is what a checkpoint states."""

    next_offset: int = 0
    clock_ms: int = 0
    claims: dict[str, ClaimState] = msgspec.field(default_factory=dict)
    writers: dict[str, WriterState] = msgspec.field(default_factory=dict)
    programs: dict[str, ProgramRecord] = msgspec.field(default_factory=dict)
    ended: list[tuple[int, str]] = msgspec.field(default_factory=list)
