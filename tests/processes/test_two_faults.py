"""Two faults at once."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from quincespool.verdict import Verdict
from tests.processes.deployment import DAEMONS

if TYPE_CHECKING:
    from collections.abc import Callable

    from tests.processes.caller import CarefulProgram
    from tests.processes.deployment import Deployment

ORDERS = 4


def keeper_killed_while_answers_are_lost(deployment: Deployment) -> None:
    """The keeper dies, and the log writes claims and outcomes without saying so."""
    deployment.control("log", lose_after_write=15)
    deployment.kill(deployment.holder("backend/reorders"))


def owner_frozen_during_an_outage(deployment: Deployment) -> None:
    """A daemon stands still, and the log is out, so that nobody can take over."""
    deployment.control("log", reads_out=True, appends_out=True)
    deployment.freeze("entry-1")


def two_daemons_killed(deployment: Deployment) -> None:
    """Two of three daemons die at the same moment; one is left with everything."""
    deployment.kill("entry-1")
    deployment.kill("entry-3")


def daemon_killed_while_the_service_cuts(deployment: Deployment) -> None:
    """The service acts and cuts the connection, and a daemon dies."""
    deployment.control("reorders", cut_after=4)
    deployment.kill("entry-2")


@pytest.mark.parametrize(
    "break_two",
    [
        keeper_killed_while_answers_are_lost,
        owner_frozen_during_an_outage,
        two_daemons_killed,
        daemon_killed_while_the_service_cuts,
    ],
)
def test_two_faults_at_once(
    deployment: Deployment, break_two: Callable[[Deployment], None]
) -> None:
    """Each fault alone is survived, and the means against one of them needs what the other took.

    Programs of all owners place orders one after the other; both faults come, last for a few
    seconds, and go.
    """
    programs = [deployment.program(owner=name) for name in DAEMONS for _ in range(3)]

    async def place(program: CarefulProgram) -> list[str]:
        return [(await program.order(text=f"item {n}")).verdict for n in range(ORDERS)]

    async def run() -> list[list[str]]:
        await asyncio.gather(*(program.order(text="first") for program in programs))
        placing = [asyncio.create_task(place(program)) for program in programs]
        await asyncio.to_thread(break_two, deployment)
        await asyncio.sleep(4)
        await asyncio.to_thread(deployment.heal)
        return await asyncio.gather(*placing)

    verdicts = asyncio.run(run())
    deployment.check(programs)
    assert {v for told in verdicts for v in told} <= {Verdict.RAN, Verdict.MAY_HAVE_RUN}
    last = asyncio.run(place(programs[0]))
    assert last == [Verdict.RAN] * ORDERS
