"""The recent reports of all daemons on backend servers, and whether another report is needed.

A daemon stops sending reports as soon as the other daemons have enough: the number of reports does
not grow with the calls, and the traffic grows with the number of daemons only because each report
goes to all of them.
"""

from __future__ import annotations

from collections import Counter
from collections import deque
from typing import NamedTuple

# Time for which a report counts: long enough for three calls at a backend server that takes a few
# each second, short enough that chance failures don't add up.
WINDOW_MS = 1_500
# Reports of one daemon on one backend server that count within the window, so that at least two
# daemons must agree: a daemon that is cut off from the network reports failures of all backend
# servers.
MAX_REPORTS_PER_DAEMON = 2
# Number of reports in a window after which no daemon sends more. It limits the cost of receiving
# them to a third of a percent of a core at 100 us each, and leaves room for ten outliers at once.
MAX_REPORTS = 48


class _Report(NamedTuple):
    at_ms: int
    backend_id: str
    reporter: str


class RecentReports:
    """Reports of all daemons within the last window."""

    def __init__(self) -> None:
        self._reports: deque[_Report] = deque(maxlen=2 * MAX_REPORTS)

    def add(self, backend_id: str, reporter: str, now_ms: int) -> bool:
        """Adds a report; returns False if this daemon has reported the backend server too often."""
        self._drop_old(now_ms)
        if not self._is_within_daemon_limit(backend_id, reporter):
            return False
        self._reports.append(_Report(now_ms, backend_id, reporter))
        return True

    def has_room(self, backend_id: str, reporter: str, now_ms: int) -> bool:
        """Whether one more report of this daemon would be added and is within `MAX_REPORTS`."""
        self._drop_old(now_ms)
        return len(self._reports) < MAX_REPORTS and self._is_within_daemon_limit(
            backend_id, reporter
        )

    def counts(self) -> Counter[str]:
        """Returns the number of reports by backend server, as of the last addition."""
        return Counter(one.backend_id for one in self._reports)

    def forget(self, backend_id: str) -> None:
        """Drops the reports on a backend server."""
        kept = [one for one in self._reports if one.backend_id != backend_id]
        self._reports.clear()
        self._reports.extend(kept)

    def _is_within_daemon_limit(self, backend_id: str, reporter: str) -> bool:
        reporters = [one.reporter for one in self._reports if one.backend_id == backend_id]
        return reporters.count(reporter) < MAX_REPORTS_PER_DAEMON

    def _drop_old(self, now_ms: int) -> None:
        while self._reports and now_ms - self._reports[0].at_ms >= WINDOW_MS:
            self._reports.popleft()
