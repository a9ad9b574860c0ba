"""Tests of the log client against the stand-in of the log service."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import Any

import pytest

from quincespool.core import events as ev
from quincespool.core.effects import AppendRecord
from quincespool.core.effects import FollowStream
from quincespool.net.log_client import LogClient
from quincespool.net.log_client import _BadAnswerError
from quincespool.net.log_client import _checked
from quincespool.net.log_client import _ReadAnswer
from quincespool.net.log_client import _Record
from tests.net.conftest import until
from tests.support.standins.log_service import make_log_service

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from quincespool.net.metrics import Metrics
    from tests.net.conftest import StepClock
    from tests.support.standins.log_service import LogService


class Client:
    """A log client whose events are kept."""

    def __init__(self, clock: StepClock, metrics: Metrics) -> None:
        self.events: list[ev.Event] = []
        self.clock = clock
        self._metrics = metrics

    def run(self, test: Callable[[LogService], Awaitable[None]], **knobs: Any) -> list[ev.Event]:
        """Runs a test with a log service and returns the events."""

        async def run() -> None:
            async with make_log_service(**knobs) as service:
                self.log = LogClient(
                    address=service.address,
                    post=self.events.append,
                    clock=self.clock,
                    metrics=self._metrics,
                    stale_after_ms=30_000,
                )
                await test(service)
                self.log.close()

        asyncio.run(run())
        return self.events

    async def append(self, number: int, body: bytes = b"{}", *, stream: str = "s") -> ev.Event:
        before = len(self.of(ev.AppendDone, ev.AppendFailed))
        self.log.append(AppendRecord(stream, number, body))
        await until(lambda: len(self.of(ev.AppendDone, ev.AppendFailed)) > before)
        return self.of(ev.AppendDone, ev.AppendFailed)[-1]

    def of(self, *kinds: type) -> list[ev.Event]:
        return [event for event in self.events if isinstance(event, kinds)]

    def offsets(self) -> list[int]:
        return [r.offset for e in self.events if isinstance(e, ev.RecordsRead) for r in e.records]


@pytest.fixture
def client(clock: StepClock, metrics: Metrics) -> Client:
    return Client(clock, metrics)


def test_records_are_read_in_order_and_to_the_end(client: Client) -> None:
    async def test(_: LogService) -> None:
        client.log.follow(FollowStream("s", 0))
        for number in range(5):
            client.log.append(AppendRecord("s", number, b'{"n": %d}' % number))
        await until(lambda: len(client.offsets()) == 5)

    events = client.run(test)
    assert client.offsets() == [0, 1, 2, 3, 4]
    assert [e for e in events if isinstance(e, ev.AppendDone)] == [
        ev.AppendDone("s", number, number) for number in range(5)
    ]
    last = client.of(ev.RecordsRead)[-1]
    assert isinstance(last, ev.RecordsRead)
    assert last.next_offset == last.end_offset == 5
    assert last.records[-1].body == b'{"n": 4}'


def test_lost_answer_may_have_written_and_a_refusal_has_not(client: Client) -> None:
    """An append whose answer is lost.

    Symptom: a call is told "not run" although its intent stands in the log. Events: the log writes
    the record and the connection dies. Cause: taken for a refusal.
    """
    failures: list[Any] = []

    async def test(service: LogService) -> None:
        service.knobs.lose_after_write = 1
        failures.append(await client.append(1))
        service.knobs.appends_out = True
        failures.append(await client.append(2))
        service.cut_all()
        failures.append(await client.append(3, stream="other"))

    client.run(test)
    assert [(type(f), f.append_id, f.may_have_written) for f in failures] == [
        (ev.AppendFailed, 1, True),
        (ev.AppendFailed, 2, False),
        (ev.AppendFailed, 3, False),
    ]


def test_rate_limit_says_when_to_come_back(client: Client) -> None:
    async def test(_: LogService) -> None:
        await client.append(1)
        await client.append(2)

    _, failure = client.run(test, append_rate_per_s=1, append_burst=1)
    assert isinstance(failure, ev.AppendFailed)
    assert (failure.may_have_written, failure.retry_after_ms) == (False, 1000)


def test_outage_is_told_and_reading_goes_on_after_it(client: Client) -> None:
    async def test(service: LogService) -> None:
        service.knobs.reads_out = True
        client.log.follow(FollowStream("s", 0))
        await until(lambda: client.of(ev.StreamUnreachable))
        service.knobs.reads_out = False
        client.log.append(AppendRecord("s", 1, b"{}"))
        await until(lambda: client.offsets() == [0])

    client.run(test)


def test_expired_records_end_the_reading(client: Client) -> None:
    async def test(_: LogService) -> None:
        for number in range(3):
            await client.append(number)
        client.log.follow(FollowStream("s", 0))
        await until(lambda: client.of(ev.StreamExpired))

    assert client.run(test, retention_records=1)[-1] == ev.StreamExpired("s", 2)


def test_answer_that_waited_for_a_paused_process_is_no_proof_of_the_end(client: Client) -> None:
    """A paused holder that takes itself for up to date.

    Symptom: after a pause of a minute a daemon sends as if it still held its partitions. Events:
    the log's answer comes in, the process stands still, goes on and handles the answer, which says
    that the stream was read to its end. Cause: the answer's age is not looked at.
    """

    async def test(_: LogService) -> None:
        await client.append(1)
        client.log.follow(FollowStream("s", 0))
        await asyncio.sleep(0)
        client.clock.ahead_ms = 60_000
        await until(lambda: client.of(ev.RecordsRead))

    client.run(test)
    first = client.of(ev.RecordsRead)[0]
    assert isinstance(first, ev.RecordsRead)
    assert [r.offset for r in first.records] == [0]
    assert first.end_offset > first.next_offset


def test_answers_with_gaps_are_refused() -> None:
    for offsets, next_offset in (([5, 7], 7), ([4], 5), ([5], 5), ([], 6)):
        read = _ReadAnswer([_Record(n, b"{}") for n in offsets], next_offset, 9)  # type: ignore[arg-type]
        with pytest.raises(_BadAnswerError):
            _checked(read, 5)
