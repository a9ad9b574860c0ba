"""Runs soaks by hand: `python -m tests.soak.soak --seeds 100-149 --seconds 15 --daemons 4`."""

from __future__ import annotations

import argparse
import asyncio
import random
import sys
import tempfile
import time
from pathlib import Path
from typing import TYPE_CHECKING
from typing import NamedTuple

from tests.soak.callers import Callers
from tests.soak.deployment import RETENTION_S
from tests.soak.deployment import SoakDeployment
from tests.soak.faults import KINDS
from tests.soak.faults import carry_out
from tests.soak.faults import draw_plan

if TYPE_CHECKING:
    from collections import Counter

# Within this time after the last fault every daemon serves again: leases of a second, a start of a
# second on a busy machine, and the silence limits of dead connections.
RECOVERY_S = 15.0
# Planned work comes in series.
FAULTS_PER_S = {"planned": 0.6, "together": 0.3, "all": 1.0, "streams": 2.0}
# How slow engines are; three events of the slowest take longer than most routes allow.
GAPS_MS = (10.0, 10.0, 100.0, 300.0, 600.0, 900.0)


class Outcome(NamedTuple):
    """What a soak showed.

    Attributes:
      counts: Of answers by status and of broken promises.
      faults: A line for each broken promise.
      plan: What was done to the deployment.
    """

    counts: Counter[str]
    faults: list[str]
    plan: list[str]


async def soak(
    seed: int,
    folder: Path,
    *,
    for_s: float,
    daemons: int,
    faults: str = "all",
    retention_s: float = RETENTION_S,
) -> Outcome:
    """Runs one soak; the logs of the daemons stay in the folder."""
    chance = random.Random(seed)
    count = max(3, int(for_s * FAULTS_PER_S[faults]))
    plan = draw_plan(chance, kinds=faults, for_s=for_s, count=count)
    async with SoakDeployment(folder, daemons, retention_s=retention_s) as deployment:
        deployment.slow_down({name: chance.choice(GAPS_MS) for name in deployment.engines})
        callers = Callers(deployment, chance, f"s{seed}")
        calling = asyncio.create_task(callers.run(programs=2 * daemons, plain=daemons))
        await carry_out(plan, deployment)
        try:
            await deployment.until_ready(RECOVERY_S)
        except TimeoutError:
            callers.faults.append("not served: a daemon is not ready again")
        callers.stop()
        await calling
        await _settle()
        await callers.prove_service()
        callers.audit()
        killed = [one for daemon in deployment.daemons for one in daemon.killed]
        callers.counts["killed in a stop"] = len(killed)
        if killed and faults != "all":
            callers.faults.append(f"killed in a stop: {killed} outlived their grace")
    callers.faults += [f"error: {line[:200]}" for line in find_errors(folder)]
    return Outcome(callers.counts, callers.faults, [str(fault) for fault in plan])


def find_errors(folder: Path) -> list[str]:
    """Returns what daemons logged of exceptions that nothing has handled."""
    lines = [line for path in folder.glob("*.log") for line in path.read_text().splitlines()]
    return [line for line in lines if '"level": "error"' in line]


async def _settle() -> None:
    """A daemon that has just started owns its partitions after one lease."""
    await asyncio.sleep(2.0)


def main() -> int:
    """Runs seeds one after the other; returns how many broke a promise."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", default="1-3")
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("--daemons", type=int, default=4)
    parser.add_argument("--retention", type=float, default=RETENTION_S)
    parser.add_argument("--faults", choices=sorted(KINDS), default="all")
    arguments = parser.parse_args()
    first, _, last = arguments.seeds.partition("-")
    broken = 0
    for seed in range(int(first), int(last or first) + 1):
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        began_s = time.monotonic()
        outcome = asyncio.run(
            soak(
                seed,
                folder,
                for_s=arguments.seconds,
                daemons=arguments.daemons,
                faults=arguments.faults,
                retention_s=arguments.retention,
            )
        )
        took_s = time.monotonic() - began_s
        broken += bool(outcome.faults)
        counts = dict(outcome.counts)
        lines = [f"seed {seed}: {took_s:.1f} s, {len(outcome.plan)} faults, {counts}"]
        lines += [f"  {line} (logs in {folder})" for line in outcome.faults[:10]]
        sys.stdout.write("\n".join(lines) + "\n")
        sys.stdout.flush()
    return broken


if __name__ == "__main__":
    sys.exit(min(main(), 1))
