"""Reads records of a stream, which anybody may have written."""

from __future__ import annotations

from typing import Any

import msgspec

from quincespool.core.ledger.program_record import StoredAnswer
from quincespool.core.records import Checkpoint
from quincespool.core.records import Claim
from quincespool.core.records import Ended
from quincespool.core.records import Intent
from quincespool.core.records import Opened
from quincespool.core.records import Outcome
from quincespool.core.records import Slice
from quincespool.core.records import Yield

ENTRY_TYPES: dict[str, type] = {
    "claim": Claim,
    "yield": Yield,
    "opened": Opened,
    "slice": Slice,
    "intent": Intent,
    "outcome": Outcome,
    "ended": Ended,
    "checkpoint": Checkpoint,
}


class _Groups(msgspec.Struct):
    """`Batch` with its entries still unchecked: one bad entry must not void its neighbours."""

    groups: list[RawGroup]


class RawGroup(msgspec.Struct):
    """A `Group` whose entries are not checked yet."""

    writer: str
    incarnation: int
    sequence: int
    entries: list[dict[str, Any]]


def decode_groups(body: bytes) -> list[RawGroup]:
    """Returns a record's groups; none if the record is malformed."""
    try:
        return _DECODER.decode(body).groups
    except msgspec.MsgspecError:
        return []


def convert_entry(entry: dict[str, Any]) -> Any:
    """Returns the entry as its `TypedDict`, None if it is malformed."""
    entry_type = ENTRY_TYPES.get(entry.get("kind", ""))
    if entry_type is None:
        return None
    try:
        return msgspec.convert(entry, entry_type)
    except msgspec.ValidationError:
        return None


def stored_answer_of(offset: int, entry: Outcome) -> StoredAnswer:
    """Returns what is kept of an outcome that stands at an offset."""
    return StoredAnswer(
        call_number=entry["call_number"],
        fingerprint=entry["fingerprint"],
        verdict=entry["verdict"],
        status=entry["status"],
        reason=entry["reason"],
        body=entry["body"],
        encoding=entry["encoding"],
        content_type=entry["content_type"],
        tokens=entry["tokens"],
        backend=entry["backend"],
        class_version=entry["class_version"],
        outcome_id=entry["outcome_id"],
        epoch=entry["epoch"],
        offset=offset,
    )


_DECODER = msgspec.json.Decoder(_Groups)
