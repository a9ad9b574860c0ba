"""Which daemons there are, which of them answer, and who owns which partition."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

if TYPE_CHECKING:
    from quincespool.gateway.messages import Heartbeat
    from quincespool.gateway.model import Daemon
    from quincespool.gateway.store import Partition

# Heartbeats are lost now and then; five missed in a row are not chance.
MISSED_BEATS = 5
# With more daemons each one beats less often, so that what a daemon receives stays the same.
BEAT_MS = 200
BEAT_MS_PER_DAEMON = 6
# A daemon whose entry is fresh counts as alive until its first heartbeats should have come.
ARRIVAL_GRACE_MS = 3_000


# A process needs longer than this to end and start again.
RESTART_MS = 500
# Longer than any time for which a silent daemon counts as alive.
SUSPICION_MS = 3_600_000


class _Seen(NamedTuple):
    heard_ms: int
    beat: Heartbeat


class Members:
    """The daemons, from their entries in the store and from their heartbeats."""

    def __init__(self, member_id: str) -> None:
        self.entries: dict[str, Daemon] = {}
        self._member_id = member_id
        self._seen: dict[str, _Seen] = {}
        self._entered_ms: dict[str, int] = {}

    @property
    def beat_interval_ms(self) -> int:
        """How often each daemon sends its heartbeat."""
        return max(BEAT_MS, BEAT_MS_PER_DAEMON * len(self.entries))

    @property
    def others(self) -> list[Daemon]:
        """All daemons but this one."""
        return [one for one in self.entries.values() if one.member_id != self._member_id]

    def put(self, daemon: Daemon, now_ms: int) -> bool:
        """Takes an entry in; returns whether it is news.

        The store's order decides which entry is the newest. Incarnations are times of day: a daemon
        that starts again after its clock was set back has a lower one.
        """
        if self.entries.get(daemon.member_id) == daemon:
            return False
        self.entries[daemon.member_id] = daemon
        self._entered_ms[daemon.member_id] = now_ms
        return True

    def remove(self, member_id: str) -> None:
        """Forgets a daemon that has left for good."""
        self.entries.pop(member_id, None)
        self._seen.pop(member_id, None)

    def hear(self, member_id: str, beat: Heartbeat, now_ms: int) -> bool:
        """Takes a heartbeat in; returns whether it is newer than the last one."""
        seen = self._seen.get(member_id)
        if seen is not None:
            if beat.incarnation == seen.beat.incarnation:
                if beat.sequence <= seen.beat.sequence:
                    return False
            elif not self._is_current(member_id, beat) and now_ms - seen.heard_ms < RESTART_MS:
                # Delayed on its way, from before the daemon's restart.
                return False
        self._seen[member_id] = _Seen(now_ms, beat)
        return True

    def _is_current(self, member_id: str, beat: Heartbeat) -> bool:
        entry = self.entries.get(member_id)
        return entry is not None and entry.incarnation == beat.incarnation

    def is_alive(self, member_id: str, now_ms: int) -> bool:
        """Whether a daemon was heard of lately."""
        seen = self._seen.get(member_id)
        if seen is not None:
            return now_ms - seen.heard_ms < MISSED_BEATS * self.beat_interval_ms
        return now_ms - self._entered_ms.get(member_id, 0) < ARRIVAL_GRACE_MS

    def suspect(self, member_id: str) -> None:
        """Takes note that a daemon could not be reached; its next heartbeat clears it.

        With many daemons heartbeats are rare; a turn for a dead owner would meet the same dead
        address again and again until enough of them are missed.
        """
        seen = self._seen.get(member_id)
        if seen is not None:
            self._seen[member_id] = seen._replace(heard_ms=-SUSPICION_MS)

    def is_draining(self, member_id: str) -> bool:
        """Whether a daemon has said that it is stopping."""
        seen = self._seen.get(member_id)
        return seen is not None and seen.beat.draining

    def is_isolated(self, now_ms: int) -> bool:
        """Whether none of the other daemons is heard although there are some."""
        others = self.others
        return bool(others) and not any(self.is_alive(one.member_id, now_ms) for one in others)

    def owner(self, partition: Partition, now_ms: int) -> tuple[Daemon, int] | None:
        """Returns the daemon that claims a partition under the highest epoch, and that epoch."""
        best: tuple[Daemon, int] | None = None
        for member_id, seen in self._seen.items():
            daemon = self.entries.get(member_id)
            if daemon is None or not self.is_alive(member_id, now_ms):
                continue
            for claim in seen.beat.claims:
                if (claim.topic, claim.number) != partition:
                    continue
                if best is None or claim.epoch > best[1]:
                    best = (daemon, claim.epoch)
        return best

    def caller_addresses(self, now_ms: int, *, own_serves: bool) -> list[str]:
        """Returns the addresses that callers should use."""
        isolated = self.is_isolated(now_ms)
        addresses = []
        for daemon in self.entries.values():
            if daemon.member_id == self._member_id:
                serves = own_serves and not isolated
            else:
                alive = isolated or self.is_alive(daemon.member_id, now_ms)
                serves = alive and not self.is_draining(daemon.member_id)
            if serves:
                addresses.append(daemon.caller_address)
        return addresses
