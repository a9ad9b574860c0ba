"""Table of the daemons: their entries, whether they are alive, and the partitions they own."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING
from typing import NamedTuple

from quincespool.gateway.store.interface import Partition
from quincespool.policy.silence import HEARTBEAT_INTERVAL_MS
from quincespool.policy.silence import PEER_TIMEOUT_MS
from quincespool.policy.silence import PROBE_AFTER_MS
from quincespool.policy.silence import FailureDetector
from quincespool.stable_hash import stable_hash

if TYPE_CHECKING:
    from quincespool.gateway.members.messages import Heartbeat
    from quincespool.gateway.members.messages import PartitionClaim
    from quincespool.gateway.model import Daemon

# Number of daemons that each heartbeat goes to, so that the cost for one daemon does not grow with
# the group: it receives 50 datagrams a second at any size, half a percent of a core at 90 us each.
# In groups of up to this many others, every daemon gets every heartbeat.
HEARTBEAT_FANOUT = 10
# In larger groups, this many next daemons in the ring get every heartbeat and notify all others
# when heartbeats stop. A host seldom falls silent together with all three, as the order of the ring
# does not depend on zones.
WATCHER_COUNT = 3
# The other daemons get a heartbeat once a round. Three missed rounds are unlikely to be chance;
# this limit is the fallback for a silence that no watcher could report.
MAX_MISSED_ROUNDS = 3
# A daemon with a new entry counts as alive for as long as its first heartbeats may take.
NEW_ENTRY_GRACE_MS = 3_000
# Maximum number of addresses that callers use from one answer of the directory.
MAX_ADDRESSES = 64
# If a caller's zone has at least this many daemons, only their addresses are returned, as
# traffic between zones is charged. Otherwise addresses of all zones are returned, so that few
# callers are left without another address when some daemons are killed.
MIN_ZONE_ADDRESSES = 8
# A process takes longer than this to end and start again.
MIN_RESTART_MS = 500
# Longer than any time for which a silent daemon still counts as alive.
SUSPICION_MS = 3_600_000


class _ReceivedHeartbeat(NamedTuple):
    received_ms: int
    heartbeat: Heartbeat


class MemberTable:
    """The daemons, from their entries in the store and from their heartbeats.

    Attributes:
      entries: By member id, this daemon included.
      heartbeat_round_ms: Time within which every other daemon gets at least one heartbeat from
        this daemon.
    """

    def __init__(self, member_id: str) -> None:
        self.entries: dict[str, Daemon] = {}
        self.heartbeat_round_ms = HEARTBEAT_INTERVAL_MS
        self._member_id = member_id
        self._last_heartbeats: dict[str, _ReceivedHeartbeat] = {}
        # Epochs by claimed partition and member id, from the newest heartbeats.
        self._claims: dict[tuple[str, int], dict[str, int]] = {}
        # The highest epoch claimed so far for each partition, with its member id.
        self._highest_claims: dict[Partition, tuple[int, str]] = {}
        self._entry_received_ms: dict[str, int] = {}
        # The other daemons, starting with the one after this daemon in the ring.
        self._ring: list[Daemon] = []
        self._watched: frozenset[str] = frozenset()
        self._last_received_ms = 0
        self._next_target = 0
        self._silence_watch = FailureDetector()

    @property
    def others(self) -> list[Daemon]:
        """All daemons but this one."""
        return list(self._ring)

    def put(self, daemon: Daemon, now_ms: int) -> bool:
        """Stores an entry; returns whether it has changed.

        The order of the store decides which entry is the newest. Incarnations can't, as they are
        times of day: a daemon that restarts after its clock was set back has a lower one.
        """
        if self.entries.get(daemon.member_id) == daemon:
            return False
        self.entries[daemon.member_id] = daemon
        self._entry_received_ms[daemon.member_id] = now_ms
        self._update_ring()
        return True

    def remove(self, member_id: str) -> None:
        """Removes a daemon that has left the group for good."""
        self.entries.pop(member_id, None)
        self._last_heartbeats.pop(member_id, None)
        self._record_claims(member_id, ())
        self._update_ring()

    def record_heartbeat(self, member_id: str, heartbeat: Heartbeat, now_ms: int) -> bool:
        """Records a heartbeat; returns whether it is newer than the last one of its sender."""
        latest = self._last_heartbeats.get(member_id)
        if latest is not None:
            if heartbeat.incarnation == latest.heartbeat.incarnation:
                if heartbeat.sequence <= latest.heartbeat.sequence:
                    return False
            elif (
                not self._is_current(member_id, heartbeat)
                and now_ms - latest.received_ms < MIN_RESTART_MS
            ):
                # Sent before the daemon restarted, and delayed in the network.
                return False
        if latest is None or latest.heartbeat.claims != heartbeat.claims:
            self._record_claims(member_id, heartbeat.claims)
        self._record_epochs(member_id, heartbeat.retired_claims)
        self._last_heartbeats[member_id] = _ReceivedHeartbeat(now_ms, heartbeat)
        self._last_received_ms = max(self._last_received_ms, now_ms)
        return True

    def heartbeat_targets(self) -> list[Daemon]:
        """Returns the receivers of the next heartbeat: watchers, and some others in rotation."""
        if not self._is_large:
            return self.others
        watchers, rest = self._ring[:WATCHER_COUNT], self._ring[WATCHER_COUNT:]
        first = self._next_target % len(rest)
        self._next_target = first + HEARTBEAT_FANOUT - WATCHER_COUNT
        rotation = (rest + rest)[first : self._next_target]
        return watchers + rotation

    def check_silence(self, now_ms: int) -> tuple[list[Daemon], list[Daemon]]:
        """Returns the watched daemons to ask for a heartbeat, and those considered crashed.

        Only watched daemons are checked: heartbeats of the others arrive too seldom to notice
        silence soon. The crashed daemons are returned with the incarnation of their last heartbeat
        and count as silent from now on.
        """
        verdict = self._silence_watch.check(self._watched_received_ms(), now_ms)
        crashed = [
            self.entries[name]._replace(
                incarnation=self._last_heartbeats[name].heartbeat.incarnation
            )
            for name in verdict.failed
        ]
        for name in verdict.failed:
            self.suspect(name)
        return [self.entries[name] for name in verdict.to_probe], crashed

    def silence_check_due_in_ms(self, now_ms: int) -> int:
        """Returns the time in ms until `check_silence` may find a daemon without new heartbeats."""
        return self._silence_watch.next_check_in_ms(self._watched_received_ms(), now_ms)

    def _watched_received_ms(self) -> dict[str, int]:
        return {
            name: self._last_heartbeats[name].received_ms
            for name in self._watched
            if name in self._last_heartbeats and not self.is_draining(name)
        }

    def watched_daemon_at(self, peer_address: str) -> Daemon | None:
        """Returns the watched daemon at an address; None if there is none or it is draining.

        It is returned with the incarnation of its last heartbeat.
        """
        for name in self._watched:
            daemon, latest = self.entries[name], self._last_heartbeats.get(name)
            if (
                daemon.peer_address == peer_address
                and latest is not None
                and not latest.heartbeat.draining
            ):
                return daemon._replace(incarnation=latest.heartbeat.incarnation)
        return None

    def record_silence_notice(
        self, member_id: str, incarnation: int, now_ms: int, *, told_by: str
    ) -> bool:
        """Handles a notice that a daemon is silent; returns whether it is now suspected.

        A watcher's notice is ignored if this daemon has received a heartbeat of the reported daemon
        recently, as the watcher itself may be cut off. The reported daemon gets the notice as well
        and answers with a heartbeat to all daemons. A daemon that says so of itself has ended.
        """
        latest = self._last_heartbeats.get(member_id)
        if latest is None or latest.heartbeat.incarnation != incarnation:
            return False
        was_heard = told_by != member_id and now_ms - latest.received_ms < PROBE_AFTER_MS
        if was_heard or not self.is_alive(member_id, now_ms):
            return False
        self.suspect(member_id)
        return True

    def _is_current(self, member_id: str, heartbeat: Heartbeat) -> bool:
        entry = self.entries.get(member_id)
        return entry is not None and entry.incarnation == heartbeat.incarnation

    def is_alive(self, member_id: str, now_ms: int) -> bool:
        """Whether a heartbeat of a daemon, or its new entry, is recent enough."""
        latest = self._last_heartbeats.get(member_id)
        if latest is not None:
            return now_ms - latest.received_ms < self._silence_limit_ms(member_id)
        return now_ms - self._entry_received_ms.get(member_id, 0) < NEW_ENTRY_GRACE_MS

    def serves(self, daemon: Daemon, now_ms: int) -> bool:
        """Whether a daemon is alive and not draining."""
        alive = self.is_alive(daemon.member_id, now_ms)
        return alive and not self.is_draining(daemon.member_id)

    def suspect(self, member_id: str) -> None:
        """Treats an unreachable daemon as not alive until its next heartbeat.

        In large groups heartbeats are rare, and a turn for a crashed owner would try the same dead
        address repeatedly until enough heartbeats are missed.
        """
        latest = self._last_heartbeats.get(member_id)
        if latest is not None:
            self._last_heartbeats[member_id] = latest._replace(received_ms=-SUSPICION_MS)

    def is_draining(self, member_id: str) -> bool:
        """Whether a daemon has announced that it is stopping."""
        latest = self._last_heartbeats.get(member_id)
        return latest is not None and latest.heartbeat.draining

    def is_isolated(self, now_ms: int) -> bool:
        """Whether there are other daemons and no heartbeats arrive from any of them."""
        others = self.others
        if not others or now_ms - self._last_received_ms < PEER_TIMEOUT_MS:
            return False
        unheard = [one.member_id for one in others if one.member_id not in self._last_heartbeats]
        return not any(self.is_alive(member_id, now_ms) for member_id in unheard)

    def owner(self, partition: Partition, now_ms: int) -> tuple[Daemon, int] | None:
        """Returns the daemon that claims a partition under the highest epoch, and that epoch."""
        highest: tuple[Daemon, int] | None = None
        for member_id, epoch in self._claims.get(partition, {}).items():
            daemon = self.entries.get(member_id)
            if daemon is None or not self.is_alive(member_id, now_ms):
                continue
            if highest is None or epoch > highest[1]:
                highest = (daemon, epoch)
        return highest

    def writer(self, partition: Partition, now_ms: int) -> tuple[Daemon, int] | None:
        """Returns the present or last owner of a partition, which can append to it, and its epoch.

        An owner that is stopping no longer claims the partition, but appends until another
        daemon claims it.
        """
        owner = self.owner(partition, now_ms)
        epoch, member_id = self._highest_claims.get(partition, (-1, ""))
        last = self.entries.get(member_id)
        if last is None or not self.is_alive(member_id, now_ms):
            return owner
        return owner if owner is not None and owner[1] >= epoch else (last, epoch)

    def highest_epoch(self, partition: Partition) -> int:
        """Returns the highest epoch that any other daemon has claimed a partition under, or -1."""
        epoch, _ = self._highest_claims.get(partition, (-1, ""))
        return epoch

    def caller_addresses(self, now_ms: int, *, own_serves: bool, zone: str = "") -> list[str]:
        """Returns the addresses that callers of a zone should use."""
        serving = self._serving(now_ms, own_serves=own_serves)
        same_zone = [daemon for daemon in serving if daemon.zone == zone]
        chosen = same_zone if len(same_zone) >= MIN_ZONE_ADDRESSES else serving
        return [daemon.caller_address for daemon in chosen[:MAX_ADDRESSES]]

    def _serving(self, now_ms: int, *, own_serves: bool) -> list[Daemon]:
        """Returns the daemons that accept callers, in an order that differs between daemons."""
        isolated = self.is_isolated(now_ms)
        own = self.entries.get(self._member_id)
        serving = [own] if own is not None and own_serves and not isolated else []
        for daemon in self._ring:
            alive = isolated or self.is_alive(daemon.member_id, now_ms)
            if alive and not self.is_draining(daemon.member_id):
                serving.append(daemon)
        return serving

    def _record_claims(self, member_id: str, claims: tuple[PartitionClaim, ...]) -> None:
        """Indexes the claims of a daemon by partition.

        Every call looks up an owner, and heartbeats seldom change one. A search through the claims
        of all daemons would take longer the more daemons there are.
        """
        for claimants in self._claims.values():
            claimants.pop(member_id, None)
        for claim in claims:
            partition = Partition(claim.topic, claim.number)
            self._claims.setdefault(partition, {})[member_id] = claim.epoch
        self._record_epochs(member_id, claims)

    def _record_epochs(self, member_id: str, claims: tuple[PartitionClaim, ...]) -> None:
        for claim in claims:
            partition = Partition(claim.topic, claim.number)
            last = self._highest_claims.get(partition, (-1, ""))
            self._highest_claims[partition] = max(last, (claim.epoch, member_id))

    @property
    def _is_large(self) -> bool:
        return len(self._ring) > HEARTBEAT_FANOUT

    def _update_ring(self) -> None:
        """Sorts the other daemons into the order of the ring, which is the same at every daemon.

        Daemons are ordered by the hash of their ids, so that neighbours are seldom in one zone and
        seldom fail together.
        """
        own = stable_hash(self._member_id)
        others = [one for one in self.entries.values() if one.member_id != self._member_id]
        places = [(stable_hash(one.member_id), one) for one in others]
        places.sort(key=lambda place: (place[0] <= own, place[0]))
        self._ring = [one for _, one in places]
        heartbeat_count = math.ceil(
            (len(self._ring) - WATCHER_COUNT) / (HEARTBEAT_FANOUT - WATCHER_COUNT)
        )
        self.heartbeat_round_ms = HEARTBEAT_INTERVAL_MS * (heartbeat_count if self._is_large else 1)
        self._watched = frozenset(one.member_id for one in self._ring[-WATCHER_COUNT:])

    def _silence_limit_ms(self, member_id: str) -> int:
        if not self._is_large or member_id in self._watched:
            return PEER_TIMEOUT_MS
        return max(PEER_TIMEOUT_MS, MAX_MISSED_ROUNDS * self.heartbeat_round_ms)
