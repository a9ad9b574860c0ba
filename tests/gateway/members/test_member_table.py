"""Tests of the member table: liveness, ownership, addresses and heartbeat targets."""

from __future__ import annotations

from quincespool.gateway.members.member_table import HEARTBEAT_FANOUT
from quincespool.gateway.members.member_table import MAX_ADDRESSES
from quincespool.gateway.members.member_table import MIN_ZONE_ADDRESSES
from quincespool.gateway.members.member_table import NEW_ENTRY_GRACE_MS
from quincespool.gateway.members.member_table import WATCHER_COUNT
from quincespool.gateway.members.member_table import MemberTable
from quincespool.gateway.members.messages import Heartbeat
from quincespool.gateway.members.messages import PartitionClaim
from quincespool.gateway.model import Daemon
from quincespool.gateway.store.interface import Partition
from quincespool.policy.silence import HEARTBEAT_INTERVAL_MS
from quincespool.policy.silence import PEER_TIMEOUT_MS
from quincespool.policy.silence import PROBE_AFTER_MS

PARTITION = Partition("programs.0", 1)


def _daemon(name: str, incarnation: int = 1) -> Daemon:
    return Daemon(name, incarnation, "z", f"{name}:1", f"{name}:2")


def _heartbeat(
    incarnation: int = 1, sequence: int = 1, *, epoch: int = 0, draining: bool = False
) -> Heartbeat:
    claims = (PartitionClaim(*PARTITION, epoch),) if epoch else ()
    return Heartbeat(incarnation, sequence, draining, 0, 0, claims, store_reachable=True)


def _members(*names: str) -> MemberTable:
    members = MemberTable("me")
    for name in ("me", *names):
        members.put(_daemon(name), 0)
    return members


def test_a_silent_daemon_is_not_alive() -> None:
    members = _members("a")
    assert members.is_alive("a", NEW_ENTRY_GRACE_MS - 1)
    members.record_heartbeat("a", _heartbeat(), 10_000)

    assert members.is_alive("a", 10_000 + PEER_TIMEOUT_MS - 1)
    assert not members.is_alive("a", 10_000 + PEER_TIMEOUT_MS)


def test_the_claim_with_the_highest_epoch_wins() -> None:
    members = _members("a", "b")
    members.record_heartbeat("a", _heartbeat(epoch=5), 0)
    members.record_heartbeat("b", _heartbeat(epoch=7), 0)
    owner = members.owner(PARTITION, 0)

    assert owner is not None
    assert owner[0].member_id == "b"


def test_heartbeats_after_a_restart_with_the_clock_set_back_are_accepted() -> None:
    """Guards against a restarted daemon getting no turns and its partitions staying unowned.

    The clock of its host is set back, so the daemon restarts with a lower incarnation. Its
    heartbeats must not be mistaken for delayed heartbeats from before the restart.
    """
    members = _members("a")
    members.record_heartbeat("a", _heartbeat(incarnation=100, sequence=50), 1_000)
    members.put(_daemon("a", incarnation=40), 1_200)

    assert members.record_heartbeat("a", _heartbeat(incarnation=40, sequence=1), 1_300)
    assert not members.record_heartbeat("a", _heartbeat(incarnation=100, sequence=51), 1_400)


def test_a_suspected_daemon_is_alive_again_with_its_next_heartbeat() -> None:
    members = _members("a")
    members.record_heartbeat("a", _heartbeat(epoch=5), 1_000)
    members.suspect("a")
    assert members.owner(PARTITION, 1_001) is None
    members.record_heartbeat("a", _heartbeat(sequence=2, epoch=5), 1_002)
    assert members.owner(PARTITION, 1_003) is not None


def test_callers_are_sent_to_daemons_that_serve() -> None:
    members = _members("a", "b")
    members.record_heartbeat("a", _heartbeat(), 10_000)
    members.record_heartbeat("b", _heartbeat(draining=True), 10_000)

    assert members.caller_addresses(10_000, own_serves=True) == ["me:1", "a:1"]
    assert members.caller_addresses(10_000, own_serves=False) == ["a:1"]


def test_callers_are_sent_to_their_own_zone_if_it_has_enough_daemons() -> None:
    members = MemberTable("me")
    for number in range(200):
        zone = "near" if number < MIN_ZONE_ADDRESSES else "far"
        members.put(Daemon(f"d{number}", 1, zone, f"d{number}:1", ""), 0)
    addresses = members.caller_addresses(1, own_serves=True, zone="near")
    assert sorted(addresses) == sorted(f"d{number}:1" for number in range(MIN_ZONE_ADDRESSES))
    assert len(members.caller_addresses(1, own_serves=True, zone="none")) == MAX_ADDRESSES

    members.remove("d0")
    assert len(members.caller_addresses(1, own_serves=True, zone="near")) == MAX_ADDRESSES


def test_an_isolated_daemon_sends_callers_to_the_others() -> None:
    members = _members("a")
    members.record_heartbeat("a", _heartbeat(), 0)
    assert members.is_isolated(60_000)
    assert members.caller_addresses(60_000, own_serves=True) == ["a:1"]


def _large_group(count: int) -> dict[str, MemberTable]:
    names = [f"d{number}" for number in range(count)]
    group = {name: MemberTable(name) for name in names}
    for members in group.values():
        for name in names:
            members.put(_daemon(name), 0)
    return group


def test_in_a_small_group_every_daemon_gets_every_heartbeat() -> None:
    members = _large_group(HEARTBEAT_FANOUT + 1)["d0"]
    assert len(members.heartbeat_targets()) == HEARTBEAT_FANOUT
    assert members.heartbeat_round_ms == HEARTBEAT_INTERVAL_MS


def test_the_cost_of_heartbeats_does_not_grow_with_the_group() -> None:
    """With 78 hosts, heartbeats from each to all others take a fifth of the processor time."""
    members = _large_group(78)["d0"]
    rounds = [
        members.heartbeat_targets()
        for _ in range(members.heartbeat_round_ms // HEARTBEAT_INTERVAL_MS)
    ]
    assert {len(targets) for targets in rounds} == {HEARTBEAT_FANOUT}
    assert len({one.member_id for targets in rounds for one in targets}) == 77


def test_watchers_notice_silence_and_the_others_accept_their_notice() -> None:
    """Guards against a large group sending turns to a crashed owner for seconds.

    Most daemons get heartbeats of a host seldom and can't notice its crash soon. Only its watchers,
    which get every heartbeat, notice it, and they have to notify the other daemons.
    """
    group = _large_group(40)
    for members in group.values():
        members.record_heartbeat("d7", _heartbeat(), 10_000)
    asked_ms, silent_ms = 10_000 + PROBE_AFTER_MS, 10_000 + PEER_TIMEOUT_MS
    asking = [name for name, members in group.items() if members.check_silence(asked_ms)[0]]
    crashed_by_watcher = {
        name: members.check_silence(silent_ms)[1] for name, members in group.items()
    }
    watchers = [
        name for name, crashed in crashed_by_watcher.items() if crashed == [_daemon("d7", 1)]
    ]
    assert len(watchers) == WATCHER_COUNT
    assert asking == watchers
    assert all(members.check_silence(silent_ms)[1] == [] for members in group.values())

    other = next(members for name, members in group.items() if name not in [*watchers, "d7"])
    assert other.is_alive("d7", silent_ms)
    assert other.record_silence_notice("d7", 1, silent_ms, told_by="d6")
    assert not other.is_alive("d7", silent_ms)


def test_a_notice_of_an_old_incarnation_or_after_a_recent_heartbeat_is_ignored() -> None:
    """Guards against a serving daemon getting no turns until its next periodic heartbeat.

    A watcher reports it as silent, although it has only restarted or the watcher itself is cut off
    from it.
    """
    members = _large_group(40)["d0"]
    members.record_heartbeat("d7", _heartbeat(incarnation=2), 10_000)
    assert not members.record_silence_notice("d7", 1, 10_000 + PEER_TIMEOUT_MS, told_by="d6")
    assert not members.record_silence_notice("d7", 2, 10_000 + PROBE_AFTER_MS - 1, told_by="d6")
    assert members.is_alive("d7", 10_000 + PEER_TIMEOUT_MS)


def test_a_daemon_that_says_that_it_has_ended_is_believed_at_once() -> None:
    """Guards against daemons that stop at the same time waiting for one another's silence."""
    members = _large_group(40)["d0"]
    members.record_heartbeat("d7", _heartbeat(incarnation=2), 10_000)
    assert not members.record_silence_notice("d7", 1, 10_001, told_by="d7")
    assert members.record_silence_notice("d7", 2, 10_001, told_by="d7")
    assert not members.is_alive("d7", 10_001)


def test_a_daemon_of_a_large_group_without_heartbeats_is_isolated_within_a_second() -> None:
    members = _large_group(40)["d0"]
    for number in range(1, 40):
        members.record_heartbeat(f"d{number}", _heartbeat(), 10_000)
    assert not members.is_isolated(10_000 + PEER_TIMEOUT_MS - 1)
    assert members.is_isolated(10_000 + PEER_TIMEOUT_MS)


def test_withdrawn_claims_and_removed_daemons_own_nothing() -> None:
    """Claims that the newest heartbeat lacks don't count, nor do claims of a removed daemon."""
    members = _members("a", "b")
    members.record_heartbeat("a", _heartbeat(sequence=1, epoch=5), 0)
    members.record_heartbeat("b", _heartbeat(sequence=1, epoch=6), 0)
    assert members.owner(PARTITION, 0) == (_daemon("b"), 6)

    members.record_heartbeat("b", _heartbeat(sequence=2), 0)
    assert members.owner(PARTITION, 0) == (_daemon("a"), 5)
    members.remove("a")
    assert members.owner(PARTITION, 0) is None


def test_the_last_owner_can_append_until_another_daemon_claims() -> None:
    members = _members("a", "b")
    members.record_heartbeat("a", _heartbeat(epoch=5), 0)
    members.record_heartbeat("b", _heartbeat(epoch=6), 0)
    members.record_heartbeat("b", _heartbeat(sequence=2, draining=True), 0)
    assert members.owner(PARTITION, 0) == (_daemon("a"), 5)
    assert members.writer(PARTITION, 0) == (_daemon("b"), 6)

    members.record_heartbeat("a", _heartbeat(sequence=2, epoch=7), 0)
    assert members.writer(PARTITION, 0) == (_daemon("a"), 7)


def test_a_last_owner_that_has_crashed_cannot_append() -> None:
    members = _members("a", "b")
    members.record_heartbeat("a", _heartbeat(epoch=5), 0)
    members.record_heartbeat("b", _heartbeat(epoch=6), 0)
    members.suspect("b")
    assert members.writer(PARTITION, 0) == (_daemon("a"), 5)
    members.suspect("a")
    assert members.writer(PARTITION, 0) is None


def test_the_records_of_a_partition_go_to_the_daemon_that_has_fenced_its_last_owner() -> None:
    members = _members("a", "b")
    members.record_heartbeat("a", _heartbeat(epoch=5), 0)
    claims = (PartitionClaim(*PARTITION, epoch=6),)
    members.record_heartbeat("b", _heartbeat()._replace(retired_claims=claims), 0)
    assert members.owner(PARTITION, 0) == (_daemon("a"), 5)
    assert members.writer(PARTITION, 0) == (_daemon("b"), 6)
