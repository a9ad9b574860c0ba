"""Who lives, and who owns what."""

from __future__ import annotations

from quincespool.gateway.members.messages import Heartbeat
from quincespool.gateway.members.messages import PartitionClaim
from quincespool.gateway.members.table import ARRIVAL_GRACE_MS
from quincespool.gateway.members.table import BEAT_FANOUT
from quincespool.gateway.members.table import MAX_ADDRESSES
from quincespool.gateway.members.table import MIN_NEAR_ADDRESSES
from quincespool.gateway.members.table import WATCHERS
from quincespool.gateway.members.table import Members
from quincespool.gateway.model import Daemon
from quincespool.gateway.store.interface import Partition
from quincespool.policy.silence import HEARTBEAT_INTERVAL_MS
from quincespool.policy.silence import PEER_TIMEOUT_MS
from quincespool.policy.silence import PROBE_AFTER_MS

PARTITION = Partition("programs.0", 1)


def _daemon(name: str, incarnation: int = 1) -> Daemon:
    return Daemon(name, incarnation, "z", f"{name}:1", f"{name}:2")


def _beat(
    incarnation: int = 1, sequence: int = 1, *, epoch: int = 0, draining: bool = False
) -> Heartbeat:
    claims = (PartitionClaim(*PARTITION, epoch),) if epoch else ()
    return Heartbeat(incarnation, sequence, draining, 0, 0, claims, store_reachable=True)


def _members(*names: str) -> Members:
    members = Members("me")
    for name in ("me", *names):
        members.put(_daemon(name), 0)
    return members


def test_a_silent_daemon_is_not_alive() -> None:
    members = _members("a")
    assert members.is_alive("a", ARRIVAL_GRACE_MS - 1)
    members.hear("a", _beat(), 10_000)

    assert members.is_alive("a", 10_000 + PEER_TIMEOUT_MS - 1)
    assert not members.is_alive("a", 10_000 + PEER_TIMEOUT_MS)


def test_the_highest_epoch_owns() -> None:
    members = _members("a", "b")
    members.hear("a", _beat(epoch=5), 0)
    members.hear("b", _beat(epoch=7), 0)
    owner = members.owner(PARTITION, 0)

    assert owner is not None
    assert owner[0].member_id == "b"


def test_a_daemon_that_restarts_with_its_clock_set_back_is_heard() -> None:
    """Symptom: a restarted host gets no turns, and its partitions stay without owner.

    Events: the clock of a host is set back; its daemon starts again, with a lower incarnation.
    Cause: the lower incarnation was taken for a message from before the restart.
    """
    members = _members("a")
    members.hear("a", _beat(incarnation=100, sequence=50), 1_000)
    members.put(_daemon("a", incarnation=40), 1_200)

    assert members.hear("a", _beat(incarnation=40, sequence=1), 1_300)
    assert not members.hear("a", _beat(incarnation=100, sequence=51), 1_400)


def test_a_suspect_is_alive_again_with_its_next_heartbeat() -> None:
    members = _members("a")
    members.hear("a", _beat(epoch=5), 1_000)
    members.suspect("a")
    assert members.owner(PARTITION, 1_001) is None
    members.hear("a", _beat(sequence=2, epoch=5), 1_002)
    assert members.owner(PARTITION, 1_003) is not None


def test_callers_are_sent_to_those_that_serve() -> None:
    members = _members("a", "b")
    members.hear("a", _beat(), 10_000)
    members.hear("b", _beat(draining=True), 10_000)

    assert members.caller_addresses(10_000, own_serves=True) == ["me:1", "a:1"]
    assert members.caller_addresses(10_000, own_serves=False) == ["a:1"]


def test_callers_are_sent_to_their_own_zone_if_it_has_enough_daemons() -> None:
    members = Members("me")
    for number in range(200):
        zone = "near" if number < MIN_NEAR_ADDRESSES else "far"
        members.put(Daemon(f"d{number}", 1, zone, f"d{number}:1", ""), 0)
    addresses = members.caller_addresses(1, own_serves=True, zone="near")
    assert sorted(addresses) == sorted(f"d{number}:1" for number in range(MIN_NEAR_ADDRESSES))
    assert len(members.caller_addresses(1, own_serves=True, zone="none")) == MAX_ADDRESSES

    members.remove("d0")
    assert len(members.caller_addresses(1, own_serves=True, zone="near")) == MAX_ADDRESSES


def test_an_isolated_daemon_sends_callers_to_the_others() -> None:
    members = _members("a")
    members.hear("a", _beat(), 0)
    assert members.is_isolated(60_000)
    assert members.caller_addresses(60_000, own_serves=True) == ["a:1"]


def _large_group(count: int) -> dict[str, Members]:
    names = [f"d{number}" for number in range(count)]
    group = {name: Members(name) for name in names}
    for members in group.values():
        for name in names:
            members.put(_daemon(name), 0)
    return group


def test_a_small_group_hears_every_heartbeat() -> None:
    members = _large_group(BEAT_FANOUT + 1)["d0"]
    assert len(members.beat_targets()) == BEAT_FANOUT
    assert members.round_ms == HEARTBEAT_INTERVAL_MS


def test_the_cost_of_heartbeats_does_not_grow_with_the_group() -> None:
    """Symptom: with 78 hosts the daemons spend a fifth of their processor time on heartbeats.

    Cause: each one sent every heartbeat to each other one.
    """
    members = _large_group(78)["d0"]
    rounds = [members.beat_targets() for _ in range(members.round_ms // HEARTBEAT_INTERVAL_MS)]
    assert {len(targets) for targets in rounds} == {BEAT_FANOUT}
    assert len({one.member_id for targets in rounds for one in targets}) == 77


def test_a_silence_is_told_by_those_who_watch() -> None:
    """Symptom: a large group sends turns to a dead owner for seconds.

    Events: a host dies; most daemons had its last heartbeat a moment ago and expect none for long.
    Cause: only those who get every heartbeat can tell; they have to tell the others.
    """
    group = _large_group(40)
    for members in group.values():
        members.hear("d7", _beat(), 10_000)
    asked_ms, silent_ms = 10_000 + PROBE_AFTER_MS, 10_000 + PEER_TIMEOUT_MS
    asking = [name for name, members in group.items() if members.judge_silence(asked_ms)[0]]
    told = {name: members.judge_silence(silent_ms)[1] for name, members in group.items()}
    watchers = [name for name, gone in told.items() if gone == [_daemon("d7", 1)]]
    assert len(watchers) == WATCHERS
    assert asking == watchers
    assert all(members.judge_silence(silent_ms)[1] == [] for members in group.values())

    other = next(members for name, members in group.items() if name not in [*watchers, "d7"])
    assert other.is_alive("d7", silent_ms)
    assert other.hear_silence("d7", 1, silent_ms)
    assert not other.is_alive("d7", silent_ms)


def test_a_silence_of_before_a_restart_or_of_one_watcher_only_is_not_believed() -> None:
    """Symptom: a daemon that serves gets no turns until its next heartbeat comes round.

    Events: it restarts, or one of its watchers is cut off from it, and the watcher tells of it.
    """
    members = _large_group(40)["d0"]
    members.hear("d7", _beat(incarnation=2), 10_000)
    assert not members.hear_silence("d7", 1, 10_000 + PEER_TIMEOUT_MS)
    assert not members.hear_silence("d7", 2, 10_000 + PROBE_AFTER_MS - 1)
    assert members.is_alive("d7", 10_000 + PEER_TIMEOUT_MS)


def test_a_daemon_of_a_large_group_that_hears_nobody_is_isolated_within_a_second() -> None:
    members = _large_group(40)["d0"]
    for number in range(1, 40):
        members.hear(f"d{number}", _beat(), 10_000)
    assert not members.is_isolated(10_000 + PEER_TIMEOUT_MS - 1)
    assert members.is_isolated(10_000 + PEER_TIMEOUT_MS)


def test_an_owner_is_the_one_that_claims_a_partition_last() -> None:
    """Claims that are heard no more don't count, and neither do those of a daemon that has left."""
    members = _members("a", "b")
    members.hear("a", _beat(sequence=1, epoch=5), 0)
    members.hear("b", _beat(sequence=1, epoch=6), 0)
    assert members.owner(PARTITION, 0) == (_daemon("b"), 6)

    members.hear("b", _beat(sequence=2), 0)
    assert members.owner(PARTITION, 0) == (_daemon("a"), 5)
    members.remove("a")
    assert members.owner(PARTITION, 0) is None


def test_the_last_owner_writes_until_another_one_claims() -> None:
    members = _members("a", "b")
    members.hear("a", _beat(epoch=5), 0)
    members.hear("b", _beat(epoch=6), 0)
    members.hear("b", _beat(sequence=2, draining=True), 0)
    assert members.owner(PARTITION, 0) == (_daemon("a"), 5)
    assert members.writer(PARTITION, 0) == (_daemon("b"), 6)

    members.hear("a", _beat(sequence=2, epoch=7), 0)
    assert members.writer(PARTITION, 0) == (_daemon("a"), 7)


def test_a_last_owner_that_is_gone_writes_no_more() -> None:
    members = _members("a", "b")
    members.hear("a", _beat(epoch=5), 0)
    members.hear("b", _beat(epoch=6), 0)
    members.suspect("b")
    assert members.writer(PARTITION, 0) == (_daemon("a"), 5)
    members.suspect("a")
    assert members.writer(PARTITION, 0) is None
