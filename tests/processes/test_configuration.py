"""Edits of the catalogue: in force everywhere, never reverting, one winner in a race."""

from __future__ import annotations

import asyncio
import threading
from typing import TYPE_CHECKING
from typing import Any

from quincespool.core.reasons import Reason
from quincespool.verdict import Verdict
from tests.processes.deployment import DAEMONS
from tests.processes.deployment import wait_for

if TYPE_CHECKING:
    from tests.processes.deployment import Deployment

IN_FORCE_S = 15


def versions(deployment: Deployment) -> dict[str, int]:
    """Returns the catalogue version in force at each daemon."""
    return {name: deployment.dump(name).get("catalogue", {}).get("version", -1) for name in DAEMONS}


def wait_in_force(deployment: Deployment, version: int, *names: str) -> None:
    """Waits until an edit is in force at daemons, all by default."""
    wait_for(
        lambda: all(versions(deployment)[name] >= version for name in names or DAEMONS),
        what=f"version {version} at {names or 'all daemons'}",
        limit_s=IN_FORCE_S,
    )


def edit(deployment: Deployment, name: str, version: int, **changes: object) -> int:
    """Publishes a change of one entry; returns its version."""
    entry: dict[str, Any] = deployment.catalogue()[name] | changes
    return deployment.cluster.publish({name: entry}, versions={name: version})


def test_edit_is_in_force_at_all_daemons(deployment: Deployment) -> None:
    """A class that may no longer call a service still does, through one of the daemons."""
    removed = edit(deployment, "class/thrifty", 0, services=[])
    wait_in_force(deployment, removed)
    programs = [deployment.program(owner=name, class_name="thrifty") for name in DAEMONS]

    async def order() -> list[str]:
        return [told.reason for told in await asyncio.gather(*(p.order() for p in programs))]

    assert asyncio.run(order()) == [Reason.NOT_ALLOWED] * len(DAEMONS)
    wait_in_force(deployment, edit(deployment, "class/thrifty", removed))
    assert asyncio.run(order()) == [""] * len(DAEMONS)


def test_daemon_restarted_during_an_outage_has_the_last_edit(deployment: Deployment) -> None:
    """An accepted edit reverts: a daemon starts while the log is out and knows none or an old one.

    The edit is in force, the log goes out, a daemon is killed and started anew. It can learn the
    catalogue only from its peers; once the log is back it must not fall behind it either.
    """
    version = edit(deployment, "account/member-pharmacies", 0, concurrent_calls=400)
    wait_in_force(deployment, version)
    restarted = next(iter(DAEMONS))
    deployment.control("log", reads_out=True, appends_out=True)
    deployment.kill(restarted)
    deployment.restart(restarted)
    wait_in_force(deployment, version, restarted)
    deployment.control("log", reads_out=False, appends_out=False)
    deployment.cluster.wait_ready()
    assert set(versions(deployment).values()) == {version}


def test_racing_operators_have_one_winner_everywhere(deployment: Deployment) -> None:
    """Two daemons obey different operators, who changed the same entry at the same time.

    Eight operators publish an edit from the same version at once, while daemons restart. The first
    one in the log wins, wherever it is read and whenever.
    """
    edits = 8
    offsets: dict[int, int] = {}
    name = "service/plates"

    def publish(number: int) -> None:
        offsets[number] = edit(deployment, name, 0, owner=f"operator-{number}")

    threads = [threading.Thread(target=publish, args=(number,)) for number in range(edits)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    winner = min(offsets, key=lambda number: offsets[number])
    # A later edit from the winner's version is accepted only where the winner is in force.
    last = edit(deployment, name, offsets[winner], owner="last")
    deployment.kill("entry-2")
    deployment.restart("entry-2")
    wait_in_force(deployment, last)
    assert set(versions(deployment).values()) == {last}


def test_server_that_the_catalogue_says_is_leaving_gets_nothing_new(
    deployment: Deployment,
) -> None:
    """A backend server in maintenance goes on getting calls."""
    leaving = edit(deployment, "backend/engine-1", 0, leaving=True)
    wait_in_force(deployment, leaving)
    assert calls_that_reach(deployment, "engine-1") == 0
    wait_in_force(deployment, edit(deployment, "backend/engine-1", leaving))


def test_server_that_the_host_list_says_is_leaving_gets_nothing_new(
    deployment: Deployment,
) -> None:
    """A backend server that the platform takes away goes on getting calls."""
    deployment.control("hosts", hosts=deployment.hosts("leaving", "engine-2"))
    deployment.wait_hosts_read()
    assert calls_that_reach(deployment, "engine-2") == 0


def test_host_list_that_is_wrong_stale_or_empty_stops_nobody(deployment: Deployment) -> None:
    """All daemons stop: the platform's list names none of them, or dead hosts, or nothing."""
    wrong = [{"address": "127.0.9.9:1", "state": "live", "role": "entry"}]
    programs = [deployment.program(owner=name) for name in DAEMONS]
    for fault in (
        {"wrong": wrong},
        {"wrong": None, "empty": True},
        {"empty": False, "stale": True},
    ):
        deployment.control("hosts", **fault)
        deployment.wait_hosts_read()

        async def order() -> set[str]:
            return {told.verdict for told in await asyncio.gather(*(p.order() for p in programs))}

        assert asyncio.run(order()) == {Verdict.RAN}
    deployment.check(programs)


def calls_that_reach(deployment: Deployment, engine: str) -> int:
    """Returns how many of many new model calls an engine gets."""
    before = len(deployment.counts(engine)["journal"])
    programs = [deployment.program(door=name) for name in DAEMONS for _ in range(5)]

    async def chat() -> set[str]:
        return {t.verdict for t in await asyncio.gather(*(p.chat("In stock?") for p in programs))}

    assert asyncio.run(chat()) == {Verdict.RAN}
    deployment.check(programs)
    return len(deployment.counts(engine)["journal"]) - before
