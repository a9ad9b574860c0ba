"""Deletes records that no program needs any more, before the store has no room for new ones."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quincespool.gateway.futures import start_background_task
from quincespool.gateway.store.interface import StoreError
from quincespool.gateway.turns.settlement import LostPartitionError

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

    from quincespool.gateway.turns.partition import OwnedPartition
    from quincespool.net.metrics import Metrics

# Of all partitions together, a quarter of what the store takes: below it, its own retention frees
# enough, and nothing is sent for it.
UNTRIMMED_BYTES = 100_000_000


class Trimming:
    """Of all partitions of one daemon."""

    def __init__(
        self, *, partition_count: int, store_full: Callable[[], bool], metrics: Metrics
    ) -> None:
        self._least_bytes = UNTRIMMED_BYTES // partition_count
        self._store_full = store_full
        self._metrics = metrics
        self._under_way: set[OwnedPartition] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    def trim(self, owned: OwnedPartition) -> None:
        """Begins to delete what a partition does not need, if that is much or the store is full."""
        least_bytes = 1 if self._store_full() else self._least_bytes
        before = owned.needless_before(least_bytes)
        if before is not None and owned not in self._under_way:
            self._under_way.add(owned)
            start_background_task(self._trim(owned, before), self._tasks)

    async def _trim(self, owned: OwnedPartition, before: int) -> None:
        try:
            await owned.trim(before)
            self._metrics.count("gateway_log_trims_total")
        except (LostPartitionError, StoreError):
            # Tried again at the next look, by whoever owns it then.
            return
        finally:
            self._under_way.discard(owned)
