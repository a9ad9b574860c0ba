"""Which backend servers are passed over for a while because calls there go wrong.

Answers backend servers that crash, fall silent or fail part of their calls while load goes on. Each
daemon judges by its own calls, and all together by what they tell one another: among hundreds of
daemons each one sends a backend server a call every few seconds, so that alone each would pay for
the same fault again, and would hardly ever see two failures in a row.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from quincespool.policy.recent_reports import RecentReports

if TYPE_CHECKING:
    from collections.abc import Collection

# First pause after a failure that may be the backend server's; doubles with each further one.
FIRST_EJECTION_MS = 500
MAX_EJECTION_MS = 4_000
# Failures in a row after which a backend server is passed over. One broken answer in fifty is
# usual on a bad day, two in a row from a sound backend server are not.
FAILURES_TO_EJECT = 2

# Reports within the window that make an outlier. Where one answer in twenty is lost everywhere, a
# backend server that takes ten calls a second gets three in one window once in twenty-five.
REPORTS_NEEDED = 3
# How many times the reports of the middle one of its service an outlier has at least: what befalls
# most of them at once, as a burst does, is no fault of the one.
OUTLIER_FACTOR = 3
# An outlier is tried again after this long; calls that meet the same fault once more double it. A
# crashed process that starts again is known by its new life and need not wait.
FIRST_HOLD_MS = 2_000
MAX_HOLD_MS = 4_000
# A fault this long after the last hold is a new one.
HOLD_MEMORY_MS = 8_000


class _Health(NamedTuple):
    failures: int
    ejected_until_ms: int


class OwnFailures:
    """What one daemon's own calls say of each backend server."""

    def __init__(self) -> None:
        self._health: dict[str, _Health] = {}

    def succeeded(self, backend_id: str) -> None:
        """Takes note of a sound answer."""
        self._health.pop(backend_id, None)

    def failed(self, backend_id: str, now_ms: int, *, unreachable: bool) -> bool:
        """Takes note of a failure; returns whether the backend server is ejected for it."""
        known = self._health.get(backend_id)
        failures = (known.failures if known is not None else 0) + 1
        if failures < FAILURES_TO_EJECT and not unreachable:
            self._health[backend_id] = _Health(failures, 0)
            return False
        doublings = max(0, failures - FAILURES_TO_EJECT)
        pause_ms = min(MAX_EJECTION_MS, FIRST_EJECTION_MS << min(doublings, 8))
        self._health[backend_id] = _Health(failures, now_ms + pause_ms)
        return True

    def is_ejected(self, backend_id: str, now_ms: int) -> bool:
        """Whether it is passed over."""
        health = self._health.get(backend_id)
        return health is not None and now_ms < health.ejected_until_ms

    def forget(self, backend_id: str) -> None:
        """Drops what is known of a backend server that is gone."""
        self._health.pop(backend_id, None)


class _Hold(NamedTuple):
    until_ms: int
    lasts_ms: int


class SharedFailures:
    """What all daemons tell of calls that fail."""

    def __init__(self) -> None:
        self._reports = RecentReports()
        self._holds: dict[str, _Hold] = {}

    def is_outlier(self, backend_id: str, now_ms: int) -> bool:
        """Whether it is passed over."""
        hold = self._holds.get(backend_id)
        return hold is not None and now_ms < hold.until_ms

    def is_worth_telling(self, backend_id: str, reporter: str, now_ms: int) -> bool:
        """Whether a report of this daemon changes anything at the others."""
        if self.is_outlier(backend_id, now_ms):
            return False
        return self._reports.has_room(backend_id, reporter, now_ms)

    def note(
        self, backend_id: str, reporter: str, *, group: Collection[str], now_ms: int
    ) -> int | None:
        """Takes a report in; returns how long the backend server is held for it, None if not.

        Args:
          backend_id: Where the call went wrong.
          reporter: The daemon that sent it.
          group: All backend servers of its service.
          now_ms: Steady clock.
        """
        if self.is_outlier(backend_id, now_ms):
            return None
        if not self._reports.add(backend_id, reporter, now_ms):
            return None
        if not self._stands_out(backend_id, group, now_ms):
            return None
        hold = self._next_hold(backend_id, now_ms)
        self._holds[backend_id] = hold
        return hold.lasts_ms

    def forget(self, backend_id: str) -> None:
        """Drops what was told of a backend server that is gone, or has started again."""
        self._holds.pop(backend_id, None)
        self._reports.forget(backend_id)

    def _stands_out(self, backend_id: str, group: Collection[str], now_ms: int) -> bool:
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
        middle = others[(len(others) - 1) // 2]
        return counts[backend_id] >= OUTLIER_FACTOR * middle

    def _next_hold(self, backend_id: str, now_ms: int) -> _Hold:
        last = self._holds.get(backend_id)
        if last is None or now_ms - last.until_ms > HOLD_MEMORY_MS:
            lasts_ms = FIRST_HOLD_MS
        else:
            lasts_ms = min(MAX_HOLD_MS, 2 * last.lasts_ms)
        return _Hold(now_ms + lasts_ms, lasts_ms)
