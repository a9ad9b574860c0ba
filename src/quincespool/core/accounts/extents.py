"""The state machine over the streams `accounts-N`: what former homes may still have out.

A home grants nothing beyond its newest extent that it has read back. Its successor's first extent
closes the earlier epochs: what they write after it is void.
"""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from quincespool.core.accounts.records import ExtentRecord
from quincespool.core.placement import partition_of
from quincespool.core.placement import stream_of

STREAM_PREFIX = "accounts-"


class Extent(NamedTuple):
    """The newest extent of one epoch."""

    epoch: int
    serial: int
    permits: int
    tokens: int
    term_ms: int


class ExtentFold:
    """Extents by account: the newest epoch's last, before it those that are not settled."""

    def __init__(self) -> None:
        self._extents: dict[str, list[Extent]] = {}

    def apply(self, body: bytes) -> str | None:
        """Applies the next record; returns the account whose extents it changed."""
        try:
            record = msgspec.json.decode(body, type=ExtentRecord)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
            return None
        account = record["account"]
        extents = self._extents.get(account, [])
        place = (record["epoch"], record["serial"])
        if extents and place <= extents[-1][:2]:
            return None
        earlier = [extent for extent in extents if extent.epoch < record["epoch"]]
        if record["settled"]:
            earlier = []
        size = (record["permits"], record["tokens"], record["term_ms"])
        self._extents[account] = [*earlier, Extent(*place, *size)]
        return account

    def newest(self, account: str, epoch: int) -> Extent | None:
        """Returns the extent in force of this epoch, None if there is none or it is superseded."""
        extents = self._extents.get(account)
        return extents[-1] if extents and extents[-1].epoch == epoch else None

    def superseded(self, account: str, epoch: int) -> bool:
        """Whether a later epoch has written an extent."""
        extents = self._extents.get(account)
        return extents is not None and extents[-1].epoch > epoch

    def before(self, account: str, epoch: int) -> list[Extent]:
        """Returns the extents of earlier epochs that are not settled."""
        return [extent for extent in self._extents.get(account, []) if extent.epoch < epoch]


def home_resource(account: str, partition_count: int) -> str:
    """Returns the partition whose holder is the account's home."""
    return partition_of(f"account:{account}", partition_count)


def extents_stream(resource: str, stream_count: int) -> str:
    """Returns the stream for the extents of the accounts of a partition."""
    return STREAM_PREFIX + stream_of(resource, stream_count).rpartition("-")[2]
