"""Ejects backend servers at which calls fail, for a limited time.

Limits the damage done by backend servers that crash, stop answering or fail part of their calls
under load. Each daemon counts the failures of its own calls, and all daemons exchange reports of
failures: with hundreds of daemons, each sends a given backend server a call only every few seconds.
Without the reports each daemon would lose calls to the same fault again, and would hardly ever see
two failures in a row.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from quincespool.policy.recent_reports import RecentReports

if TYPE_CHECKING:
    from collections.abc import Collection

# Duration of the first ejection after a failure that the backend server may have caused; doubles
# with each further failure.
FIRST_EJECTION_MS = 500
MAX_EJECTION_MS = 4_000
# Consecutive failures after which a backend server is ejected. While faults occur, one broken
# answer in fifty is usual; two in a row from a healthy backend server are not.
FAILURES_TO_EJECT = 2

# Reports within the window that make a backend server an outlier. If all backend servers lose
# one answer in twenty, one that receives ten calls a second gets three reports in one window in
# twenty-five.
REPORTS_NEEDED = 3
# An outlier has at least this many times the median number of reports of the other backend servers
# of its service: a cause that affects most of them at once, such as a burst, is not a fault of one
# of them.
OUTLIER_FACTOR = 3
# Time after which an outlier gets calls again; if these fail in the same way, the time doubles. A
# process that crashed and starts again is recognized as a new incarnation and gets calls at once.
FIRST_SHARED_EJECTION_MS = 2_000
MAX_SHARED_EJECTION_MS = 4_000
# A fault that occurs later than this after the end of the last ejection counts as a new fault.
SHARED_EJECTION_MEMORY_MS = 8_000


class _Health(NamedTuple):
    failures: int
    ejected_until_ms: int


class OwnFailures:
    """Ejects backend servers by the results of this daemon's own calls."""

    def __init__(self) -> None:
        self._health: dict[str, _Health] = {}

    def record_success(self, backend_id: str) -> None:
        """Records a successful call, which ends a series of failures."""
        self._health.pop(backend_id, None)

    def record_failure(self, backend_id: str, now_ms: int, *, unreachable: bool) -> bool:
        """Records a failed call; returns whether the backend server is ejected for it.

        Args:
          backend_id: Id of the backend server at which the call failed.
          now_ms: Steady clock.
          unreachable: Whether the backend server could not be reached, for which one failure is
            enough.
        """
        known = self._health.get(backend_id)
        failures = (known.failures if known is not None else 0) + 1
        if failures < FAILURES_TO_EJECT and not unreachable:
            self._health[backend_id] = _Health(failures, 0)
            return False
        doublings = max(0, failures - FAILURES_TO_EJECT)
        ejection_ms = min(MAX_EJECTION_MS, FIRST_EJECTION_MS << min(doublings, 8))
        self._health[backend_id] = _Health(failures, now_ms + ejection_ms)
        return True

    def is_ejected(self, backend_id: str, now_ms: int) -> bool:
        """Whether this daemon currently sends the backend server no calls."""
        health = self._health.get(backend_id)
        return health is not None and now_ms < health.ejected_until_ms

    def forget(self, backend_id: str) -> None:
        """Drops the failures of a backend server that has left."""
        self._health.pop(backend_id, None)


class _Ejection(NamedTuple):
    until_ms: int
    duration_ms: int


class SharedFailures:
    """Ejects backend servers by the failures that all daemons report."""

    def __init__(self) -> None:
        self._reports = RecentReports()
        self._ejections: dict[str, _Ejection] = {}

    def is_outlier(self, backend_id: str, now_ms: int) -> bool:
        """Whether the backend server is currently ejected because of the reports."""
        ejection = self._ejections.get(backend_id)
        return ejection is not None and now_ms < ejection.until_ms

    def should_report(self, backend_id: str, reporter: str, now_ms: int) -> bool:
        """Whether one more report of this daemon would be counted by the other daemons."""
        if self.is_outlier(backend_id, now_ms):
            return False
        return self._reports.has_room(backend_id, reporter, now_ms)

    def record_report(
        self, backend_id: str, reporter: str, *, group: Collection[str], now_ms: int
    ) -> int | None:
        """Records a report; returns for how many milliseconds it ejects the backend server.

        Returns None if the report ejects nothing.

        Args:
          backend_id: Id of the backend server at which the call failed.
          reporter: The daemon that sent the report.
          group: Ids of all backend servers of the same service.
          now_ms: Steady clock.
        """
        if self.is_outlier(backend_id, now_ms):
            return None
        if not self._reports.add(backend_id, reporter, now_ms):
            return None
        if not self._exceeds_group(backend_id, group, now_ms):
            return None
        ejection = self._next_ejection(backend_id, now_ms)
        self._ejections[backend_id] = ejection
        return ejection.duration_ms

    def forget(self, backend_id: str) -> None:
        """Drops the reports on a backend server that has left or started again."""
        self._ejections.pop(backend_id, None)
        self._reports.forget(backend_id)

    def _exceeds_group(self, backend_id: str, group: Collection[str], now_ms: int) -> bool:
        counts = self._reports.counts()
        if counts[backend_id] < REPORTS_NEEDED:
            return False
        others = sorted(
            REPORTS_NEEDED if self.is_outlier(one, now_ms) else counts[one]
            for one in group
            if one != backend_id
        )
        if not others:
            return False
        median = others[(len(others) - 1) // 2]
        return counts[backend_id] >= OUTLIER_FACTOR * median

    def _next_ejection(self, backend_id: str, now_ms: int) -> _Ejection:
        last = self._ejections.get(backend_id)
        if last is None or now_ms - last.until_ms > SHARED_EJECTION_MEMORY_MS:
            duration_ms = FIRST_SHARED_EJECTION_MS
        else:
            duration_ms = min(MAX_SHARED_EJECTION_MS, 2 * last.duration_ms)
        return _Ejection(now_ms + duration_ms, duration_ms)
