"""The log service out, slow, and losing its answers, also after a write has taken effect."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from quincespool.verdict import Verdict
from tests.processes.deployment import DAEMONS
from tests.processes.deployment import wait_for

if TYPE_CHECKING:
    from tests.processes.caller import CarefulProgram
    from tests.processes.deployment import Deployment

PROGRAMS = 6
ORDERS = 5


async def place_orders(programs: list[CarefulProgram], count: int) -> set[str]:
    """Has each program place orders one after the other; returns the verdicts told."""

    async def place(program: CarefulProgram) -> list[str]:
        return [(await program.order(text=f"item {n}")).verdict for n in range(count)]

    verdicts = await asyncio.gather(*(place(program) for program in programs))
    return {verdict for told in verdicts for verdict in told}


def test_orders_during_an_outage_are_refused_truly_and_run_afterwards(
    deployment: Deployment,
) -> None:
    """An order is said not to have been run, and is run by somebody who missed the refusal.

    The log goes out with nothing under way; programs, old and new, try to place orders and take
    the refusal for the last word; the log comes back; other programs had more patience.
    """
    impatient = [
        deployment.program(owner=owner, door=owner, gives_up=lambda: True) for owner in DAEMONS
    ]
    patient = [deployment.program(owner=owner, door=owner) for owner in DAEMONS]
    asyncio.run(place_orders([*impatient, *patient], 1))
    deployment.control("log", reads_out=True, appends_out=True)
    wait_for(
        lambda: not any(deployment.dump(name)["ready"] for name in DAEMONS),
        what="all daemons to notice the outage",
    )

    async def run() -> None:
        waiting = asyncio.create_task(place_orders(patient, 1))
        assert await place_orders(impatient, 1) == {Verdict.NOT_RUN}
        deployment.control("log", reads_out=False, appends_out=False)
        assert await waiting == {Verdict.RAN}

    asyncio.run(run())
    deployment.heal()
    deployment.check([*impatient, *patient])
    assert [deployment.effects_of(program) for program in impatient] == [[1]] * len(impatient)
    assert [deployment.effects_of(program) for program in patient] == [[1, 2]] * len(patient)


def test_outage_with_orders_at_the_service(deployment: Deployment) -> None:
    """The outcome of an order is lost: it was placed while the log was out.

    The service has the orders when the log goes out, and acts. No outcome can be written until the
    log is back; until then nobody may be told that the order is done.
    """
    programs = [deployment.program(owner=owner) for owner in DAEMONS]
    before = deployment.requests("reorders")
    deployment.control("reorders", hang=True)

    async def run() -> None:
        placing = asyncio.create_task(place_orders(programs, 1))
        await asyncio.to_thread(
            wait_for,
            lambda: deployment.requests("reorders") == before + len(programs),
            what="the service to have all calls",
        )
        deployment.control("log", reads_out=True, appends_out=True)
        refused = deployment.refused_appends()
        deployment.control("reorders", hang=False)
        await asyncio.to_thread(
            wait_for, lambda: deployment.refused_appends() > refused, what="outcomes to be refused"
        )
        assert not placing.done()
        deployment.control("log", reads_out=False, appends_out=False)
        assert await placing == {Verdict.RAN}

    asyncio.run(run())
    deployment.check(programs)


@pytest.mark.parametrize("fault", ["lose_after_write", "lose_before_write"])
def test_answers_to_appends_are_lost(deployment: Deployment, fault: str) -> None:
    """A record counts twice or not at all, since its writer can't tell whether it was written.

    The log resets the connection of many appends in a row, after or before the write.
    """
    programs = [deployment.program(owner=owner) for owner in list(DAEMONS) * 2]
    deployment.control("log", **{fault: 12})
    assert asyncio.run(place_orders(programs, ORDERS)) == {Verdict.RAN}
    deployment.check(programs)
    wanted = [list(range(1, ORDERS + 1))] * len(programs)
    assert [deployment.effects_of(program) for program in programs] == wanted


def test_slow_log_only_delays(deployment: Deployment) -> None:
    """Orders fail or fork because every read and write of the log takes long.

    Every request to the log waits 400 ms, within what a ledger may be old.
    """
    programs = [deployment.program(owner=owner) for owner in DAEMONS]
    deployment.control("log", delay_ms=400)
    assert asyncio.run(place_orders(programs, 2)) == {Verdict.RAN}
    deployment.check(programs)
