"""Daemons that stand still past a takeover and then go on as if they still held everything."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from quincespool.verdict import Verdict
from tests.processes.deployment import DAEMONS
from tests.processes.deployment import wait_for

if TYPE_CHECKING:
    from tests.processes.deployment import Deployment

PROGRAMS = 6


def test_frozen_owner_wakes_with_an_order_in_flight(deployment: Deployment) -> None:
    """The history of a program forks: the new owner goes on with it, and so does the old one.

    An owner stands still with orders at the service; others take its partitions over and the
    programs go on; the service acts; then the old owner wakes, with the answers in its buffers.
    """
    keeper = deployment.holder("backend/reorders")
    frozen = next(name for name in DAEMONS if name != keeper)
    held = [name for name in deployment.holds(frozen) if name.startswith("partition/")]
    programs = [deployment.program(owner=frozen, door=keeper) for _ in range(PROGRAMS)]
    before = deployment.requests("reorders")
    deployment.control("reorders", hang=True)

    async def run() -> None:
        firsts = [asyncio.create_task(program.order(text="first")) for program in programs]
        await asyncio.to_thread(
            wait_for,
            lambda: deployment.requests("reorders") == before + PROGRAMS,
            what="the service to have all calls",
        )
        deployment.freeze(frozen)
        await asyncio.to_thread(deployment.wait_taken_over, *held, lost=frozen)
        told = await asyncio.gather(*firsts)
        assert {one.verdict for one in told} == {Verdict.MAY_HAVE_RUN}, told
        deployment.control("reorders", hang=False)
        seconds = await asyncio.gather(*(program.order(text="second") for program in programs))
        assert {one.verdict for one in seconds} == {Verdict.RAN}, seconds
        deployment.thaw(frozen)
        thirds = await asyncio.gather(*(program.order(text="third") for program in programs))
        assert {one.verdict for one in thirds} == {Verdict.RAN}, thirds
        again = await asyncio.gather(
            *(program.repeat_order(one) for program, one in zip(programs, told, strict=True))
        )
        assert [one.verdict for one in again] == [one.verdict for one in told], again

    asyncio.run(run())
    deployment.heal()
    deployment.check(programs)
    assert [deployment.effects_of(program) for program in programs] == [[1, 2, 3]] * PROGRAMS


def test_frozen_keeper_wakes_with_orders_that_it_has_not_sent(deployment: Deployment) -> None:
    """An order takes effect after the program's next one.

    A keeper stands still; owners send it orders, which wait in its buffers; it is taken for dead,
    the callers are told "may have run" and go on with the new keeper; then it wakes and reads them.
    """
    frozen = deployment.holder("backend/reorders")
    door = next(name for name in DAEMONS if name != frozen)
    programs = [deployment.program(owner=door, door=door) for _ in range(PROGRAMS)]

    async def run() -> None:
        deployment.freeze(frozen)
        firsts = [asyncio.create_task(program.order(text="first")) for program in programs]
        await asyncio.to_thread(deployment.wait_taken_over, "backend/reorders", lost=frozen)
        await asyncio.gather(*firsts)
        seconds = await asyncio.gather(*(program.order(text="second") for program in programs))
        assert {one.verdict for one in seconds} == {Verdict.RAN}, seconds
        deployment.thaw(frozen)

    asyncio.run(run())
    deployment.heal()
    deployment.check(programs)


def test_frozen_keeper_wakes_with_orders_that_it_has_sent(deployment: Deployment) -> None:
    """An order is placed once by the old keeper, and once more by the new one.

    The orders are at the service when their keeper stands still; the service acts; the keeper's
    place is taken; then it wakes and reads the service's answers.
    """
    frozen = deployment.holder("backend/plates")
    door = next(name for name in DAEMONS if name != frozen)
    programs = [deployment.program(owner=door, door=door) for _ in range(PROGRAMS)]
    before = deployment.requests("plates")
    deployment.control("plates", hang=True)

    async def run() -> None:
        firsts = [asyncio.create_task(program.order("plates")) for program in programs]
        await asyncio.to_thread(
            wait_for,
            lambda: deployment.requests("plates") == before + PROGRAMS,
            what="the service to have all calls",
        )
        deployment.freeze(frozen)
        await asyncio.to_thread(deployment.wait_taken_over, "backend/plates", lost=frozen)
        deployment.control("plates", hang=False)
        told = await asyncio.gather(*firsts)
        assert {one.verdict for one in told} == {Verdict.MAY_HAVE_RUN}, told
        deployment.thaw(frozen)
        seconds = await asyncio.gather(*(program.order("plates") for program in programs))
        assert {one.verdict for one in seconds} == {Verdict.RAN}, seconds

    asyncio.run(run())
    deployment.heal()
    deployment.check(programs)
    assert [deployment.effects_of(program) for program in programs] == [[1, 2]] * PROGRAMS


def test_callers_of_a_frozen_door_are_served_elsewhere(deployment: Deployment) -> None:
    """A caller waits for good: its door stands still, so its connection stays up.

    The call was passed on before. The caller tires, sends it again through another door, and gets
    the answer to what ran, while the frozen door wakes with the same answer.
    """
    frozen = next(iter(DAEMONS))
    others = [name for name in DAEMONS if name != frozen]
    programs = [deployment.program(owner=owner, door=frozen) for owner in others * 2]
    deployment.control("reorders", delay_ms=1000)

    async def run() -> None:
        before = deployment.requests("reorders")
        firsts = [asyncio.create_task(program.order()) for program in programs]
        await asyncio.to_thread(
            wait_for,
            lambda: deployment.requests("reorders") > before,
            what="the service to have a call",
        )
        deployment.freeze(frozen)
        told = await asyncio.gather(*firsts)
        assert {one.verdict for one in told} <= {Verdict.RAN, Verdict.MAY_HAVE_RUN}, told

    asyncio.run(run())
    deployment.heal()
    deployment.check(programs)
    effects = [deployment.effects_of(program) for program in programs]
    assert effects == [[1]] * len(programs)
