"""Which daemons there are, which of them answer, and who owns which partition."""

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

# How many daemons each heartbeat goes to, so that what one sends and receives does not grow with
# their number: 50 datagrams a second are received whatever the size, half a percent of a core at
# 90 us each. Groups of up to this many and one hear every heartbeat.
BEAT_FANOUT = 10
# Of these, the next ones in the ring get every heartbeat, and tell all others when it stops. Three:
# a host seldom falls silent together with all three, whose places have nothing to do with zones.
WATCHERS = 3
# Of those who get a heartbeat only in their turn, three turns missed are not chance either. That is
# the fallback for a silence that no watcher could tell of.
MISSED_ROUNDS = 3
# A daemon whose entry is fresh counts as alive until its first heartbeats should have come.
ARRIVAL_GRACE_MS = 3_000
# Callers take no more addresses of one answer.
MAX_ADDRESSES = 64
# With so many daemons in a caller's zone, only these are named: traffic between zones is paid for.
# With fewer, those of all zones are, so that a kill of some costs few callers their next address.
MIN_NEAR_ADDRESSES = 8
# A process needs longer than this to end and start again.
RESTART_MS = 500
# Longer than any time for which a silent daemon counts as alive.
SUSPICION_MS = 3_600_000


class _Seen(NamedTuple):
    heard_ms: int
    beat: Heartbeat


class Members:
    """The daemons, from their entries in the store and from their heartbeats.

    Attributes:
      entries: By member id, this daemon included.
      round_ms: Every other daemon gets at least one heartbeat of this one within so long.
    """

    def __init__(self, member_id: str) -> None:
        self.entries: dict[str, Daemon] = {}
        self.round_ms = HEARTBEAT_INTERVAL_MS
        self._member_id = member_id
        self._seen: dict[str, _Seen] = {}
        # Epochs by claimed partition and member id, as last heard.
        self._claims: dict[tuple[str, int], dict[str, int]] = {}
        # The highest claim of each partition so far, with the member id.
        self._last_claims: dict[Partition, tuple[int, str]] = {}
        self._entered_ms: dict[str, int] = {}
        # In the order in which they follow this one in the ring.
        self._ring: list[Daemon] = []
        self._watched: frozenset[str] = frozenset()
        self._heard_ms = 0
        self._next_turn = 0
        self._silence = FailureDetector()

    @property
    def others(self) -> list[Daemon]:
        """All daemons but this one."""
        return list(self._ring)

    def put(self, daemon: Daemon, now_ms: int) -> bool:
        """Takes an entry in; returns whether it is news.

        The store's order decides which entry is the newest. Incarnations are times of day: a daemon
        that starts again after its clock was set back has a lower one.
        """
        if self.entries.get(daemon.member_id) == daemon:
            return False
        self.entries[daemon.member_id] = daemon
        self._entered_ms[daemon.member_id] = now_ms
        self._order()
        return True

    def remove(self, member_id: str) -> None:
        """Forgets a daemon that has left for good."""
        self.entries.pop(member_id, None)
        self._seen.pop(member_id, None)
        self._note_claims(member_id, ())
        self._order()

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
        if seen is None or seen.beat.claims != beat.claims:
            self._note_claims(member_id, beat.claims)
        self._seen[member_id] = _Seen(now_ms, beat)
        self._heard_ms = max(self._heard_ms, now_ms)
        return True

    def beat_targets(self) -> list[Daemon]:
        """Returns who gets the next heartbeat: the watchers, and some others in their turn."""
        if not self._is_large:
            return self.others
        watchers, rest = self._ring[:WATCHERS], self._ring[WATCHERS:]
        first = self._next_turn % len(rest)
        self._next_turn = first + BEAT_FANOUT - WATCHERS
        turn = (rest + rest)[first : self._next_turn]
        return watchers + turn

    def judge_silence(self, now_ms: int) -> tuple[list[Daemon], list[Daemon]]:
        """Returns whom to ask for a heartbeat, and who is gone, of those that this one watches.

        The others get their heartbeats too seldom to notice that soon. Those who are gone bear the
        incarnation that was heard, and count as silent from now on.
        """
        verdict = self._silence.check(self._watched_heard_ms(), now_ms)
        gone = [
            self.entries[name]._replace(incarnation=self._seen[name].beat.incarnation)
            for name in verdict.failed
        ]
        for name in verdict.failed:
            self.suspect(name)
        return [self.entries[name] for name in verdict.to_probe], gone

    def silence_due_ms(self, now_ms: int) -> int:
        """Returns for how long `judge_silence` has nothing to say, if nothing more is heard."""
        return self._silence.next_check_in_ms(self._watched_heard_ms(), now_ms)

    def _watched_heard_ms(self) -> dict[str, int]:
        return {
            name: self._seen[name].heard_ms
            for name in self._watched
            if name in self._seen and not self.is_draining(name)
        }

    def watched_at(self, peer_address: str) -> Daemon | None:
        """Returns the daemon at an address, as heard, if this one watches it and it serves."""
        for name in self._watched:
            daemon, seen = self.entries[name], self._seen.get(name)
            if daemon.peer_address == peer_address and seen is not None and not seen.beat.draining:
                return daemon._replace(incarnation=seen.beat.incarnation)
        return None

    def hear_silence(self, member_id: str, incarnation: int, now_ms: int) -> bool:
        """Takes note that a watcher hears a daemon no more; returns whether that is news here.

        A watcher may be cut off from a daemon that others hear. The daemon in question is told as
        well, and answers with a heartbeat to all.
        """
        seen = self._seen.get(member_id)
        if seen is None or seen.beat.incarnation != incarnation:
            return False
        if now_ms - seen.heard_ms < PROBE_AFTER_MS or not self.is_alive(member_id, now_ms):
            return False
        self.suspect(member_id)
        return True

    def _is_current(self, member_id: str, beat: Heartbeat) -> bool:
        entry = self.entries.get(member_id)
        return entry is not None and entry.incarnation == beat.incarnation

    def is_alive(self, member_id: str, now_ms: int) -> bool:
        """Whether a daemon was heard of lately."""
        seen = self._seen.get(member_id)
        if seen is not None:
            return now_ms - seen.heard_ms < self._silence_limit_ms(member_id)
        return now_ms - self._entered_ms.get(member_id, 0) < ARRIVAL_GRACE_MS

    def serves(self, daemon: Daemon, now_ms: int) -> bool:
        """Whether a daemon was heard of lately and has not said that it is stopping."""
        alive = self.is_alive(daemon.member_id, now_ms)
        return alive and not self.is_draining(daemon.member_id)

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
        """Whether there are other daemons and not a word comes from any of them."""
        others = self.others
        if not others or now_ms - self._heard_ms < PEER_TIMEOUT_MS:
            return False
        unheard = [one.member_id for one in others if one.member_id not in self._seen]
        return not any(self.is_alive(member_id, now_ms) for member_id in unheard)

    def owner(self, partition: Partition, now_ms: int) -> tuple[Daemon, int] | None:
        """Returns the daemon that claims a partition under the highest epoch, and that epoch."""
        best: tuple[Daemon, int] | None = None
        for member_id, epoch in self._claims.get(partition, {}).items():
            daemon = self.entries.get(member_id)
            if daemon is None or not self.is_alive(member_id, now_ms):
                continue
            if best is None or epoch > best[1]:
                best = (daemon, epoch)
        return best

    def writer(self, partition: Partition, now_ms: int) -> tuple[Daemon, int] | None:
        """Returns who can keep records of a partition's turns: its owner, or the last one.

        An owner that stops claims nothing any more and writes until somebody else does.
        """
        owner = self.owner(partition, now_ms)
        epoch, member_id = self._last_claims.get(partition, (-1, ""))
        last = self.entries.get(member_id)
        if last is None or not self.is_alive(member_id, now_ms):
            return owner
        return owner if owner is not None and owner[1] >= epoch else (last, epoch)

    def caller_addresses(self, now_ms: int, *, own_serves: bool, zone: str = "") -> list[str]:
        """Returns the addresses that callers of a zone should use."""
        serving = self._serving(now_ms, own_serves=own_serves)
        near = [daemon for daemon in serving if daemon.zone == zone]
        chosen = near if len(near) >= MIN_NEAR_ADDRESSES else serving
        return [daemon.caller_address for daemon in chosen[:MAX_ADDRESSES]]

    def _serving(self, now_ms: int, *, own_serves: bool) -> list[Daemon]:
        """Returns the daemons that take callers, in an order that differs from daemon to daemon."""
        isolated = self.is_isolated(now_ms)
        own = self.entries.get(self._member_id)
        serving = [own] if own is not None and own_serves and not isolated else []
        for daemon in self._ring:
            alive = isolated or self.is_alive(daemon.member_id, now_ms)
            if alive and not self.is_draining(daemon.member_id):
                serving.append(daemon)
        return serving

    def _note_claims(self, member_id: str, claims: tuple[PartitionClaim, ...]) -> None:
        """Keeps the claims by partition.

        Each call asks for an owner, and heartbeats seldom change one: looked for among the claims
        of all, an owner takes the longer the more daemons there are.
        """
        for claimants in self._claims.values():
            claimants.pop(member_id, None)
        for claim in claims:
            partition = Partition(claim.topic, claim.number)
            self._claims.setdefault(partition, {})[member_id] = claim.epoch
            last = self._last_claims.get(partition, (-1, ""))
            self._last_claims[partition] = max(last, (claim.epoch, member_id))

    @property
    def _is_large(self) -> bool:
        return len(self._ring) > BEAT_FANOUT

    def _order(self) -> None:
        """Puts the others into the order of the ring, which is the same at every daemon.

        It is that of hashes, so that neighbours are seldom of one zone and go down together.
        """
        own = stable_hash(self._member_id)
        others = [one for one in self.entries.values() if one.member_id != self._member_id]
        places = [(stable_hash(one.member_id), one) for one in others]
        places.sort(key=lambda place: (place[0] <= own, place[0]))
        self._ring = [one for _, one in places]
        turns = math.ceil((len(self._ring) - WATCHERS) / (BEAT_FANOUT - WATCHERS))
        self.round_ms = HEARTBEAT_INTERVAL_MS * (turns if self._is_large else 1)
        self._watched = frozenset(one.member_id for one in self._ring[-WATCHERS:])

    def _silence_limit_ms(self, member_id: str) -> int:
        if not self._is_large or member_id in self._watched:
            return PEER_TIMEOUT_MS
        return max(PEER_TIMEOUT_MS, MISSED_ROUNDS * self.round_ms)
