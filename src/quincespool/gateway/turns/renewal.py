"""Writes programs that live long once more before the store drops their oldest records.

What goes wrong without it: a later owner reads a chain that lacks its first turns, and a budget of
which nothing is spent. One notices 404 and more tokens than the budget for programs older than the
store's retention. A program that the store keeps longer than it can be continued costs nothing.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from quincespool.gateway.first_seen import FirstSeen

if TYPE_CHECKING:
    from quincespool.gateway.turns.ledger import Program
    from quincespool.gateway.turns.partition import OwnedPartition
    from quincespool.net.metrics import Metrics

# A quarter of the retention is left for outages, clocks that differ and changes of owner.
RENEWAL_SHARE = 0.75
# Clocks of daemons differ: a program that ends this part of the retention before its records are
# dropped need not be written again.
SLACK_SHARE = 0.1
# Looks at all programs a retention.
CHECKS_PER_RETENTION = 20
# Of one partition between two looks, so that turns do not wait behind it.
MAX_RENEWED_BYTES = 1_000_000


class Renewals:
    """Of all partitions of one daemon."""

    def __init__(self, *, store_retention_ms: int, metrics: Metrics) -> None:
        self._retention_ms = store_retention_ms
        self._metrics = metrics
        self._seen = FirstSeen()

    @property
    def interval_ms(self) -> int:
        """Time between two looks, at the most."""
        return max(1, self._retention_ms // CHECKS_PER_RETENTION)

    def renew(self, owned: OwnedPartition, *, wall_ms: int, now_ms: int) -> None:
        """Hands over the records of programs whose oldest one is about to be dropped."""
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
            for record in owned.ledger.renewed(program_id, wall_ms):
                size_bytes += len(getattr(record, "text", b""))
                owned.submit(record)
            self._metrics.count("gateway_programs_renewed_total")

    def forget_others(self, program_ids: set[str]) -> None:
        """Forgets programs but these."""
        self._seen.retain(program_ids)

    def _is_due(self, program_id: str, program: Program, wall_ms: int, now_ms: int) -> bool:
        known_ms = self._seen.age_ms(program_id, program.oldest_ms, now_ms)
        needed_ms = program.kept_until_ms - program.oldest_ms
        if needed_ms < (1 - SLACK_SHARE) * self._retention_ms:
            return False
        return max(wall_ms - program.oldest_ms, known_ms) >= RENEWAL_SHARE * self._retention_ms
