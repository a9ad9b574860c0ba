"""The faults of a soak: a plan drawn from a seed, in series and overlapping."""

from __future__ import annotations

import asyncio
import random
import signal
from typing import TYPE_CHECKING
from typing import NamedTuple

from tests.soak.planned import PLANNED
from tests.soak.planned import TOGETHER
from tests.soak.planned import Planned
from tests.support.standins.platform_engine import INSIDE_EVENT
from tests.support.standins.platform_engine import STREAM_EVENTS
from tests.support.standins.platform_engine import CutBy
from tests.support.standins.platform_engine import CutPlace

if TYPE_CHECKING:
    from tests.soak.deployment import SoakDeployment

UNPLANNED = (
    "kill",
    "kill_all",
    "pause",
    "store_down",
    "store_refuses_one",
    "store_silent",
    "store_slow",
    "store_loses_answers",
    "store_way_reset",
    "store_way_one_way",
    "backend_reset",
    "backend_silent",
    "backend_slow",
    "backend_full",
    "backend_cuts",
)
STREAMS = ("streams_without_length", "streams_cut")
KINDS = {
    "planned": PLANNED,
    "together": TOGETHER,
    "all": UNPLANNED + PLANNED,
    # Half of the faults are of streams.
    "streams": STREAMS * ((len(UNPLANNED) + len(PLANNED)) // len(STREAMS)) + UNPLANNED + PLANNED,
}
FOR_ALL = frozenset({"kill_all", "store_down"})
# Nothing lasts longer: callers would only see more of the same.
LONGEST_S = 3.0


class Fault(NamedTuple):
    """One fault; `daemon` and `backend` are numbers of which it takes one.

    `seed` draws what a series consists of.
    """

    kind: str
    at_s: float
    for_s: float
    daemon: int
    backend: int
    seed: int


def draw_plan(chance: random.Random, *, kinds: str, for_s: float, count: int) -> list[Fault]:
    """Returns faults within a time, the earliest first; `kinds` is a key of `KINDS`."""
    faults = [
        Fault(
            kind=chance.choice(KINDS[kinds]),
            at_s=chance.uniform(0, for_s),
            for_s=chance.uniform(0.2, LONGEST_S),
            daemon=chance.randrange(1_000),
            backend=chance.randrange(1_000),
            seed=chance.randrange(1_000_000),
        )
        for _ in range(count)
    ]
    return sorted(faults, key=lambda fault: fault.at_s)


async def carry_out(plan: list[Fault], deployment: SoakDeployment) -> None:
    """Carries a plan out; everything is healed at its end."""
    await asyncio.gather(*[_carry_out_one(fault, deployment) for fault in plan])
    await deployment.heal()


async def _carry_out_one(fault: Fault, deployment: SoakDeployment) -> None:
    await asyncio.sleep(fault.at_s)
    if fault.kind in PLANNED + TOGETHER:
        work = Planned(deployment, random.Random(fault.seed), fault.for_s)
        await work.carry_out(fault.kind, fault.daemon)
        return
    with deployment.diary.during(fault.kind, _where(fault, deployment)):
        if fault.kind in ("kill", "kill_all", "pause"):
            await _hurt_process(fault, deployment)
        elif fault.kind.startswith("store"):
            await _hurt_store(fault, deployment)
        elif fault.kind in STREAMS:
            await _hurt_streams(fault, deployment)
        else:
            await _hurt_backend(fault, deployment)


def _where(fault: Fault, deployment: SoakDeployment) -> str:
    if fault.kind in FOR_ALL:
        return ""
    if fault.kind in STREAMS:
        return deployment.pick_engine(fault.backend)
    if fault.kind.startswith("backend"):
        return deployment.pick_backend(fault.backend)
    return deployment.pick_daemon(fault.daemon).name


async def _hurt_process(fault: Fault, deployment: SoakDeployment) -> None:
    daemon = deployment.pick_daemon(fault.daemon)
    if fault.kind == "pause":
        daemon.signal(signal.SIGSTOP)
        await asyncio.sleep(fault.for_s)
        daemon.signal(signal.SIGCONT)
        return
    ended = deployment.daemons if fault.kind == "kill_all" else [daemon]
    await asyncio.gather(*[one.end(signal.SIGKILL) for one in ended])
    await asyncio.sleep(fault.for_s / 3)
    await asyncio.gather(*[one.start() for one in ended])


async def _hurt_store(fault: Fault, deployment: SoakDeployment) -> None:
    daemon = deployment.pick_daemon(fault.daemon)
    hurt = deployment.daemons if fault.kind == "store_down" else [daemon]
    if fault.kind == "store_way_reset":
        daemon.way_to_store.reset()
        return
    if fault.kind == "store_loses_answers":
        daemon.store.knobs.lose_writes = 3
        return
    for one in hurt:
        knobs = one.store.knobs
        knobs.down = knobs.down or fault.kind in ("store_down", "store_refuses_one")
        knobs.silent = knobs.silent or fault.kind == "store_silent"
        knobs.delay_ms = 150 if fault.kind == "store_slow" else knobs.delay_ms
        one.way_to_store.cut_back |= fault.kind == "store_way_one_way"
    await asyncio.sleep(fault.for_s)
    for one in hurt:
        knobs = one.store.knobs
        knobs.down, knobs.silent, knobs.delay_ms = False, False, 0
        one.way_to_store.heal()


async def _hurt_backend(fault: Fault, deployment: SoakDeployment) -> None:
    name = deployment.pick_backend(fault.backend)
    engine, way = deployment.engines[name], deployment.ways[name]
    if fault.kind == "backend_reset":
        way.reset()
        return
    engine.knobs.full = fault.kind == "backend_full"
    engine.knobs.cut_after = 1 if fault.kind == "backend_cuts" else -1
    # An orderly close would end a stream without length as complete.
    engine.knobs.cut_by, engine.knobs.cut_place = CutBy.RESET, CutPlace.BEFORE_EVENT
    if fault.kind == "backend_slow":
        engine.knobs.gap_ms = 200
    way.cut_back |= fault.kind == "backend_silent"
    await asyncio.sleep(fault.for_s)
    deployment.heal_backend(name)


async def _hurt_streams(fault: Fault, deployment: SoakDeployment) -> None:
    name = deployment.pick_engine(fault.backend)
    knobs = deployment.engines[name].knobs
    knobs.has_chunks = False
    if fault.kind == "streams_cut":
        chance = random.Random(fault.seed)
        knobs.has_chunks = chance.random() < 0.3
        knobs.cut_by = chance.choice((CutBy.CLOSE, CutBy.RESET, CutBy.END))
        # An orderly end between two events is no fault that a daemon could notice.
        may_be_between = knobs.cut_by is CutBy.RESET
        knobs.cut_place = chance.choice(list(CutPlace) if may_be_between else INSIDE_EVENT)
        knobs.cut_after = chance.randrange(STREAM_EVENTS)
    await asyncio.sleep(fault.for_s)
    deployment.heal_backend(name)
