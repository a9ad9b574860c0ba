"""Records that were handed to a partition and are not known to be durable."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from quincespool.gateway.turns.ledger import HistoryPart
from quincespool.gateway.turns.ledger import ProgramRenewed
from quincespool.gateway.turns.ledger import decode_record

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Iterable

    from quincespool.gateway.turns.ledger import Record


class WaitingRecord(NamedTuple):
    """A record on its way.

    Attributes:
      data: The record as it is appended.
      kept: Tells when it is durable.
      urgent: Whether it is appended at once, not only with the next one that is.
      replaces: See `LogExtent.note`.
    """

    data: bytes
    program_id: str
    kept: asyncio.Future[None]
    urgent: bool
    replaces: int


def replaced_count(record: Record) -> int:
    """Returns with how many records before it a record replaces all others of its program."""
    return record.part_count if isinstance(record, ProgramRenewed) else 0


def history_parts(waiting: Iterable[WaitingRecord], program_id: str) -> list[HistoryPart]:
    """Returns the pieces of a program's history among some records, but for those of a renewal."""
    parts: list[HistoryPart] = []
    for one in waiting:
        if one.program_id != program_id:
            continue
        record = decode_record(one.data)
        if isinstance(record, HistoryPart):
            parts.append(record)
        elif one.replaces:
            # The records that a renewal was to replace are in force.
            del parts[-one.replaces :]
    return parts
