"""Fixtures for the command line: a way to run it, a log service, and a daemon's operator paths."""

from __future__ import annotations

import asyncio
import threading
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple
from typing import TypeVar

import msgspec
import pytest

from quincespool.cli.main import run
from tests.support.standins.http import StandIn
from tests.support.standins.log_service import LogService
from tests.support.standins.log_service import make_log_service

if TYPE_CHECKING:
    from collections.abc import Iterator

    from tests.support.standins.http import Exchange

S = TypeVar("S", bound=StandIn[Any])


class Result(NamedTuple):
    code: int
    out: str
    err: str


class Cli(NamedTuple):
    """Runs command lines."""

    capsys: pytest.CaptureFixture[str]

    def __call__(self, *arguments: str) -> Result:
        self.capsys.readouterr()
        return Result(run(arguments), *self.capsys.readouterr())


class OperatorPaths(StandIn[msgspec.Struct]):
    """Answers as a daemon does on its operator paths, from `answers`: path to status and body."""

    def __init__(self) -> None:
        super().__init__(msgspec.Struct())
        self.answers: dict[str, tuple[int, object]] = {}
        self.asked: list[str] = []

    async def handle(self, exchange: Exchange) -> None:
        request = exchange.request
        query = f"?program={request.query['program']}" if request.query else ""
        asked = f"{request.method} {request.path}{query}"
        self.asked.append(asked)
        await exchange.reply(*self.answers[asked])


@pytest.fixture
def cli(capsys: pytest.CaptureFixture[str]) -> Cli:
    return Cli(capsys)


@pytest.fixture
def log() -> Iterator[LogService]:
    yield from serve_in_thread(make_log_service())


@pytest.fixture
def daemon() -> Iterator[OperatorPaths]:
    yield from serve_in_thread(OperatorPaths())


def serve_in_thread(stand_in: S) -> Iterator[S]:
    """Runs a stand-in on a loop in a thread of its own, since the commands block."""
    ready = threading.Event()
    loop = asyncio.new_event_loop()
    done = asyncio.Event()

    async def serve() -> None:
        async with stand_in:
            ready.set()
            await done.wait()

    thread = threading.Thread(target=loop.run_until_complete, args=(serve(),))
    thread.start()
    assert ready.wait(timeout=10)
    yield stand_in
    loop.call_soon_threadsafe(done.set)
    thread.join(timeout=10)
    loop.close()
