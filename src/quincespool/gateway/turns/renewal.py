"""Writes a snapshot of long-lived programs before the store drops their oldest records.

Without a snapshot, a later owner reads a history that lacks its first turns and a budget of which
no tokens are spent: programs older than the store's retention get status 404 and more tokens than
their budget. No snapshot is written of programs whose records the store retains for longer than the
programs can be continued.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from quincespool.gateway.first_seen import FirstSeen

if TYPE_CHECKING:
    from quincespool.gateway.turns.ledger import Program
    from quincespool.gateway.turns.partition import OwnedPartition
    from quincespool.net.metrics import Metrics

# A program is renewed when its oldest record has reached this share of the store's retention; the
# last quarter is left for outages, clock differences and changes of owner.
RENEWAL_SHARE = 0.75
# A program need not be renewed if it ends at least this share of the retention before its records
# are dropped. The margin allows for clocks of daemons that differ.
SLACK_SHARE = 0.1
# Number of checks of all programs per retention of the store.
CHECKS_PER_RETENTION = 20
# Limit per partition and check, so that records of turns do not wait behind renewals.
MAX_RENEWED_BYTES = 1_000_000


class ProgramRenewer:
    """Renews the programs of all partitions of one daemon."""

    def __init__(self, *, store_retention_ms: int, metrics: Metrics) -> None:
        self._retention_ms = store_retention_ms
        self._metrics = metrics
        self._first_seen = FirstSeen()

    @property
    def interval_ms(self) -> int:
        """Longest allowed time between two checks, in milliseconds."""
        return max(1, self._retention_ms // CHECKS_PER_RETENTION)

    def renew(self, owned: OwnedPartition, *, wall_ms: int, now_ms: int) -> None:
        """Submits snapshots of programs whose oldest record is about to be dropped.

        Args:
          owned: Partition to check.
          wall_ms: Wall clock time in milliseconds.
          now_ms: Monotonic clock in milliseconds.
        """
        if not owned.ready or owned.stalled:
            return
        due = [
            (program.oldest_ms, program_id)
            for program_id, program in owned.ledger.programs.items()
            if self._is_due(program_id, program, wall_ms, now_ms)
        ]
        size_bytes = 0
        for _, program_id in sorted(due):
            if size_bytes > MAX_RENEWED_BYTES:
                return
            for record in owned.ledger.renewal_records(program_id, wall_ms):
                size_bytes += len(getattr(record, "text", b""))
                owned.submit(record)
            self._metrics.count("gateway_programs_renewed_total")

    def retain_only(self, program_ids: set[str]) -> None:
        """Drops the state of all programs except these."""
        self._first_seen.retain(program_ids)

    def _is_due(self, program_id: str, program: Program, wall_ms: int, now_ms: int) -> bool:
        known_ms = self._first_seen.age_ms(program_id, program.oldest_ms, now_ms)
        needed_ms = program.kept_until_ms - program.oldest_ms
        if needed_ms < (1 - SLACK_SHARE) * self._retention_ms:
            return False
        return max(wall_ms - program.oldest_ms, known_ms) >= RENEWAL_SHARE * self._retention_ms
