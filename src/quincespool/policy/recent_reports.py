"""What daemons have told one another lately, and whether one more report is worth sending.

Who reports stops as soon as the others know enough: what is sent does not grow with the calls, and
with the number of daemons only as each report goes to all of them.
"""

from __future__ import annotations

from collections import Counter
from collections import deque
from typing import NamedTuple

# Long enough for three calls at a backend server that takes a few each second, short enough that
# chance failures don't add up.
WINDOW_MS = 1_500
# Of one daemon on one backend server, so that two at least must agree on it: one that is cut off
# finds fault with everybody.
MOST_OF_ONE_DAEMON = 2
# Reports in a window after which nobody tells more. It bounds what a daemon receives to a third of
# a percent of a core at 100 us each, and leaves room for ten outliers at once.
MOST_REPORTS = 48


class _Report(NamedTuple):
    at_ms: int
    backend_id: str
    reporter: str


class RecentReports:
    """Reports of all daemons within the last window."""

    def __init__(self) -> None:
        self._reports: deque[_Report] = deque(maxlen=2 * MOST_REPORTS)

    def add(self, backend_id: str, reporter: str, now_ms: int) -> bool:
        """Takes a report in; returns whether it counts beside the others of this daemon."""
        self._drop_old(now_ms)
        if not self._is_new(backend_id, reporter):
            return False
        self._reports.append(_Report(now_ms, backend_id, reporter))
        return True

    def has_room(self, backend_id: str, reporter: str, now_ms: int) -> bool:
        """Whether one more report of this daemon would be taken in and is within the bound."""
        self._drop_old(now_ms)
        return len(self._reports) < MOST_REPORTS and self._is_new(backend_id, reporter)

    def counts(self) -> Counter[str]:
        """Returns the number of reports by backend server, as of the last addition."""
        return Counter(one.backend_id for one in self._reports)

    def forget(self, backend_id: str) -> None:
        """Drops the reports on a backend server."""
        kept = [one for one in self._reports if one.backend_id != backend_id]
        self._reports.clear()
        self._reports.extend(kept)

    def _is_new(self, backend_id: str, reporter: str) -> bool:
        told = [one.reporter for one in self._reports if one.backend_id == backend_id]
        return told.count(reporter) < MOST_OF_ONE_DAEMON

    def _drop_old(self, now_ms: int) -> None:
        while self._reports and now_ms - self._reports[0].at_ms >= WINDOW_MS:
            self._reports.popleft()
