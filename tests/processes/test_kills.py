"""Daemons killed at each step of a non-idempotent call, in each part that they play in it."""

from __future__ import annotations

import asyncio
import itertools
from typing import TYPE_CHECKING

import pytest

from quincespool.verdict import Verdict
from tests.processes.deployment import DAEMONS
from tests.processes.deployment import wait_for

if TYPE_CHECKING:
    from collections.abc import Callable

    from tests.processes.caller import CarefulProgram
    from tests.processes.deployment import Deployment
    from tests.support.agent_program import Told


async def run_through(
    programs: list[CarefulProgram], while_under_way: Callable[[], None]
) -> tuple[list[Told], list[Told]]:
    """Has each program place an order, breaks something meanwhile; then each places another."""
    first = [asyncio.create_task(program.order(text="first")) for program in programs]
    await asyncio.to_thread(while_under_way)
    firsts = await asyncio.gather(*first)
    return firsts, await asyncio.gather(*(program.order(text="second") for program in programs))


def opening(deployment: Deployment, victim: str) -> None:
    """Kills while what must stand in the log before a call runs can't be written."""
    before = deployment.refused_appends()
    wait_for(lambda: deployment.refused_appends() > before, what="an append to be refused")
    deployment.kill(victim)
    deployment.control("log", appends_out=False)


def in_flight(deployment: Deployment, victim: str) -> None:
    """Kills while the service has the calls and has not acted yet."""
    wait_for_requests(deployment)
    deployment.kill(victim)
    deployment.wait_taken_over("backend/reorders", lost=victim)
    deployment.control("reorders", hang=False)


def closing(deployment: Deployment, victim: str) -> None:
    """Kills when the service has acted and answered, and the outcomes can't be written."""
    wait_for_requests(deployment)
    deployment.control("log", appends_out=True)
    before = deployment.refused_appends()
    deployment.control("reorders", hang=False)
    wait_for(lambda: deployment.refused_appends() > before, what="an outcome to be refused")
    deployment.kill(victim)
    deployment.control("log", appends_out=False)


def wait_for_requests(deployment: Deployment) -> None:
    """Waits until all programs' first calls are at the service, which hangs."""

    def all_there() -> bool:
        waiting = deployment.requests("reorders") - len(deployment.journal("reorders"))
        return waiting == len(DAEMONS) ** 2

    wait_for(all_there, what="the service to have all calls")


@pytest.mark.parametrize("plays_keeper", [True, False], ids=["keeper", "owner-and-door"])
@pytest.mark.parametrize("step", [opening, in_flight, closing])
def test_daemon_killed_on_the_way_of_orders(
    deployment: Deployment, step: Callable[[Deployment, str], None], plays_keeper: bool
) -> None:
    """An order is placed twice, not at all, or said not to have been placed although it was.

    Programs of every owner call through every door; one daemon is killed, which is owner of some,
    door of some, and keeper of the service or not. Their calls are all at the same step: opening,
    in flight or closing. Whoever takes over knows only what stands in the log.
    """
    keeper = deployment.holder("backend/reorders")
    victim = keeper if plays_keeper else next(name for name in DAEMONS if name != keeper)
    pairs = list(itertools.product(DAEMONS, DAEMONS))
    programs = [deployment.program(owner=owner, door=door) for owner, door in pairs]
    if step is opening:
        deployment.control("log", appends_out=True)
    else:
        deployment.control("reorders", hang=True)
    firsts, seconds = asyncio.run(run_through(programs, lambda: step(deployment, victim)))
    deployment.heal()
    deployment.check(programs)
    assert all(told.verdict in (Verdict.RAN, Verdict.MAY_HAVE_RUN) for told in firsts), firsts
    assert [told.verdict for told in seconds] == [Verdict.RAN] * len(programs), seconds
    if step is opening:
        # Nothing had been sent, and owners that live know it. What a dead owner had handed to
        # another daemon to write may stand in the log, and nobody knows what became of it.
        by_survivors = [
            told for (owner, _), told in zip(pairs, firsts, strict=True) if owner != victim
        ]
        assert {told.verdict for told in by_survivors} == {Verdict.RAN}, by_survivors
