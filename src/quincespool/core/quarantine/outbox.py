"""Appends the quarantine's records to the log one at a time, each until it is written."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import msgspec

from quincespool.core.effects import AppendRecord
from quincespool.core.effects import Count
from quincespool.core.quarantine.log import CheckpointRecord
from quincespool.core.timers import TimerKey
from quincespool.stable_hash import stable_hash

if TYPE_CHECKING:
    from quincespool.core.context import Context
    from quincespool.core.effects import Effects
    from quincespool.core.events import AppendDone
    from quincespool.core.events import AppendFailed
    from quincespool.core.quarantine.log import QuarantineRecord

QUARANTINE_STREAM = "quarantine"
PART = "quarantine"
RETRY = TimerKey(part=PART, name="retry")
MIN_BACKOFF_MS = 200
MAX_BACKOFF_MS = 5000


class Outbox:
    """Records to append, in order; the first may be on its way."""

    def __init__(self) -> None:
        self._records: deque[tuple[int, QuarantineRecord]] = deque()
        self._backoff_ms = MIN_BACKOFF_MS
        self._append_id = 0

    def __len__(self) -> int:
        return len(self._records)

    @property
    def holds_checkpoint(self) -> bool:
        """Whether a checkpoint waits to be written."""
        return any(isinstance(record, CheckpointRecord) for _, record in self._records)

    def append(self, record: QuarantineRecord) -> Effects:
        """Takes in a record; append ids are negative, since other parts count up."""
        self._append_id -= 1
        self._records.append((self._append_id, record))
        return self.send_first() if len(self._records) == 1 else []

    def send_first(self) -> Effects:
        """Sends the first record."""
        if not self._records:
            return []
        append_id, record = self._records[0]
        return [AppendRecord(QUARANTINE_STREAM, append_id, msgspec.json.encode(record))]

    def take_done(self, event: AppendDone) -> Effects:
        """Goes on to the next record."""
        if not self._on_its_way(event.append_id):
            return []
        self._records.popleft()
        self._backoff_ms = MIN_BACKOFF_MS
        return self.send_first()

    def take_failed(self, context: Context, event: AppendFailed) -> Effects:
        """Tries again after a while; a repeat is harmless if the first was written after all."""
        if not self._on_its_way(event.append_id):
            return []
        # Daemons that fail together would otherwise also come back together, for ever.
        seed = f"{context.members.self_id}|{context.now_ms}"
        spread_ms = stable_hash(seed) % self._backoff_ms
        delay_ms = max(event.retry_after_ms, self._backoff_ms) + spread_ms
        self._backoff_ms = min(2 * self._backoff_ms, MAX_BACKOFF_MS)
        context.timers.subscribe(RETRY, at_ms=context.now_ms + delay_ms)
        return [Count("quarantine_append_retries_total")]

    def _on_its_way(self, append_id: int) -> bool:
        return bool(self._records) and self._records[0][0] == append_id
