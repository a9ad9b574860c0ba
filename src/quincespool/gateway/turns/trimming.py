"""Deletes records that no program needs any more, before the store is full."""

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

# Total size of unneeded records over all partitions, a quarter of the store's capacity. Below it,
# the store's own retention frees enough space, and no trim requests are sent.
UNTRIMMED_BYTES = 100_000_000


class LogTrimmer:
    """Trims the logs of all partitions of one daemon."""

    def __init__(
        self, *, partition_count: int, store_full: Callable[[], bool], metrics: Metrics
    ) -> None:
        self._least_bytes = UNTRIMMED_BYTES // partition_count
        self._store_full = store_full
        self._metrics = metrics
        self._in_progress: set[OwnedPartition] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    def trim(self, owned: OwnedPartition) -> None:
        """Starts to delete unneeded records if their size is large enough or the store is full."""
        least_bytes = 1 if self._store_full() else self._least_bytes
        before = owned.trimmable_before(least_bytes)
        if before is not None and owned not in self._in_progress:
            self._in_progress.add(owned)
            start_background_task(self._trim(owned, before), self._tasks)

    async def _trim(self, owned: OwnedPartition, before: int) -> None:
        try:
            await owned.trim(before)
            self._metrics.count("gateway_log_trims_total")
        except (LostPartitionError, StoreError):
            # Retried at the next check, by the owner at that time.
            return
        finally:
            self._in_progress.discard(owned)
