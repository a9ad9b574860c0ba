"""Records that were submitted to a partition and are not known to be durable."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from quincespool.gateway.turns.records import HistoryPart
from quincespool.gateway.turns.records import ProgramRenewed
from quincespool.gateway.turns.records import decode_record

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Iterable

    from quincespool.gateway.turns.records import Record


class WaitingRecord(NamedTuple):
    """Record that waits to be appended.

    Attributes:
      data: The record in its stored encoding.
      program_id: Program of the record.
      durable: Completes when the record is durable.
      urgent: Whether to append it at once, and not only together with the next urgent record.
      replaces: See `LogExtent.add_record`.
    """

    data: bytes
    program_id: str
    durable: asyncio.Future[None]
    urgent: bool
    replaces: int


def replaced_count(record: Record) -> int:
    """Returns how many records directly before a snapshot belong to it, 0 for other records."""
    return record.part_count if isinstance(record, ProgramRenewed) else 0


def history_parts(waiting: Iterable[WaitingRecord], program_id: str) -> list[HistoryPart]:
    """Returns the `HistoryPart` records of a program, except for those of a snapshot."""
    parts: list[HistoryPart] = []
    for one in waiting:
        if one.program_id != program_id:
            continue
        record = decode_record(one.data)
        if isinstance(record, HistoryPart):
            parts.append(record)
        elif one.replaces:
            # The records that the snapshot was to replace are still valid.
            del parts[-one.replaces :]
    return parts
