"""Callers of the soak, and what they hold the daemons to.

They know what they were told and what backend servers ran; nothing else is asked of the daemons.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import TYPE_CHECKING
from typing import NamedTuple

from tests.soak.deployment import ROUTE_LIMIT_MS
from tests.support.client import ConnectionLostError
from tests.support.client import fetch
from tests.support.platform_entries import HOST_NAME
from tests.support.platform_entries import RESUMABLE_PATH
from tests.support.platform_entries import TOKENS_PER_EVENT

if TYPE_CHECKING:
    import random
    from collections.abc import Awaitable
    from collections.abc import Callable

    from tests.soak.deployment import SoakDeployment
    from tests.support.client import Reply

BUDGET_TOKENS = 150
MOST_TOKENS = 30
MAX_TURNS = 6
# What is left of the time of a caller that was sent away once.
WAITED_MS = 2_200
# Beyond this a caller takes the connection for dead.
PATIENCE_S = ROUTE_LIMIT_MS / 1000 + 2.0
# Each of these says that the call has not run and never will.
NOT_RUN = frozenset({402, 404, 408, 421, 429, 503})
NO_SUCH_TURN = 404
OVER_BUDGET = 402


class Turn(NamedTuple):
    """A turn that a caller was told is whole, with all that a turn after it continues from."""

    call_id: str
    text: bytes


class _Sent(NamedTuple):
    path: str
    headers: dict[str, str]
    body: bytes


class Callers:
    """Keeps programs and plain calls going.

    Attributes:
      counts: Of calls by outcome, and of each broken promise.
      faults: A line for each broken promise.
    """

    def __init__(self, deployment: SoakDeployment, chance: random.Random, name: str) -> None:
        self.counts: Counter[str] = Counter()
        self.faults: list[str] = []
        self._deployment = deployment
        self._chance = chance
        self._name = name
        self._ids = 0
        self._bodies: dict[str, bytes] = {}
        self._once: set[str] = set()
        self._said_not_run: dict[str, int] = {}
        self._spent: Counter[str] = Counter()
        self._stopping = asyncio.Event()

    async def run(self, programs: int, plain: int) -> None:
        """Calls until `stop`."""
        await asyncio.gather(
            *[self._repeat(self._program) for _ in range(programs)],
            *[self._repeat(self._plain_call) for _ in range(plain)],
            *[self._repeat(self._resumable_stream) for _ in range(plain)],
        )

    def stop(self) -> None:
        """Lets what is under way end."""
        self._stopping.set()

    async def prove_service(self) -> None:
        """Has every daemon answer a program of two turns whole, now that nothing is wrong."""
        for daemon in self._deployment.daemons:
            program_id = self._next_id("proof")
            first = await self._turn(program_id, None, daemon.address)
            if not isinstance(first, Turn):
                self._fail("not served", f"{program_id} at {daemon.name}: {first}")
                continue
            second = await self._turn(program_id, first, daemon.address)
            if not isinstance(second, Turn):
                self._fail("not served", f"{program_id} at {daemon.name}: {second}")

    def audit(self) -> None:
        """Compares what backend servers ran with what callers sent and were told."""
        ran: Counter[str] = Counter()
        for call_id, body in self._deployment.runs():
            ran[call_id] += 1
            if call_id in self._bodies and body != self._bodies[call_id]:
                self._fail("mixed", f"{call_id} ran with another history")
        for call_id in self._once:
            if ran[call_id] > 1:
                self._fail("doubled", f"{call_id} ran {ran[call_id]} times")
        for call_id, status in self._said_not_run.items():
            if ran[call_id]:
                self._fail("false not run", f"{call_id} was answered {status} and ran")
        for program_id, tokens in self._spent.items():
            if tokens > BUDGET_TOKENS + MOST_TOKENS:
                self._fail("overspent", f"{program_id}: {tokens} tokens")

    async def _repeat(self, once: Callable[[], Awaitable[None]]) -> None:
        while not self._stopping.is_set():
            await once()
            await asyncio.sleep(self._chance.uniform(0.01, 0.1))

    async def _program(self) -> None:
        program_id = self._next_id("p")
        last: Turn | None = None
        for _ in range(MAX_TURNS):
            if self._stopping.is_set():
                return
            count = 2 if last is not None and self._chance.random() < 0.3 else 1
            tries = [self._patient_turn(program_id, last) for _ in range(count)]
            results = await asyncio.gather(*tries)
            whole = [one for one in results if isinstance(one, Turn)]
            if not whole:
                return
            last = whole[0]

    async def _patient_turn(self, program_id: str, last: Turn | None) -> Turn | int:
        """Sends a turn again, under a new id, after each failure."""
        result: Turn | int = 0
        for _ in range(4):
            result = await self._turn(program_id, last, self._pick())
            if isinstance(result, Turn) or result in (OVER_BUDGET, NO_SUCH_TURN):
                return result
            await asyncio.sleep(self._chance.uniform(0.1, 0.6))
        return result

    async def _turn(self, program_id: str, last: Turn | None, address: str) -> Turn | int:
        """Returns the turn if it came whole, else the status, 0 if there was none."""
        call_id = self._next_id("t")
        text = f"{call_id} asks".encode()
        before = last.text if last is not None else b""
        self._bodies[call_id] = before + text
        self._once.add(call_id)
        headers = {
            "host": HOST_NAME,
            "request-id": call_id,
            "deadline-ms": str(self._chance.choice((ROUTE_LIMIT_MS, WAITED_MS))),
            "program-id": program_id,
            "token-usage": f"5,{MOST_TOKENS}",
            "token-budget": str(BUDGET_TOKENS),
        }
        if last is not None:
            headers["previous-turn"] = last.call_id
        received = bytearray()
        reply = await self._fetch(address, _Sent("/stream/x", headers, text), received)
        self._spent[program_id] += TOKENS_PER_EVENT * received.count(b"\n\n")
        if reply is None or reply.status != 200:
            status = reply.status if reply is not None else 0
            if status == NO_SUCH_TURN:
                self._fail("lost", f"{call_id} of {program_id} cannot go on from {last}")
            return status
        outputs = [line[6:] + b"\n" for line in reply.body.split(b"\n") if line[:6] == b"data: "]
        return Turn(call_id, before + text + b"".join(outputs))

    async def _resumable_stream(self) -> None:
        """Streams that engines cut off: each event once and in order, whole or not."""
        call_id = self._next_id("r")
        headers = {
            "host": HOST_NAME,
            "request-id": call_id,
            "deadline-ms": str(ROUTE_LIMIT_MS),
            "program-id": call_id,
            "token-usage": f"5,{MOST_TOKENS}",
        }
        received = bytearray()
        await self._fetch(self._pick(), _Sent(f"{RESUMABLE_PATH}x", headers, b"text"), received)
        whole_events, _, _ = received.rpartition(b"\n\n")
        lines = whole_events.decode().split("\n")
        texts = [line[6:] for line in lines if line.startswith("data: ")]
        if texts != [f"{call_id}.{number}" for number in range(1, len(texts) + 1)]:
            self._fail("misjoined", f"{call_id}: {texts}")

    async def _plain_call(self) -> None:
        kind = self._chance.choice(["idempotent", "non_idempotent"])
        call_id = self._next_id("c")
        if kind == "non_idempotent":
            self._once.add(call_id)
        headers = {
            "host": HOST_NAME,
            "request-id": call_id,
            "deadline-ms": str(ROUTE_LIMIT_MS),
        }
        await self._fetch(self._pick(), _Sent(f"/{kind}/x", headers, b""), bytearray())

    async def _fetch(self, address: str, sent: _Sent, received: bytearray) -> Reply | None:
        work = fetch(
            address,
            "POST",
            sent.path,
            headers=sent.headers,
            body=sent.body,
            on_data=received.extend,
        )
        try:
            async with asyncio.timeout(PATIENCE_S):
                reply = await work
        except ConnectionLostError:
            self.counts["no answer"] += 1
            return None
        except TimeoutError:
            self.counts["too late"] += 1
            return None
        self.counts[str(reply.status)] += 1
        if reply.status in NOT_RUN:
            self._said_not_run[sent.headers["request-id"]] = reply.status
        return reply

    def _pick(self) -> str:
        return self._chance.choice(self._deployment.daemons).address

    def _next_id(self, kind: str) -> str:
        self._ids += 1
        return f"{self._name}-{kind}{self._ids}"

    def _fail(self, promise: str, detail: str) -> None:
        self.counts[promise] += 1
        self.faults.append(f"{promise}: {detail}")
