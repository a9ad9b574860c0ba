"""Membership as one daemon and as eight of them see it."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import pytest

from quincespool.core import events as ev
from quincespool.core.membership.contacts import Contacts
from quincespool.core.membership.table import DISTRUST_MS
from quincespool.core.messages import Ack
from quincespool.core.messages import MemberUpdate
from quincespool.core.messages import Ping
from tests.core.membership.test_membership_network import Network

if TYPE_CHECKING:
    from quincespool.core.membership.probe import Probe
    from quincespool.core.membership.state import MembershipState


@pytest.fixture
def network() -> Network:
    network = Network(8)
    network.run(10_000)
    assert network.agreed()
    return network


def update_of(network: Network, member_id: str) -> MemberUpdate:
    return network.nodes[member_id].state.table.own


def hear(network: Network, at: str, sender: str, *updates: MemberUpdate) -> MembershipState:
    """Has `at` get a ping of `sender` with the sender's own update and these behind it."""
    ping = Ping(1, sender, (update_of(network, sender), *updates))
    host, _, port = network.nodes[sender].address.rpartition(":")
    network.handle(network.nodes[at], ev.DatagramReceived(host, int(port), ping))
    return network.nodes[at].state


def run_to_probe(network: Network, member_id: str) -> Probe:
    """Lets time pass until a ping of this member is on its way."""
    state = network.nodes[member_id].state
    for _ in range(2_000):
        if state.probe is not None and not state.probe.answered:
            return state.probe
        network.run(1)
    raise AssertionError


def test_everyone_learns_of_a_crash_and_is_told(network: Network) -> None:
    network.nodes.pop("m3")
    assert not network.agreed()
    network.run(12_000)
    assert network.agreed()
    assert all(node.told == tuple(sorted(network.nodes)) for node in network.nodes.values())


def test_a_planned_stop_is_known_without_suspicion(network: Network) -> None:
    network.handle(network.nodes["m3"], ev.DrainRequested())
    network.run(2_000)
    seen = [node.state.find("m3") for node in network.nodes.values()]
    assert all(member is not None and member.draining for member in seen)
    network.stop("m3")
    network.run(2_000)
    assert network.agreed()


def test_a_restart_replaces_the_old_process(network: Network) -> None:
    network.nodes.pop("m3")
    network.run(300)
    network.start(3)
    network.run(3_000)
    assert network.agreed()


def test_a_frozen_member_refutes_its_death(network: Network) -> None:
    """A daemon stays out of the members after a pause of a minute.

    Events: it freezes, is declared dead, and goes on. Cause: nobody asks the dead, and the news of
    its life has no higher number than that of its death.
    """
    network.freeze("m3")
    network.run(60_000)
    assert network.nodes["m1"].state.find("m3") is None
    network.thaw("m3")
    network.run(5_000)
    assert network.agreed()
    assert network.false_deaths == 7


def test_a_long_frozen_member_brings_nobody_back(network: Network) -> None:
    """A member that died long ago is alive again everywhere for some seconds.

    Events: m3 freezes, m5 dies and is forgotten, m3 goes on and reads what its socket has kept.
    Cause: to those who have forgotten m5, old news of it looks like news of a newcomer.
    """
    suspect = update_of(network, "m5")._replace(state="suspect")
    network.freeze("m3")
    network.run(3_000)
    network.nodes.pop("m5")
    network.run(1_200_000)
    assert len(network.nodes["m1"].state.known()) == 6
    network.thaw("m3")
    for _ in range(40):
        network.run(250)
        assert network.nodes["m1"].state.find("m5") is None
    assert network.agreed()
    assert hear(network, "m1", "m2", suspect).find("m5") is None


def test_a_superseded_process_drains(network: Network) -> None:
    """Two processes of one member id both act.

    Events: a process is cut off, another is started in its place, the cut heals. Cause: the first
    one is never told that its incarnation is over.
    """
    later = update_of(network, "m3")._replace(incarnation=update_of(network, "m3").incarnation + 1)
    state = hear(network, "m3", "m1", later)
    assert state.table.own.draining
    assert state.find("m3") is not None


def test_old_gossip_does_not_revive_the_dead(network: Network) -> None:
    old = update_of(network, "m3")
    network.nodes.pop("m3")
    network.run(12_000)
    assert hear(network, "m1", "m2", old).find("m3") is None
    assert hear(network, "m1", "m2", old._replace(refutation=1)).find("m3") is not None


def test_told_of_a_death_a_member_is_suspected_first(network: Network) -> None:
    dead = update_of(network, "m3")._replace(state="dead")
    state = hear(network, "m1", "m2", dead)
    assert state.find("m3") is not None
    network.run(5_000)
    assert network.agreed()
    assert update_of(network, "m3").refutation > dead.refutation


def test_the_other_side_of_a_healed_cut_is_not_believed(network: Network) -> None:
    """After a cut everyone on this side is suspected at once.

    Events: m2 is cut off, believes all others dead, comes back and says so. Cause: its news is as
    new as ours by number, and bad news beats good.
    """
    network.side = {"m2": 1}
    network.run(15_000)
    network.side = {}
    network.handle(network.nodes["m2"], ev.Woken(15_000))
    network.run(1_000)
    dead = update_of(network, "m4")._replace(state="dead")
    state = hear(network, "m1", "m2", dead)
    assert not state.table.suspects()
    network.now_ms += DISTRUST_MS
    assert hear(network, "m1", "m2", dead).table.suspects()


def test_a_cut_heals_without_seeds(network: Network) -> None:
    """Two halves stay apart for good after a cut.

    Events: each half declares the other dead, the cut heals. Cause: only the living are probed.
    """
    for node in network.nodes.values():
        node.state.contacts = Contacts((), node.state.rng)
    network.side = {"m0": 1, "m1": 1, "m2": 1}
    network.run(30_000)
    assert network.nodes["m1"].state.find("m4") is None
    network.side = {}
    network.run(30_000)
    assert network.agreed()


def test_a_reply_tells_a_suspect_of_its_suspicion(network: Network) -> None:
    network.nodes["m1"].state.table.suspect("m3", network.now_ms)
    hear(network, "m1", "m3")
    network.run(10)
    assert update_of(network, "m3").refutation == 1
    network.run(2_000)
    assert not network.nodes["m1"].state.table.suspects()


def test_an_answer_from_another_member_at_the_address_proves_nothing(network: Network) -> None:
    node = network.nodes["m1"]
    probe = run_to_probe(network, "m1")
    ack = Ack(probe.sequence, "other", "other", ())
    network.handle(node, ev.DatagramReceived("10.0.0.9", 7000, ack))
    assert node.state.probe == probe
    network.handle(node, ev.DatagramReceived("10.0.0.9", 7000, ack._replace(subject_id=probe[1])))
    assert node.state.probe == probe._replace(answered=True)


def test_a_slow_process_suspects_nobody(network: Network) -> None:
    """A daemon that was slow for a second suspects those it had probed.

    Events: it sends a ping, stalls for less than counts as standing still, and its timers fire
    before it reads its socket. Cause: it judges by time that it did not use.
    """
    run_to_probe(network, "m1")
    network.freeze("m1")
    network.run(1_450)
    network.thaw("m1")
    assert not network.nodes["m1"].state.table.suspects()


def test_a_backend_server_stays_leaving_when_the_list_drops_it(network: Network) -> None:
    node = network.nodes["m1"]
    for hosts in ({"10.9.0.1:80": "leaving", "nonsense": "live"}, {}, {"10.9.0.2:80": "live"}):
        network.handle(node, ev.HostsRead(hosts))
        assert node.state.backend_leaving("10.9.0.1:80")
    network.handle(node, ev.HostsRead({"10.9.0.1:80": "live"}))
    assert not node.state.backend_leaving("10.9.0.1:80")
    assert len(node.state.alive()) == 8


def test_an_empty_list_keeps_the_addresses_of_the_one_before() -> None:
    contacts = Contacts((), random.Random(1))
    contacts.read_hosts({"10.0.0.1:7": "live", "10.9.0.1:80": "live"}, lambda: {"10.9.0.1:80"}, 0)
    contacts.read_hosts({}, set, 1)
    assert [contacts.pick(lambda _: False) for _ in range(2)] == ["10.0.0.1:7"] * 2
