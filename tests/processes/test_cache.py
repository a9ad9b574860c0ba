"""Engine memory of programs that have ended, whatever fails at their end."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from tests.processes.deployment import ENGINES
from tests.processes.deployment import wait_for

if TYPE_CHECKING:
    from tests.processes.caller import CarefulProgram
    from tests.processes.deployment import Deployment

PROGRAMS = 6


async def chat(programs: list[CarefulProgram]) -> None:
    """Leaves something in the engines' caches for each program."""
    await asyncio.gather(*(program.chat("Is insulin in stock?") for program in programs))


async def end(programs: list[CarefulProgram]) -> None:
    """Ends the programs, asking until each is told that it has ended."""
    replies = await asyncio.gather(*(program.end() for program in programs))
    assert {reply.status for reply in replies} == {200}, replies


def wait_released(deployment: Deployment, programs: list[CarefulProgram]) -> None:
    """Waits until the engines hold nothing for these programs."""
    ids = {program.program_id for program in programs}
    wait_for(lambda: not ids & deployment.engine_holds().keys(), what="engines to let go")


def test_programs_end_while_their_engines_are_away(deployment: Deployment) -> None:
    """Memory stays held: the order to release it reached no engine, and nobody gave it again."""
    programs = [deployment.program() for _ in range(PROGRAMS)]
    asyncio.run(chat(programs))
    assert {program.program_id for program in programs} <= deployment.engine_holds().keys()
    for name in ENGINES:
        deployment.control(name, unreachable_ms=3000)
    asyncio.run(end(programs))
    wait_released(deployment, programs)


def test_owner_and_keepers_are_killed_as_programs_end(deployment: Deployment) -> None:
    """Memory stays held: the one who was to release it died just before.

    Programs end; the owner of some of them, which keeps an engine as well, is killed at once.
    """
    victim = deployment.holder(f"backend/{ENGINES[0]}")
    programs = [deployment.program(owner=victim, door=victim) for _ in range(PROGRAMS)]
    programs += [deployment.program() for _ in range(PROGRAMS)]
    asyncio.run(chat(programs))

    async def run() -> None:
        ending = asyncio.create_task(end(programs))
        await asyncio.sleep(0)
        await asyncio.to_thread(deployment.kill, victim)
        await ending

    asyncio.run(run())
    wait_released(deployment, programs)


def test_programs_that_nobody_ends(deployment: Deployment) -> None:
    """Memory stays held: callers vanished without ending their programs."""
    programs = [deployment.program(class_name="hasty") for _ in range(PROGRAMS)]
    asyncio.run(chat(programs))
    wait_released(deployment, programs)
