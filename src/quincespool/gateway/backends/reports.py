"""Reports failed calls at a backend server to the other daemons, and applies their reports.

Without these reports, each daemon loses calls of its own at an engine that is down before it avoids
that engine. The symptom is the log line `backend silent` for one backend server at one daemon after
another, for as long as the backend server's entry exists.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from quincespool.gateway.clock import now_ms
from quincespool.gateway.members.messages import BackendReport
from quincespool.gateway.members.messages import read_optional
from quincespool.gateway.members.messages import write_optional
from quincespool.gateway.model import BackendIncarnation
from quincespool.policy.engine_speeds import SpeedSample

if TYPE_CHECKING:
    from collections.abc import Callable

    from quincespool.gateway.backends.backend_table import BackendTable
    from quincespool.gateway.decision_log import DecisionLog
    from quincespool.gateway.model import BackendEntry
    from quincespool.net.metrics import Metrics


class BackendReports:
    """Sends the reports of one daemon and applies the reports of other daemons."""

    def __init__(
        self,
        member_id: str,
        *,
        backends: BackendTable,
        log: DecisionLog,
        metrics: Metrics,
        send: Callable[[BackendReport], None],
    ) -> None:
        self._member_id = member_id
        self._backends = backends
        self._log = log
        self._metrics = metrics
        self._send = send

    def report_failure(self, entry: BackendEntry, reason: str) -> None:
        """Records a failed call of this daemon; reports it if the other daemons would count it.

        Args:
          entry: The backend server.
          reason: The reason to state in the log and the metrics.
        """
        should_report = self._backends.should_report_failure(
            entry.backend_id, self._member_id, now_ms()
        )
        self._record_failure(entry.incarnation, self._member_id, reason)
        if should_report:
            self._send_report(entry, None, reason)

    def report_overdue(self, entry: BackendEntry, late_ms: int) -> None:
        """Records an answer that has not begun in time; if counted, reports it to other daemons.

        Args:
          entry: The backend server.
          late_ms: Milliseconds since the call was sent.
        """
        if self._backends.record_overdue(entry.incarnation, self._member_id, late_ms, now_ms()):
            self._send_report(entry, late_ms, "overdue")

    def take_speed_to_announce(self) -> SpeedSample | None:
        """Returns the engine speed to send in the next heartbeat; None if there is none."""
        return self._backends.take_speed_to_announce()

    def apply_speed(self, backend_id: str, event_ms: float) -> None:
        """Applies an engine speed from another daemon's heartbeat."""
        self._backends.record_reported_speed(SpeedSample(backend_id, event_ms))

    def apply_report(self, sender: str, message: BackendReport) -> None:
        """Applies a report of another daemon."""
        incarnation = BackendIncarnation(message.backend_id, read_optional(message.born_ms))
        late_ms = read_optional(message.late_ms)
        if late_ms is None:
            self._record_failure(incarnation, sender, "told")
        else:
            self._backends.record_overdue(incarnation, sender, late_ms, now_ms())

    def _send_report(self, entry: BackendEntry, late_ms: int | None, reason: str) -> None:
        self._metrics.count("gateway_backend_reports_total", reason=reason)
        born_ms = write_optional(entry.born_ms)
        self._send(BackendReport(entry.backend_id, born_ms, write_optional(late_ms)))

    def _record_failure(self, incarnation: BackendIncarnation, reporter: str, reason: str) -> None:
        hold_ms = self._backends.record_reported_failure(incarnation, reporter, now_ms())
        if hold_ms is None:
            return
        self._metrics.count("gateway_outliers_total")
        self._log.write(
            "backend passed over",
            backend_id=incarnation.backend_id,
            born_ms=incarnation.born_ms,
            last_reporter=reporter,
            last_reason=reason,
            hold_ms=hold_ms,
        )
