"""Tells the other daemons of calls that go wrong at a backend server, and takes in what they tell.

What goes wrong without it: an engine goes dark, and each daemon loses calls of its own there before
it believes so. One notices `backend silent` for one backend server at one daemon after the other,
for as long as its entry stands.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from quincespool.gateway.clock import now_ms
from quincespool.gateway.members.messages import BackendReport
from quincespool.gateway.members.messages import read_optional
from quincespool.gateway.members.messages import write_optional
from quincespool.gateway.model import BackendLife
from quincespool.policy.engine_speeds import SpeedSample

if TYPE_CHECKING:
    from collections.abc import Callable

    from quincespool.gateway.backends.table import Backends
    from quincespool.gateway.decision_log import DecisionLog
    from quincespool.gateway.model import BackendEntry
    from quincespool.net.metrics import Metrics


class BackendReports:
    """Reports of one daemon and of the others."""

    def __init__(
        self,
        member_id: str,
        *,
        backends: Backends,
        log: DecisionLog,
        metrics: Metrics,
        send: Callable[[BackendReport], None],
    ) -> None:
        self._member_id = member_id
        self._backends = backends
        self._log = log
        self._metrics = metrics
        self._send = send

    def report(self, entry: BackendEntry, reason: str) -> None:
        """Takes note of a call of this daemon that went wrong, and tells the others if it helps."""
        tell = self._backends.is_failure_worth_telling(entry.backend_id, self._member_id, now_ms())
        self._note(entry.life, self._member_id, reason)
        if tell:
            self._tell(entry, None, reason)

    def report_late(self, entry: BackendEntry, late_ms: int) -> None:
        """Takes note of an answer that should have begun, and tells the others if it helps."""
        if self._backends.note_late(entry.life, self._member_id, late_ms, now_ms()):
            self._tell(entry, late_ms, "overdue")

    def take_speed_to_tell(self) -> SpeedSample | None:
        """Returns what a heartbeat is to tell of an engine's speed; None if nothing."""
        return self._backends.take_speed_to_tell()

    def hear_speed(self, backend_id: str, event_ms: float) -> None:
        """Takes in what a heartbeat tells of an engine's speed."""
        self._backends.hear_speed(SpeedSample(backend_id, event_ms))

    def hear(self, sender: str, told: BackendReport) -> None:
        """Takes in what another daemon tells."""
        life = BackendLife(told.backend_id, read_optional(told.born_ms))
        late_ms = read_optional(told.late_ms)
        if late_ms is None:
            self._note(life, sender, "told")
        else:
            self._backends.note_late(life, sender, late_ms, now_ms())

    def _tell(self, entry: BackendEntry, late_ms: int | None, reason: str) -> None:
        self._metrics.count("gateway_backend_reports_total", reason=reason)
        born_ms = write_optional(entry.born_ms)
        self._send(BackendReport(entry.backend_id, born_ms, write_optional(late_ms)))

    def _note(self, life: BackendLife, reporter: str, reason: str) -> None:
        hold_ms = self._backends.note_failure(life, reporter, now_ms())
        if hold_ms is None:
            return
        self._metrics.count("gateway_outliers_total")
        self._log.write(
            "backend passed over",
            backend_id=life.backend_id,
            born_ms=life.born_ms,
            last_reporter=reporter,
            last_reason=reason,
            hold_ms=hold_ms,
        )
