"""Requests that crash every backend server that runs them."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from quincespool.core.reasons import Reason
from quincespool.verdict import Verdict
from tests.processes.deployment import DAEMONS
from tests.processes.deployment import ENGINES

if TYPE_CHECKING:
    from tests.processes.deployment import Deployment

MAX_CRASHES = 2
MARKER = "poison"


def engine_crashes(deployment: Deployment) -> int:
    """Returns how often the engines have crashed."""
    counts = [deployment.counts(name)["totals"] for name in ENGINES]
    return sum(int(totals.get("crashes", 0)) for totals in counts)


def test_prompt_that_crashes_engines_is_stopped_for_good(deployment: Deployment) -> None:
    """One prompt takes down engine after engine, and those that run beside it are blamed.

    Its caller sends it again, under other programs and through other doors, also after daemons
    have been restarted. The engines crash whenever they run it, with innocent calls in the batch.
    """
    for name in ENGINES:
        deployment.control(name, poison_marker=MARKER, refuse_ms=300)
    before = engine_crashes(deployment)
    innocent = [deployment.program() for _ in range(6)]
    guilty = [deployment.program(door=name) for name in DAEMONS]

    async def run() -> None:
        working = [
            asyncio.create_task(program.chat(f"What of item {n}?"))
            for n, program in enumerate(innocent)
        ]
        for program in guilty:
            told = await program.chat(MARKER)
            assert told.reason == Reason.QUARANTINED, program.told
        assert {told.verdict for told in await asyncio.gather(*working)} == {Verdict.RAN}

    asyncio.run(run())
    crashes = engine_crashes(deployment) - before
    assert 1 <= crashes <= MAX_CRASHES
    for name in DAEMONS:
        deployment.kill(name)
        deployment.restart(name)
    deployment.cluster.wait_ready()
    deployment.wait_settled()
    again = asyncio.run(deployment.program().chat(MARKER))
    assert again.reason == Reason.QUARANTINED, again
    assert engine_crashes(deployment) - before == crashes
    deployment.check([*innocent, *guilty])


def test_order_that_crashes_its_service_is_stopped_for_good(deployment: Deployment) -> None:
    """An order crashes the service; its caller sends it again as a new one, time after time.

    Each time the caller is told "may have run", begins another program and sends it once more.
    """
    deployment.control("plates", crash_marker=MARKER, refuse_ms=300)
    before = int(deployment.counts("plates")["crashes"])
    programs = [deployment.program() for _ in range(4)]
    told = [asyncio.run(program.order("plates", text=MARKER)) for program in programs]
    assert int(deployment.counts("plates")["crashes"]) - before == MAX_CRASHES
    assert [one.verdict for one in told[:2]] == [Verdict.MAY_HAVE_RUN] * 2, told
    assert [one.reason for one in told[2:]] == [Reason.QUARANTINED] * 2, told
    assert [one.verdict for one in told[2:]] == [Verdict.NOT_RUN] * 2, told
    assert asyncio.run(deployment.program().order("plates")).verdict == Verdict.RAN
