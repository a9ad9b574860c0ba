"""A longer run under faults: `python -m tests.processes.long_run [--calls N] [--seed N]`.

Programs place orders and ask the model while daemons are killed and frozen and the log and the
backend servers fail, by seed. At the end every answer told is compared with what the stand-ins did.
"""

from __future__ import annotations

import argparse
import asyncio
import random
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path
from typing import TYPE_CHECKING
from typing import TypedDict

import msgspec

from quincespool.verdict import Verdict
from tests.processes.checks import LATE
from tests.processes.deployment import BUDGET_TOKENS
from tests.processes.deployment import SERVICES
from tests.processes.deployment import SMALL_BUDGET_TOKENS
from tests.processes.deployment import Deployment
from tests.processes.deployment import wait_for
from tests.processes.faults import Faults
from tests.support.agent_program import GaveUpError

if TYPE_CHECKING:
    from tests.processes.caller import CarefulProgram

_CONCURRENT = 24
_RELEASE_LIMIT_S = 60
_BUDGETS = {"stock": BUDGET_TOKENS, "thrifty": SMALL_BUDGET_TOKENS}


class Figures(TypedDict):
    """How much was done in one run."""

    seed: int
    duration_s: int
    programs: int
    non_idempotent_calls: int
    calls: int
    attempts: int
    effects: int


class Summary(TypedDict):
    """One run: what was done and broken, and a line for each promise not kept.

    `last_words` counts calls by the last verdict and reason that their callers were told; `late`
    lists effects out of order of calls that "may have run", which are no broken promise.
    """

    run: Figures
    faults: dict[str, int]
    last_words: dict[str, int]
    late: list[str]
    counts: dict[str, int]
    broken: dict[str, list[str]]


class _Load:
    """Concurrent programs until so many orders have been placed."""

    def __init__(self, deployment: Deployment, *, calls: int, seed: int) -> None:
        self.programs: list[CarefulProgram] = []
        self.budgets: dict[str, int] = {}
        self.unanswered: list[str] = []
        self.unequal: list[str] = []
        self.orders = 0
        self._deployment = deployment
        self._calls = calls
        self._random = random.Random(seed)

    async def run(self) -> None:
        """Runs all programs to their ends."""
        async with asyncio.TaskGroup() as group:
            for _ in range(_CONCURRENT):
                group.create_task(self._run_programs())

    async def _run_programs(self) -> None:
        while self.orders < self._calls:
            class_name = self._random.choice(["stock", "stock", "stock", "thrifty"])
            program = self._deployment.program(
                class_name=class_name,
                patience_s=120,
                gives_up=lambda: self._random.random() < 0.2,
            )
            self.programs.append(program)
            self.budgets[program.program_id] = _BUDGETS[class_name]
            try:
                await self._run_program(program)
                await program.end()
            except (GaveUpError, TimeoutError) as error:
                self.unanswered.append(f"{program.program_id}: {error}")

    async def _run_program(self, program: CarefulProgram) -> None:
        service = self._random.choice(SERVICES)
        if not await self._step(program, service):
            return
        child = program.spawn("buyer") if self._random.random() < 0.3 else None
        for _ in range(self._random.randint(2, 9)):
            speaker = child if child and self._random.random() < 0.5 else program
            if not await self._step(speaker, service):
                return
            await asyncio.sleep(self._random.choice([0, 0.05, 0.3, 2]))

    async def _step(self, program: CarefulProgram, service: str) -> bool:
        """Makes one call; returns whether the program can go on."""
        if self._random.random() < 0.25:
            told = await program.chat(
                "Is insulin in stock?" * 3, stream=self._random.random() < 0.5
            )
            return told.verdict == Verdict.RAN and not told.reason
        self.orders += 1
        told = await program.order(service, text=f"item {self.orders}")
        if told.verdict != Verdict.NOT_RUN and self._random.random() < 0.1:
            again = await program.repeat_order(told)
            if (again.verdict, again.text) != (told.verdict, told.text):
                self.unequal.append(f"{told} then {again}")
        return told.verdict != Verdict.NOT_RUN


def main(arguments: list[str] | None = None) -> int:
    """Runs it, prints the summary and returns the exit code: 0 if no promise was broken."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--calls", type=int, default=2000, help="non-idempotent calls, at least")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--output", type=Path, help="where the summary goes as well")
    parser.add_argument("--keep", type=Path, help="an empty folder for the processes' output")
    options = parser.parse_args(arguments)
    with tempfile.TemporaryDirectory() as folder:
        summary = run(options.keep or Path(folder), calls=options.calls, seed=options.seed)
    text = msgspec.json.format(msgspec.json.encode(summary)).decode() + "\n"
    sys.stdout.write(text)
    if options.output:
        options.output.write_text(text, encoding="utf-8")
    return 1 if any(summary["broken"].values()) else 0


def run(folder: Path, *, calls: int, seed: int) -> Summary:
    """Returns the summary of one run; `broken` has the broken promises line by line."""
    deployment = Deployment(folder)
    started_s = time.monotonic()
    with deployment.cluster:
        deployment.start()
        load = _Load(deployment, calls=calls, seed=seed)
        faults = Faults(deployment, seed=seed)
        asyncio.run(_run_under_faults(load, faults))
        deployment.heal()
        held = _held_in_the_end(deployment, load)
        evidence = deployment.evidence(load.programs)
    broken = evidence.faults()
    late = broken.pop(LATE)
    broken["overspent"] = evidence.overspent(load.budgets)
    broken["lost"] += load.unequal
    broken["unanswered"] = load.unanswered
    broken["held_after_end"] = held
    last = {(told.program_id, told.call_number): told for told in evidence.told}
    return {
        "run": {
            "seed": seed,
            "duration_s": round(time.monotonic() - started_s),
            "programs": len(load.programs),
            "non_idempotent_calls": load.orders,
            "calls": len(last),
            "attempts": sum(member.attempts for member in evidence.members.values()),
            "effects": sum(len(effects) for effects in evidence.effects.values()),
        },
        "faults": dict(sorted(faults.done.items())),
        "last_words": dict(
            sorted(Counter(f"{t.verdict} {t.reason}".strip() for t in last.values()).items())
        ),
        "late": late,
        "counts": {promise: len(lines) for promise, lines in broken.items()},
        "broken": broken,
    }


async def _run_under_faults(load: _Load, faults: Faults) -> None:
    breaking = asyncio.create_task(faults.run())
    try:
        await load.run()
    finally:
        faults.stop()
        await breaking


def _held_in_the_end(deployment: Deployment, load: _Load) -> list[str]:
    """Returns what engines hold for programs that ended, once they had time to let go."""
    open_ids = {line.partition(":")[0] for line in load.unanswered}

    def held() -> dict[str, int]:
        return {
            program_id: tokens
            for program_id, tokens in deployment.engine_holds().items()
            if program_id.split("/", 1)[0] not in open_ids
        }

    try:
        wait_for(lambda: not held(), what="engines to let go", limit_s=_RELEASE_LIMIT_S)
    except AssertionError:
        return [f"{program_id}: {tokens} tokens" for program_id, tokens in held().items()]
    return []


if __name__ == "__main__":
    sys.exit(main())
