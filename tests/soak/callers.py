"""Callers of the soak, and what they hold the daemons to.

They know what they were told and what backend servers ran; nothing else is asked of the daemons.
"""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from typing import TYPE_CHECKING
from typing import NamedTuple

from tests.soak.deployment import ROUTE_LIMIT_MS
from tests.soak.judge import Attempt
from tests.soak.judge import judge
from tests.soak.lines import ONCE
from tests.soak.lines import STYLES
from tests.soak.lines import Line
from tests.soak.planned import ADDED_PATH
from tests.support.client import ConnectionLostError
from tests.support.platform_entries import HOST_NAME
from tests.support.platform_entries import RESUMABLE_PATH
from tests.support.platform_entries import TOKENS_PER_EVENT
from tests.support.standins.platform_engine import STREAM_EVENTS

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
NO_SUCH_TURN = frozenset({404, 410})
OVER_BUDGET = 402
# A turn is sent so often before its caller gives its program up.
MAX_TRIES = 7
# Programs that are continued once all is over, at every daemon.
REMEMBERED = 40
USUAL_DAEMONS = 4
PROOF_TRIES = 5
# So many programs go on from a turn of another one.
ONWARD = 0.1


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
        self._attempts: list[Attempt] = []
        self._turns: list[tuple[str, ...]] = []
        # Whole turns whose programs have most of their budget left.
        self._remembered: dict[str, Turn] = {}
        self._stopping = asyncio.Event()
        # More daemons have more callers; together they are as busy as a few.
        self._pause_factor = max(1.0, len(deployment.daemons) / USUAL_DAEMONS)

    async def run(self, programs: int, plain: int) -> None:
        """Calls until `stop`."""
        works = [self._program] * programs
        works += [self._plain_call] * plain
        works += [self._resumable_stream] * plain
        # Each kind of work meets every style.
        first = self._chance.randrange(len(STYLES))
        styles = [STYLES[(first + place) % len(STYLES)] for place in range(len(works))]
        lines = [Line(self._deployment.daemons, self._chance, style) for style in styles]
        await asyncio.gather(
            *[self._repeat(work, line) for work, line in zip(works, lines, strict=True)]
        )

    def stop(self) -> None:
        """Lets what is under way end."""
        self._stopping.set()

    async def prove_service(self) -> None:
        """Has daemons answer programs, new and old ones, now that nothing is wrong."""
        for daemon in self._deployment.daemons:
            line = Line([daemon], self._chance, ONCE)
            program_id = self._next_id("proof")
            first, _ = await self._turn(line, program_id, None)
            if not isinstance(first, Turn):
                self._fail("not served", f"{program_id} at {daemon.name}: {first}")
                continue
            second, _ = await self._turn(line, program_id, first)
            if not isinstance(second, Turn):
                self._fail("not served", f"{program_id} at {daemon.name}: {second}")
        await asyncio.gather(*[self._prove_kept(*one) for one in self._remembered.items()])

    async def _prove_kept(self, program_id: str, last: Turn) -> None:
        line = Line(self._deployment.daemons, self._chance, ONCE)
        if self._chance.random() < 0.5:
            program_id = self._next_id("onward")
        for _ in range(PROOF_TRIES):
            result, _ = await self._turn(line, program_id, last)
            if isinstance(result, Turn) or result in NO_SUCH_TURN:
                return
            await asyncio.sleep(self._chance.uniform(0.2, 0.6))
        self._fail("unreached", f"{program_id} after the last fault, from {last.call_id}: {result}")

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
        spans = [span for engine in self._deployment.engines.values() for span in engine.spans]
        for finding in judge(self._attempts, self._turns, spans, self._deployment.diary):
            self._fail(*finding)

    async def _repeat(self, once: Callable[[Line], Awaitable[None]], line: Line) -> None:
        while not self._stopping.is_set():
            await asyncio.gather(*[once(line) for _ in range(2 if line.style.pipelines else 1)])
            await asyncio.sleep(self._chance.uniform(0.01, 0.1) * self._pause_factor)

    async def _program(self, line: Line) -> None:
        program_id = self._next_id("p")
        last: Turn | None = None
        for _ in range(MAX_TURNS):
            if self._stopping.is_set():
                return
            if last is not None and self._chance.random() < ONWARD:
                program_id = self._next_id("onward")
            count = 2 if last is not None and self._chance.random() < 0.3 else 1
            tries = [self._patient_turn(line, program_id, last) for _ in range(count)]
            results = await asyncio.gather(*tries)
            whole = [one for one in results if isinstance(one, Turn)]
            if not whole:
                return
            last = whole[0]
            is_new = self._spent[program_id] <= MOST_TOKENS
            if is_new and len(self._remembered) < REMEMBERED and self._chance.random() < 0.3:
                self._remembered[program_id] = last
                return

    async def _patient_turn(self, line: Line, program_id: str, last: Turn | None) -> Turn | int:
        """Sends a turn again, under a new id, after each failure."""
        result: Turn | int = 0
        calls = []
        for _ in range(MAX_TRIES):
            result, call_id = await self._turn(line, program_id, last)
            calls.append(call_id)
            if isinstance(result, Turn) or result == OVER_BUDGET or result in NO_SUCH_TURN:
                return result
            if self._stopping.is_set():
                break
            await asyncio.sleep(self._chance.uniform(0.1, 0.6))
        if last is not None:
            self._turns.append(tuple(calls))
        return result

    async def _turn(self, line: Line, program_id: str, last: Turn | None) -> tuple[Turn | int, str]:
        """Returns the turn if it came whole, else the status, 0 if there was none; and its id."""
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
        reply = await self._fetch(line, _Sent("/stream/x", headers, text), received)
        self._spent[program_id] += TOKENS_PER_EVENT * received.count(b"\n\n")
        if reply is None or reply.status != 200:
            status = reply.status if reply is not None else 0
            if status in NO_SUCH_TURN and last is not None:
                self._fail("lost", f"{call_id} of {program_id}: {status} after {last.call_id}")
            return status, call_id
        outputs = [line[6:] + b"\n" for line in reply.body.split(b"\n") if line[:6] == b"data: "]
        self._check_length(call_id, len(outputs))
        return Turn(call_id, before + text + b"".join(outputs)), call_id

    async def _resumable_stream(self, line: Line) -> None:
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
        reply = await self._fetch(line, _Sent(f"{RESUMABLE_PATH}x", headers, b"text"), received)
        whole_events, _, _ = received.rpartition(b"\n\n")
        lines = whole_events.decode().split("\n")
        texts = [line[6:] for line in lines if line.startswith("data: ")]
        if texts != [f"{call_id}.{number}" for number in range(1, len(texts) + 1)]:
            self._fail("misjoined", f"{call_id}: {texts}")
        if reply is not None and reply.status == 200:
            self._check_length(call_id, len(texts))

    def _check_length(self, call_id: str, events: int) -> None:
        """A stream that its caller was told is whole has all events."""
        if events != STREAM_EVENTS:
            self._fail("short", f"{call_id} is whole with {events} of {STREAM_EVENTS} events")

    async def _plain_call(self, line: Line) -> None:
        path = self._chance.choice(["/idempotent/", "/non_idempotent/", ADDED_PATH])
        call_id = self._next_id("c")
        if path == "/non_idempotent/":
            self._once.add(call_id)
        headers = {
            "host": HOST_NAME,
            "request-id": call_id,
            "deadline-ms": str(ROUTE_LIMIT_MS),
        }
        await self._fetch(line, _Sent(f"{path}x", headers, b""), bytearray())

    async def _fetch(self, line: Line, sent: _Sent, received: bytearray) -> Reply | None:
        try:
            connection, daemon = await line.open()
        except ConnectionLostError:
            self.counts["no connection"] += 1
            return None
        began_s = time.monotonic()
        reply: Reply | None = None
        status, gave_up, was_behind, detail = 0, False, False, ""
        work = connection.fetch(
            "POST", sent.path, headers=sent.headers, body=sent.body, on_data=received.extend
        )
        try:
            async with asyncio.timeout(PATIENCE_S * (2 if line.style.pipelines else 1)):
                reply = await work
        except ConnectionLostError as error:
            self.counts["no answer"] += 1
            status, was_behind, detail = error.status, error.was_behind, str(error)
            gave_up = connection.is_closed_here
        except TimeoutError:
            self.counts["impatient"] += 1
            gave_up = True
        line.give_back(connection, gave_up=gave_up)
        call_id = sent.headers["request-id"]
        if reply is not None:
            status = reply.status
            self.counts[str(status)] += 1
            if status in NOT_RUN:
                self._said_not_run[call_id] = status
        self._attempts.append(
            Attempt(
                call_id=call_id,
                path=sent.path.removesuffix("x"),
                daemon=daemon.name,
                is_kept=line.style.keeps,
                is_behind=line.style.pipelines,
                budget_ms=int(sent.headers["deadline-ms"]),
                sent_s=began_s,
                ended_s=time.monotonic(),
                status=status,
                is_whole=reply is not None,
                is_void=gave_up or was_behind,
                detail=detail,
            )
        )
        return reply

    def _next_id(self, kind: str) -> str:
        self._ids += 1
        return f"{self._name}-{kind}{self._ids}"

    def _fail(self, promise: str, detail: str) -> None:
        self.counts[promise] += 1
        self.faults.append(f"{promise}: {detail}")
