"""Budgets over takeovers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from quincespool.core.reasons import Reason
from quincespool.verdict import Verdict
from tests.processes.deployment import SMALL_BUDGET_TOKENS

if TYPE_CHECKING:
    from tests.processes.caller import CarefulProgram
    from tests.processes.deployment import Deployment

PROGRAMS = 4
SUB_AGENTS = 2


def test_family_spends_no_more_than_its_budget_over_a_takeover(deployment: Deployment) -> None:
    """A program spends its budget once at each owner, or each sub-agent spends it anew.

    Programs and their sub-agents ask until the budget is refused; their owner is killed in the
    middle, with calls at the engines whose tokens stand in no record.
    """
    victim = deployment.holder("partition/0")
    roots = [deployment.program(owner=victim, class_name="thrifty") for _ in range(PROGRAMS)]

    async def spend(program: CarefulProgram) -> str:
        while True:
            told = await program.chat("Is insulin in stock?")
            if told.verdict == Verdict.NOT_RUN:
                return told.reason

    async def run_family(root: CarefulProgram) -> list[str]:
        await root.chat("Is insulin in stock?")
        family = [root, *(root.spawn(f"buyer-{n}") for n in range(SUB_AGENTS))]
        return await asyncio.gather(*(spend(member) for member in family))

    async def run() -> list[list[str]]:
        working = [asyncio.create_task(run_family(root)) for root in roots]
        while not all(root.told for root in roots):
            await asyncio.sleep(0.01)
        await asyncio.to_thread(deployment.kill, victim)
        return await asyncio.gather(*working)

    reasons = asyncio.run(run())
    evidence = deployment.evidence(roots)
    assert evidence.overspent(dict.fromkeys(evidence.members, SMALL_BUDGET_TOKENS)) == []
    assert {reason for family in reasons for reason in family} == {Reason.BUDGET}
    assert len(evidence.spent_tokens()) == PROGRAMS
    deployment.check(roots)
