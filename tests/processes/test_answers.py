"""Whole answers to one's own request: crossed, broken off, repeated and late ones."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from quincespool.verdict import Verdict
from tests.processes.deployment import DAEMONS
from tests.processes.deployment import ENGINES
from tests.processes.deployment import wait_for

if TYPE_CHECKING:
    from tests.processes.caller import CarefulProgram
    from tests.processes.deployment import Deployment
    from tests.support.agent_program import Told


def test_broken_off_streams_leave_nothing_to_others(deployment: Deployment) -> None:
    """A pharmacist reads the end of somebody else's answer, or half of the own one.

    Many programs ask at once, through all doors. Every other caller breaks its call off in the
    middle, on connections that are used again, and asks again under the same number.
    """
    for name in ENGINES:
        deployment.control(name, latency_scale=0.5)
    programs = [deployment.program(door=name) for name in DAEMONS for _ in range(10)]

    async def ask(number: int, program: CarefulProgram) -> list[Told]:
        question = f"Is item {number} in stock?"
        is_stream = number % 3 > 0
        if number % 2:
            broken_off = asyncio.create_task(program.chat(question, stream=is_stream))
            await asyncio.sleep(0.02 * number)
            if not broken_off.done():
                broken_off.cancel()
                program.rewind()
        return [await program.chat(question, stream=is_stream), await program.chat("And then?")]

    async def run() -> list[list[Told]]:
        return await asyncio.gather(*(ask(n, program) for n, program in enumerate(programs)))

    told = asyncio.run(run())
    failed = [one for pair in told for one in pair if one.verdict != Verdict.RAN]
    assert not failed, failed
    deployment.check(programs)


def test_late_answer_belongs_to_nobody(deployment: Deployment) -> None:
    """A clerk gets the answer to the last order in place of the one to this order.

    An order hangs at the service past its time limit, and its caller is told that it may have run.
    Then the service acts and answers, while the program has gone on to its next order.
    """
    programs = [deployment.program(class_name="hasty", door=name) for name in DAEMONS]
    before = len(deployment.journal("plates"))
    deployment.control("plates", hang=True)

    async def order(text: str) -> list[Told]:
        return await asyncio.gather(*(p.order("plates", text=text) for p in programs))

    late = asyncio.run(order("late"))
    assert {told.verdict for told in late} == {Verdict.MAY_HAVE_RUN}, late
    deployment.control("plates", hang=False)
    wait_for(
        lambda: len(deployment.journal("plates")) == before + len(programs),
        what="the late effects",
    )
    assert {told.verdict for told in asyncio.run(order("prompt"))} == {Verdict.RAN}
    deployment.check(programs)
