"""Applies the stored records of a partition to the state of its new owner."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from quincespool.gateway.turns.records import decode_record
from quincespool.gateway.turns.waiting_records import replaced_count

if TYPE_CHECKING:
    from quincespool.gateway.store.interface import Page
    from quincespool.gateway.turns.ledger import Ledger
    from quincespool.gateway.turns.log_extent import LogExtent


def replay_page(page: Page, offset: int, *, ledger: Ledger, extent: LogExtent) -> list[str]:
    """Applies the records of one page in order.

    Args:
      page: The page.
      offset: Offset of its first record.
      ledger: Receives the records.
      extent: Receives their offsets and sizes.

    Returns:
      A description of each record that can't be decoded.
    """
    undecodable: list[str] = []
    for position, data in enumerate(page.records, start=offset):
        try:
            record = decode_record(data)
            ledger.apply(record)
            replaces = replaced_count(record)
            extent.add_record(position, record.program_id, len(data), replaces=replaces)
        except msgspec.DecodeError as error:
            # Written by a version with other record types. Its turn can't be continued here.
            extent.add_unreadable(position)
            undecodable.append(f"undecodable record: {error}")
    extent.add_mark(offset + len(page.records))
    return undecodable
