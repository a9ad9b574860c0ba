"""A small reducer and other fixtures for the tests of the shell."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

import pytest

from quincespool.core.timers import Timers
from quincespool.net.clock import Clock
from quincespool.net.metrics import Metrics
from quincespool.settings import Settings

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from quincespool.core.effects import Effect
    from quincespool.core.events import Event


class FakeMembers(dict[str, Any]):
    find = dict.get


class FakeState(NamedTuple):
    timers: Timers
    members: FakeMembers
    ready: bool = True


class FakeReducer:
    """Answers each event with what `answer` returns for it, and keeps the events."""

    def __init__(self) -> None:
        self.events: list[Event] = []
        self.answer: Callable[[Event], list[Effect]] = lambda _: []
        self.state = FakeState(Timers(), FakeMembers())
        self._entered = False

    def make_daemon(self, settings: Settings, *, now_ms: int, seed: int) -> FakeState:
        return self.state

    def step(self, state: FakeState, now_ms: int, event: Event) -> list[Effect]:
        assert not self._entered
        self._entered = True
        try:
            self.events.append(event)
            return self.answer(event)
        finally:
            self._entered = False

    def tick(self, state: FakeState, now_ms: int) -> list[Effect]:
        fired = state.timers.pop_due(now_ms)
        return [effect for event in fired for effect in self.step(state, now_ms, event)]

    def dump(self, state: FakeState) -> dict[str, object]:
        return {"events": len(self.events)}


class StepClock(Clock):
    """A clock that tests can push forward, as if the process had stood still."""

    ahead_ms = 0

    def now_ms(self) -> int:
        return super().now_ms() + self.ahead_ms


@pytest.fixture
def reducer() -> FakeReducer:
    return FakeReducer()


@pytest.fixture
def clock() -> StepClock:
    return StepClock()


@pytest.fixture
def metrics() -> Metrics:
    return Metrics()


@pytest.fixture
def settings() -> Settings:
    return Settings(
        member_id="m1",
        zone="z",
        host="127.0.0.1",
        http_port=0,
        peer_port=0,
        log_address="127.0.0.1:9",
        max_body_bytes=10_000,
    )


def typed(events: Sequence[Event]) -> list[tuple[type, Event]]:
    """Returns events with their kinds: NamedTuples of different kinds may be equal."""
    return [(type(event), event) for event in events]


async def until(condition: Callable[[], object]) -> None:
    """Waits for a condition; the test's own time limit ends it."""
    while not condition():
        await asyncio.sleep(0.002)


async def ask(port: int, data: bytes, *, end: bool = False) -> str:
    """Sends bytes and returns what comes back until the other side closes."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(data)
    if end:
        writer.write_eof()
    answer = await reader.read()
    writer.close()
    return answer.decode()
