"""Whether the store answers this daemon, and whether it has room."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from quincespool.gateway.decision_log import DecisionLog

# An entry that expires while the store is unavailable is written again within two seconds of the
# store's recovery.
EXPIRY_GRACE_MS = 2_200
# The store counts as full for this long after an append found no room. Such appends are retried
# sooner than this, and meanwhile a daemon looks for records that it can delete.
FULL_STATUS_HOLD_MS = 3_000
# The store counts as lost after this many consecutive failures and this long without a success:
# when a burst exceeds its rate, the store refuses part of the requests and serves the rest.
LOST_AFTER_FAILURES = 3
LOST_AFTER_MS = 300


class StoreHealth:
    """Tracks whether the store answers this daemon, from the outcomes of requests.

    Attributes:
      reachable: Whether the store answers; False while it counts as lost.
      expiry_grace_until_ms: Steady clock until which entries that expired during an outage may
        still be missing from the store.
    """

    def __init__(
        self, log: DecisionLog, now_ms: Callable[[], int], *, on_recovery: Callable[[], None]
    ) -> None:
        self.reachable = True
        self.expiry_grace_until_ms = 0
        self._log = log
        self._now_ms = now_ms
        self._on_recovery = on_recovery
        self._failures = 0
        self._succeeded_ms = now_ms()
        self._full_ms: int | None = None

    @property
    def full(self) -> bool:
        """Whether the store recently had no room for an append; it may still answer requests."""
        return self._full_ms is not None and self._now_ms() - self._full_ms < FULL_STATUS_HOLD_MS

    @property
    def is_responsive(self) -> bool:
        """Whether the last request succeeded, and recently, so that a prompt answer is likely."""
        since_success_ms = self._now_ms() - self._succeeded_ms
        return self._failures == 0 and since_success_ms <= LOST_AFTER_MS

    def record_status(self, status: str) -> None:
        """Records the outcome of a request.

        Args:
          status: The HTTP status of the answer, or `unanswered`.
        """
        self._record_room(status)
        if status in ("unanswered", "503", "429"):
            self._failures += 1
            since_success_ms = self._now_ms() - self._succeeded_ms
            if (
                self.reachable
                and self._failures >= LOST_AFTER_FAILURES
                and since_success_ms > LOST_AFTER_MS
            ):
                self.reachable = False
                self._log.write_always("store lost", status=status)
            return
        self._failures = 0
        self._succeeded_ms = self._now_ms()
        if not self.reachable:
            self.reachable = True
            self.expiry_grace_until_ms = self._now_ms() + EXPIRY_GRACE_MS
            self._log.write_always("store regained")
            self._on_recovery()

    def _record_room(self, status: str) -> None:
        if status == "507":
            if self._full_ms is None:
                self._log.write_always("store full")
            self._full_ms = self._now_ms()
        elif self._full_ms is not None and not self.full:
            self._full_ms = None
            self._log.write_always("store has room")
