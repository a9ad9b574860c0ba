"""Who lives, and who owns what."""

from __future__ import annotations

from quincespool.gateway.members import ARRIVAL_GRACE_MS
from quincespool.gateway.members import MISSED_BEATS
from quincespool.gateway.members import Members
from quincespool.gateway.messages import Heartbeat
from quincespool.gateway.messages import PartitionClaim
from quincespool.gateway.model import Daemon
from quincespool.gateway.store import Partition

PARTITION = Partition("programs.0", 1)


def _daemon(name: str, incarnation: int = 1) -> Daemon:
    return Daemon(name, incarnation, "z", f"{name}:1", f"{name}:2")


def _beat(
    incarnation: int = 1, sequence: int = 1, *, epoch: int = 0, draining: bool = False
) -> Heartbeat:
    claims = (PartitionClaim(*PARTITION, epoch),) if epoch else ()
    return Heartbeat(incarnation, sequence, draining, 0, 0, claims, (), store_reachable=True)


def _members(*names: str) -> Members:
    members = Members("me")
    for name in ("me", *names):
        members.put(_daemon(name), 0)
    return members


def test_a_silent_daemon_is_not_alive() -> None:
    members = _members("a")
    assert members.is_alive("a", ARRIVAL_GRACE_MS - 1)
    members.hear("a", _beat(), 10_000)
    silent_ms = MISSED_BEATS * members.beat_interval_ms

    assert members.is_alive("a", 10_000 + silent_ms - 1)
    assert not members.is_alive("a", 10_000 + silent_ms)


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


def test_an_isolated_daemon_sends_callers_to_the_others() -> None:
    members = _members("a")
    members.hear("a", _beat(), 0)
    assert members.is_isolated(60_000)
    assert members.caller_addresses(60_000, own_serves=True) == ["a:1"]
