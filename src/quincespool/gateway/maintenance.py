"""Periodic tasks of a daemon: heartbeats, failure detection, expiry and renewal of programs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quincespool.gateway.clock import now_ms
from quincespool.gateway.clock import wall_ms
from quincespool.policy.silence import BACKEND_SILENCE_MS
from quincespool.policy.silence import HEARTBEAT_INTERVAL_MS
from quincespool.policy.silence import PROBE_AFTER_MS

if TYPE_CHECKING:
    from quincespool.gateway.backends.quiet import QuietBackendProbe
    from quincespool.gateway.members.links import Links
    from quincespool.gateway.members.member_table import MemberTable
    from quincespool.gateway.members.presence import Presence
    from quincespool.gateway.store.cluster_view import ClusterView
    from quincespool.gateway.ticker import Ticker
    from quincespool.gateway.turns.ownership import Ownership
    from quincespool.gateway.turns.renewal import ProgramRenewer
    from quincespool.gateway.turns.runner import TurnRunner
    from quincespool.gateway.turns.trimming import LogTrimmer

# Minimum interval between checks for silent peers; a small fraction of the tolerated silence.
MIN_CHECK_INTERVAL_MS = 50
MAINTENANCE_INTERVAL_MS = 250
EXPIRY_INTERVAL_MS = 2_000
# Programs are dropped this long after they can no longer be continued: clocks of daemons differ by
# some seconds, and no turn lasts longer.
LEDGER_GRACE_MS = 30_000


class MaintenanceTasks:
    """The periodic tasks of one daemon."""

    def __init__(
        self,
        *,
        cluster_view: ClusterView,
        presence: Presence,
        members: MemberTable,
        links: Links,
        ownership: Ownership,
        turns: TurnRunner,
        quiet_backends: QuietBackendProbe,
        renewals: ProgramRenewer,
        trimming: LogTrimmer,
    ) -> None:
        self._cluster_view = cluster_view
        self._presence = presence
        self._members = members
        self._links = links
        self._ownership = ownership
        self._turns = turns
        self._quiet_backends = quiet_backends
        self._renewals = renewals
        self._trimming = trimming

    def subscribe(self, ticker: Ticker) -> None:
        """Schedules each task at its interval."""
        ticker.every(lambda: HEARTBEAT_INTERVAL_MS, self._beat)
        ticker.every(self._daemon_check_interval_ms, self._presence.check_silence)
        ticker.every(self._backend_check_interval_ms, self._quiet_backends.check)
        ticker.every(lambda: MAINTENANCE_INTERVAL_MS, self._refresh_liveness)
        ticker.every(lambda: EXPIRY_INTERVAL_MS, self._expire)
        ticker.every(self._renewal_interval_ms, self._renew_programs)

    def _beat(self) -> None:
        self._cluster_view.refresh.record_running()
        self._presence.send_heartbeats()

    def _daemon_check_interval_ms(self) -> int:
        due_ms = self._members.silence_check_due_in_ms(now_ms())
        return max(MIN_CHECK_INTERVAL_MS, min(due_ms, PROBE_AFTER_MS))

    def _backend_check_interval_ms(self) -> int:
        return max(
            MIN_CHECK_INTERVAL_MS, min(self._quiet_backends.next_check_in_ms(), BACKEND_SILENCE_MS)
        )

    def _renewal_interval_ms(self) -> int:
        return min(EXPIRY_INTERVAL_MS, self._renewals.interval_ms)

    def _refresh_liveness(self) -> None:
        self._cluster_view.expire()
        self._presence.update_isolation()
        for daemon in self._members.others:
            if self._members.is_alive(daemon.member_id, now_ms()):
                self._links.record_alive(daemon.peer_address)
            else:
                self._links.close_if_dead(daemon.peer_address)

    def _expire(self) -> None:
        for owned in self._ownership.owned.values():
            owned.expire(wall_ms(), steady_ms=now_ms(), grace_ms=LEDGER_GRACE_MS)
            self._trimming.trim(owned)
        self._ownership.close_unused()
        self._turns.evict_programs()

    def _renew_programs(self) -> None:
        partitions = list(self._ownership.owned.values())
        for owned in partitions:
            self._renewals.renew(owned, wall_ms=wall_ms(), now_ms=now_ms())
        self._renewals.retain_only({one for owned in partitions for one in owned.ledger.programs})
