"""How long programs get no answers when their owner is killed."""

from __future__ import annotations

import asyncio
import time
from itertools import pairwise
from typing import TYPE_CHECKING
from typing import NamedTuple

from quincespool.bench import clusters
from quincespool.bench.figures import load_average
from quincespool.bench.figures import spread

if TYPE_CHECKING:
    from tests.support.agent_program import AgentProgram
    from tests.support.cluster import Cluster

DAEMONS = (6, 24)
KILLS = 4
SERVICES = 3
PROGRAMS = 48
PAUSE_S = 0.05
WARM_UP_S = 4
AFTER_KILL_S = 14


class _Running(NamedTuple):
    program: AgentProgram
    answered_s: list[float]


class _Gap(NamedTuple):
    owned: bool
    gap_s: float


def measure(daemons: tuple[int, ...] = DAEMONS) -> dict[str, object]:
    """Returns the gaps in milliseconds, for programs of the killed owner and for the others."""
    return {str(count): _measure_one(count) for count in daemons}


def _measure_one(count: int) -> dict[str, object]:
    with clusters.running(count, services=SERVICES) as cluster:
        load_before = load_average()
        gaps, unanswered = asyncio.run(_kill_owners(cluster))
    owned = [1_000 * gap.gap_s for gap in gaps if gap.owned]
    others = [1_000 * gap.gap_s for gap in gaps if not gap.owned]
    return {
        "kills": KILLS,
        "owned_gap_ms": spread(owned),
        "other_gap_ms": spread(others),
        "unanswered_programs": unanswered,
        "load_average": [load_before, load_average()],
    }


async def _kill_owners(cluster: Cluster) -> tuple[list[_Gap], int]:
    from tests.support.agent_program import AgentProgram  # noqa: PLC0415

    addresses = cluster.daemon_addresses
    programs = [
        _Running(
            AgentProgram(
                f"program-{number}",
                class_name=clusters.CLASS,
                account=clusters.ACCOUNT,
                daemons=[addresses[-1 - number % 2], addresses[-2 + number % 2]],
            ),
            [],
        )
        for number in range(PROGRAMS)
    ]
    tasks = [asyncio.create_task(_call_on(one)) for one in programs]
    gaps: list[_Gap] = []
    unanswered = 0
    for victim in clusters.daemon_names(KILLS):
        await asyncio.sleep(WARM_UP_S)
        owners = [await _owner(addresses[-1], one.program.program_id) for one in programs]
        cluster[victim].kill()
        killed_s = time.monotonic()
        await asyncio.sleep(AFTER_KILL_S)
        for one, owner in zip(programs, owners, strict=True):
            gap_s = _gap_s(one.answered_s, killed_s)
            unanswered += gap_s is None
            if gap_s is not None:
                gaps.append(_Gap(owner == victim, gap_s))
    for task in tasks:
        task.cancel()
    ends = await asyncio.gather(*tasks, return_exceptions=True)
    failures = [end for end in ends if not isinstance(end, asyncio.CancelledError)]
    if failures:
        raise RuntimeError(f"{len(failures)} programs failed, the first by {failures[0]!r}")
    return gaps, unanswered


async def _call_on(running: _Running) -> None:
    while True:
        told = await running.program.call_service(clusters.SERVICE, "/levels", {}, idempotent=True)
        if told.status == 200:
            running.answered_s.append(time.monotonic())
        await asyncio.sleep(PAUSE_S)


async def _owner(address: str, program_id: str) -> str:
    from tests.support.client import fetch  # noqa: PLC0415

    reply = await fetch(address, "GET", f"/v1/where?program={program_id}")
    return str(reply.json()["member"])


def _gap_s(answered_s: list[float], killed_s: float) -> float | None:
    """Returns the longest time without an answer that ends after the kill; None without an end."""
    gaps = [later - earlier for earlier, later in pairwise(answered_s) if later >= killed_s]
    return max(gaps, default=None)
