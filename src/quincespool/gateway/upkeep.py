"""What a daemon does at intervals: heartbeats, judging silence, forgetting what is over."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quincespool.gateway.clock import now_ms
from quincespool.gateway.clock import wall_ms
from quincespool.policy.silence import BACKEND_SILENCE_MS
from quincespool.policy.silence import HEARTBEAT_INTERVAL_MS
from quincespool.policy.silence import PROBE_AFTER_MS

if TYPE_CHECKING:
    from quincespool.gateway.backends.quiet import QuietBackends
    from quincespool.gateway.members.links import Links
    from quincespool.gateway.members.presence import Presence
    from quincespool.gateway.members.table import Members
    from quincespool.gateway.store.beliefs import Beliefs
    from quincespool.gateway.ticker import Ticker
    from quincespool.gateway.turns.ownership import Ownership
    from quincespool.gateway.turns.renewal import Renewals
    from quincespool.gateway.turns.runner import TurnRunner
    from quincespool.gateway.turns.trimming import Trimming

# Between two looks at a peer that is silent; a small part of the time for which it may be.
SILENCE_CHECK_MS = 50
UPKEEP_INTERVAL_MS = 250
EXPIRY_INTERVAL_MS = 2_000
# Programs are forgotten this long after they can no longer be continued: clocks of daemons differ
# by some seconds, and no turn lasts longer.
LEDGER_GRACE_MS = 30_000


class Upkeep:
    """The interval work of one daemon."""

    def __init__(
        self,
        *,
        beliefs: Beliefs,
        presence: Presence,
        members: Members,
        links: Links,
        ownership: Ownership,
        turns: TurnRunner,
        quiet_backends: QuietBackends,
        renewals: Renewals,
        trimming: Trimming,
    ) -> None:
        self._beliefs = beliefs
        self._presence = presence
        self._members = members
        self._links = links
        self._ownership = ownership
        self._turns = turns
        self._quiet_backends = quiet_backends
        self._renewals = renewals
        self._trimming = trimming

    def subscribe(self, ticker: Ticker) -> None:
        """Has the work done at its intervals."""
        ticker.every(lambda: HEARTBEAT_INTERVAL_MS, self._presence.beat)
        ticker.every(self._daemon_silence_ms, self._presence.judge_silence)
        ticker.every(self._backend_silence_ms, self._quiet_backends.check)
        ticker.every(lambda: UPKEEP_INTERVAL_MS, self._keep_up)
        ticker.every(lambda: EXPIRY_INTERVAL_MS, self._expire)
        ticker.every(self._renewal_interval_ms, self._renew)

    def _daemon_silence_ms(self) -> int:
        due_ms = self._members.silence_due_ms(now_ms())
        return max(SILENCE_CHECK_MS, min(due_ms, PROBE_AFTER_MS))

    def _backend_silence_ms(self) -> int:
        return max(SILENCE_CHECK_MS, min(self._quiet_backends.due_ms(), BACKEND_SILENCE_MS))

    def _renewal_interval_ms(self) -> int:
        return min(EXPIRY_INTERVAL_MS, self._renewals.interval_ms)

    def _keep_up(self) -> None:
        self._beliefs.expire()
        self._presence.follow_isolation()
        for daemon in self._members.others:
            if self._members.is_alive(daemon.member_id, now_ms()):
                self._links.trust(daemon.peer_address)
            else:
                self._links.doubt(daemon.peer_address)

    def _expire(self) -> None:
        for owned in self._ownership.owned.values():
            owned.expire(wall_ms(), steady_ms=now_ms(), grace_ms=LEDGER_GRACE_MS)
            self._trimming.trim(owned)
        self._ownership.end_retired()
        self._turns.forget_programs()

    def _renew(self) -> None:
        partitions = list(self._ownership.owned.values())
        for owned in partitions:
            self._renewals.renew(owned, wall_ms=wall_ms(), now_ms=now_ms())
        self._renewals.forget_others({one for owned in partitions for one in owned.ledger.programs})
