"""A program gets far more tokens than its budget when its partition moves at a slow store."""

from __future__ import annotations

import asyncio
import json
import random

from review.rig2 import HOST_NAME
from review.rig2 import TROUBLE
from review.rig2 import Deployment
from review.rig2 import Record
from review.rig2 import attempt
from review.rig2 import run_case

STRIDE = 9
EVENTS = 16
MOST_TOKENS = EVENTS * STRIDE
EVENT_GAP_MS = 180
# The first turn and six sub-agents.
BUDGET_TOKENS = 7 * MOST_TOKENS
SUB_AGENTS = 6
PROGRAMS = 64
# Of the site: 4 ms an answer, x = 60, for 4.5 s.
SLOW_MS = 240
SLOW_S = 4.5
DEADLINE_MS = 4_000

CONFIGURATION = {
    "version": 1,
    "routes": [
        {
            "name": "reorder-plan",
            "hostname": HOST_NAME,
            "path_prefix": "/plan/stream/",
            "kind": "streaming",
            "timeout_ms": DEADLINE_MS,
            "target_latency_ms": 250,
            "target_gap_ms": 200,
            "priority": 0,
            "service": "agent-llm",
            "max_attempts": 2,
            "retain_context": True,
            "retention_s": 60,
        }
    ],
    "services": [{"name": "agent-llm", "engine": {"stream_stride": STRIDE}}],
    "limits": {},
}


class Program:
    """A program that starts sub-agents without end.

    Attributes:
      events: Events that the client has got, by attempt.
    """

    def __init__(
        self, name: str, deployment: Deployment, record: Record, rng: random.Random
    ) -> None:
        self.name = name
        self.events: dict[str, int] = {}
        self._deployment = deployment
        self._record = record
        self._random = rng
        self._attempts = 0

    @property
    def tokens(self) -> int:
        """Tokens that were handed to the program's clients."""
        return sum(self.events.values()) * STRIDE

    async def turn(self, session: str, previous: str, tries: int) -> str:
        """Sends one turn, again after a 402 or 503; returns its id if its answer was whole."""
        for _ in range(tries):
            status, call_id, retry_s = await self._attempt(session, previous)
            if status == 200:
                return call_id
            await asyncio.sleep(max(retry_s, self._random.uniform(0.1, 0.4)))
        return ""

    async def _attempt(self, session: str, previous: str) -> tuple[int, str, float]:
        self._attempts += 1
        call_id = f"{self.name}-{self._attempts}"
        daemon = self._random.choice(self._deployment.daemons)
        body = f"input of {call_id}\n".encode()
        fields = {
            "Request-Id": call_id,
            "Program-Id": self.name,
            "Session-Id": session,
            "Program-Deadline-Ms": "20000",
            "Token-Budget": str(BUDGET_TOKENS),
            "Token-Usage": f"60,{MOST_TOKENS}",
            "Deadline-Ms": str(DEADLINE_MS),
        }
        if previous:
            fields["Previous-Turn"] = previous
        self._record.write("sent", id=call_id, daemon=daemon.name, previous=previous or "-")
        answer = await attempt(
            daemon.address,
            "POST",
            "/plan/stream/1",
            fields,
            body,
            limit_s=DEADLINE_MS / 1000 + 0.5,
            on_events=lambda events: self.events.update({call_id: events}),
        )
        self._record.write(
            "answered", id=call_id, status=answer.status, events=self.events.get(call_id, 0)
        )
        return answer.status, call_id, answer.retry_after_s


async def first_turn(program: Program) -> str:
    """Runs the program's first turn."""
    return await program.turn("main", "", 3)


async def sub_agents(program: Program, first: str, start_s: float) -> None:
    """Starts six sub-agents, and six more a moment later, as a program that loops does."""
    await asyncio.sleep(start_s)
    works = []
    for wave in range(2):
        for number in range(SUB_AGENTS):
            works.append(asyncio.create_task(program.turn(f"sub{wave}.{number}", first, 3)))
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.35)
    await asyncio.gather(*works)


async def disturb(deployment: Deployment, record: Record) -> None:
    """Slows the store down, and deals all partitions anew while it is slow."""
    for daemon in deployment.daemons:
        daemon.store.knobs.delay_ms = SLOW_MS
    record.write("store slow", answer_ms=SLOW_MS)
    await asyncio.sleep(1.5)
    deployment.state.redeal()
    record.write("partitions dealt anew")
    await asyncio.sleep(SLOW_S - 1.5)
    for daemon in deployment.daemons:
        daemon.store.knobs.delay_ms = 0
    record.write("store as usual")


async def case(record: Record) -> bool:
    """Returns whether the rule was broken."""
    deployment = Deployment(4, CONFIGURATION)
    deployment.services = {f"i-{number}": "agent-llm" for number in range(6)}
    rng = random.Random(4)
    async with deployment:
        for engine in deployment.engines.values():
            engine.knobs.events, engine.knobs.gap_ms = EVENTS, EVENT_GAP_MS
        for daemon in deployment.daemons:
            daemon.store.knobs.delay_ms = 4
        programs = [Program(f"p{number}", deployment, record, rng) for number in range(PROGRAMS)]
        firsts = await asyncio.gather(*[first_turn(one) for one in programs])
        await asyncio.sleep(0.5)
        trouble = asyncio.create_task(disturb(deployment, record)) if TROUBLE else None
        # From 1.0 s to 2.3 s after the store has become slow.
        starts_s = [1.0 + 0.02 * number for number in range(PROGRAMS)]
        await asyncio.gather(
            *[
                sub_agents(one, first, start_s)
                for one, first, start_s in zip(programs, firsts, starts_s, strict=True)
                if first
            ]
        )
        if trouble is not None:
            await trouble
        for name, engine in deployment.engines.items():
            for run in engine.runs:
                record.write("run", engine=name, id=run.call_id)
    return judge(programs, record)


def judge(programs: list[Program], record: Record) -> bool:
    """Applies the rule: no more than the budget and the most of one turn."""
    broken = False
    for program in programs:
        is_over = program.tokens > BUDGET_TOKENS + MOST_TOKENS
        broken = broken or is_over
        record.write(
            "BUDGET broken" if is_over else "program",
            id=program.name,
            tokens=program.tokens,
            budget=BUDGET_TOKENS,
            most_of_a_turn=MOST_TOKENS,
            events=json.dumps(program.events).replace(" ", ""),
        )
    return broken


if __name__ == "__main__":
    run_case(case)
