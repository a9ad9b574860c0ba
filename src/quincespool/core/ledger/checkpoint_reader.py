"""Finds a complete checkpoint among the records of a stream."""

from __future__ import annotations

from typing import Any
from typing import NamedTuple

import msgspec

from quincespool.core.records import Checkpoint


class FoundCheckpoint(NamedTuple):
    """A complete checkpoint: the ledger's state after all records before `as_of`."""

    as_of: int
    state: bytes


class _Entries(msgspec.Struct):
    entries: list[dict[str, Any]]


class _Groups(msgspec.Struct):
    groups: list[_Entries]


class CheckpointReader:
    """Looks for a complete checkpoint whose following records are all still kept."""

    def __init__(self, *, earliest_offset: int) -> None:
        self.next_offset = earliest_offset
        self._earliest_offset = earliest_offset
        self._parts: dict[tuple[int, int], dict[int, str]] = {}

    def take(self, offset: int, body: bytes) -> FoundCheckpoint | None:
        """Looks at one record; returns a checkpoint once all its parts have been seen."""
        self.next_offset = offset + 1
        if b'"checkpoint"' not in body:
            return None
        try:
            groups = msgspec.json.decode(body, type=_Groups).groups
        except msgspec.MsgspecError:
            return None
        for group in groups:
            for entry in group.entries:
                found = self._take_entry(entry)
                if found is not None:
                    return found
        return None

    def _take_entry(self, entry: dict[str, Any]) -> FoundCheckpoint | None:
        if entry.get("kind") != "checkpoint":
            return None
        try:
            return self._take_part(msgspec.convert(entry, Checkpoint))
        except msgspec.ValidationError:
            return None

    def _take_part(self, entry: Checkpoint) -> FoundCheckpoint | None:
        # A checkpoint from before the earliest record kept leaves a gap that nothing fills.
        if entry["as_of"] < self._earliest_offset:
            return None
        parts = self._parts.setdefault((entry["as_of"], entry["parts"]), {})
        parts[entry["part"]] = entry["state"]
        if len(parts) < entry["parts"]:
            return None
        text = "".join(parts[number] for number in range(entry["parts"]))
        return FoundCheckpoint(entry["as_of"], text.encode())
