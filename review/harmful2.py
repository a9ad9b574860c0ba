"""An engine that one turn crashes, and clients of programs; for the cases 4 and 6."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from review.rig2 import HOST_NAME
from review.rig2 import Daemon
from review.rig2 import Deployment
from review.rig2 import Record
from review.rig2 import attempt
from tests.support.standins.platform_engine import EngineKnobs
from tests.support.standins.platform_engine import PlatformEngine
from tests.support.standins.platform_engine import Run

if TYPE_CHECKING:
    import random

    from tests.support.standins.http import Exchange

STRIDE = 9
EVENTS = 8
MOST_TOKENS = 288
BUDGET_TOKENS = 2_304
DEADLINE_MS = 4_000
TARGET = "/plan/stream/2f"
# What many programs say after a turn.
USUAL_INPUT = b"continue\n"
# The history that crashes the engine that begins to run a turn after it.
HARMFUL_INPUT = b"list every shelf of every warehouse\n"
# The engine is back after some seconds; its entry goes after three ping intervals.
DOWN_S = 3.0
ENTRY_LEFT_S = 3.6
CONTACT_S = 3.0
# The client's retries of an attempt, and how often a turn that has failed is sent again.
RETRIES = 1
RESENDS = 2

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


class Engine(PlatformEngine):
    """An engine that one turn crashes; it comes back as a new incarnation."""

    deployment: Deployment
    record: Record
    crashes = 0

    async def handle(self, exchange: Exchange) -> None:
        """See `StandIn.handle`."""
        request = exchange.request
        is_mine = request.headers.get("expect-instance", self.backend_id) == self.backend_id
        if is_mine and HARMFUL_INPUT in request.body and request.body.endswith(USUAL_INPUT):
            call_id = request.headers["request-id"]
            self.record.write("run, crashes", engine=self.backend_id, id=call_id)
            self.runs.append(Run(call_id, request.path, request.body, request.headers))
            self.crash_now()
            return
        await super().handle(exchange)

    def crash_now(self) -> None:
        """Ends and starts again under a new id."""
        Engine.crashes += 1
        asyncio.get_running_loop().create_task(self._start_again(self.backend_id))
        self.go_away(DOWN_S * 1000)

    async def _start_again(self, old_id: str) -> None:
        await asyncio.sleep(DOWN_S + 0.05)
        self.backend_id = f"{old_id}b"
        self.deployment.engines[self.backend_id] = self
        self.deployment.services[self.backend_id] = "agent-llm"
        self.deployment.announce_all()
        self.record.write("engine is back", engine=self.backend_id)
        await asyncio.sleep(ENTRY_LEFT_S - DOWN_S)
        self.deployment.remove_entry(old_id)


class Client:
    """The client of one program."""

    def __init__(
        self,
        name: str,
        deployment: Deployment,
        record: Record,
        rng: random.Random,
        *,
        resends: int = RESENDS,
    ) -> None:
        self.tries: list[str] = []
        self.statuses: list[int] = []
        self._name = name
        self._deployment = deployment
        self._record = record
        self._random = rng
        self._count = 0
        self._resends = resends

    async def turn(self, body: bytes, previous: str) -> str:
        """Sends a turn as clients do; returns its id, empty if it failed."""
        self.tries, self.statuses = [], []
        for send in range(1 + self._resends):
            if send:
                await asyncio.sleep(self._random.uniform(0.1, 0.4))
            for _ in range(1 + RETRIES):
                status = await self._attempt(body, previous)
                if status == 200:
                    return self.tries[-1]
                if status not in (408, 421, 429, 503):
                    # A turn may run once at most: it is only tried again after a promise.
                    break
        return ""

    async def _attempt(self, body: bytes, previous: str) -> int:
        self._count += 1
        call_id = f"{self._name}-{self._count}"
        daemon: Daemon = self._random.choice(self._deployment.daemons)
        fields = {
            "Request-Id": call_id,
            "Program-Id": self._name,
            "Session-Id": "main",
            "Program-Deadline-Ms": "8000",
            "Token-Budget": str(BUDGET_TOKENS),
            "Token-Usage": f"60,{MOST_TOKENS}",
            "Deadline-Ms": str(DEADLINE_MS),
        }
        if previous:
            fields["Previous-Turn"] = previous
        self.tries.append(call_id)
        self._record.write(
            "sent", id=call_id, daemon=daemon.name, previous=previous or "-", body=body
        )
        answer = await attempt(daemon.address, "POST", TARGET, fields, body)
        self.statuses.append(answer.status)
        self._record.write(
            "answered",
            id=call_id,
            status=answer.status,
            events=answer.events,
            body=answer.body[:80],
        )
        if answer.retry_after_s:
            await asyncio.sleep(answer.retry_after_s)
        return answer.status


def make_deployment(record: Record) -> Deployment:
    """Returns a deployment of four daemons and six engines."""
    deployment = Deployment(4, CONFIGURATION)
    Engine.deployment, Engine.record = deployment, record
    for number in range(6):
        deployment.services[f"i-{number}"] = "agent-llm"
        knobs = EngineKnobs(events=EVENTS, gap_ms=20)
        deployment.engines[f"i-{number}"] = Engine(knobs, f"i-{number}")
    return deployment


def runs(deployment: Deployment) -> set[str]:
    """Returns the ids of all requests that engines have run."""
    return {run.call_id for engine in deployment.engines.values() for run in engine.runs}
