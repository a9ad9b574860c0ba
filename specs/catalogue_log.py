"""The catalogue's stream with one entry in it, and which of its records count.

The entry's version is the offset of the edit that was accepted last. An edit names the version it
was made from and counts only if that is in force where it stands.
"""

from __future__ import annotations

from functools import cache
from typing import Final
from typing import NamedTuple

NONE: Final = -1


class Edit(NamedTuple):
    """An operator's edit, made from version `base`."""

    operator: int
    base: int


class Checkpoint(NamedTuple):
    """A statement of fact: `version` is in force before `as_of`."""

    as_of: int
    version: int
    kind: str = "checkpoint"  # Without it, it would equal an edit, both being tuples.


Log = tuple[Edit | Checkpoint, ...]


def apply_record(
    version: int, offset: int, record: Edit | Checkpoint, *, compare_and_set: bool
) -> int:
    """Returns the version in force after a record."""
    if isinstance(record, Checkpoint) or (compare_and_set and record.base != version):
        return version
    return offset


@cache
def version_after(log: Log, *, compare_and_set: bool) -> int:
    """Returns the version in force after all records of `log`."""
    if not log:
        return NONE
    version = version_after(log[:-1], compare_and_set=compare_and_set)
    return apply_record(version, len(log) - 1, log[-1], compare_and_set=compare_and_set)


def edit_counts(log: Log, edit: Edit, *, compare_and_set: bool) -> bool:
    """Returns whether some copy of an edit counts."""
    return any(
        record == edit
        and version_after(log[: offset + 1], compare_and_set=compare_and_set) == offset
        for offset, record in enumerate(log)
    )
