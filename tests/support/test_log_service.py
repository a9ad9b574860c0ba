"""Tests of the log service stand-in."""

from __future__ import annotations

import asyncio
from typing import Any

import msgspec
import pytest

from tests.support.client import ConnectionLostError
from tests.support.client import Reply
from tests.support.client import fetch
from tests.support.standins.log_service import make_log_service


async def _append(address: str, number: int) -> Reply:
    body = msgspec.json.encode({"number": number})
    return await fetch(address, "POST", "/streams/s/records", body=body)


async def _read(address: str, start: int = 0, *, wait_ms: int = 0) -> Reply:
    return await fetch(address, "GET", f"/streams/s/records?from={start}&wait_ms={wait_ms}")


async def _control(address: str, **knobs: object) -> None:
    reply = await fetch(address, "POST", "/control", body=msgspec.json.encode(knobs))
    assert reply.status == 200


def _numbers(reply: Reply) -> list[int]:
    return [record["body"]["number"] for record in reply.json()["records"]]


def test_waiting_read_gets_the_first_record_of_a_stream() -> None:
    async def scenario() -> None:
        async with make_log_service() as log:
            reading = asyncio.create_task(_read(log.address, wait_ms=30_000))
            while not log.has_stream("s"):
                await asyncio.sleep(0)
            assert (await _append(log.address, 7)).json() == {"offset": 0}
            reply = await reading
            assert _numbers(reply) == [7]
            assert (reply.json()["next_offset"], reply.json()["end_offset"]) == (1, 1)

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("knob", "kept"), [("lose_after_write", [1, 2]), ("lose_before_write", [2])]
)
def test_lost_answer_to_an_append(knob: str, kept: list[int]) -> None:
    """The writer cannot tell whether its record stands.

    The connection breaks on an append: the answer is lost after the write has taken effect, or the
    request is lost before it. Both look alike to the writer; only a read tells.
    """

    async def scenario() -> None:
        knobs: dict[str, Any] = {knob: 1}
        async with make_log_service(**knobs) as log:
            with pytest.raises(ConnectionLostError) as lost:
                await _append(log.address, 1)
            assert lost.value.sent
            assert (await _append(log.address, 2)).status == 200
            assert _numbers(await _read(log.address)) == kept

    asyncio.run(scenario())


def test_expired_records_answer_with_the_earliest_offset() -> None:
    """A reader that was away too long finds its records gone.

    Retention drops records by command, by count and by age while the reader is away; its next read
    names an offset that is no longer kept.
    """
    now_s = [0.0]

    async def scenario() -> None:
        async with make_log_service(clock=lambda: now_s[0]) as log:
            for number in range(6):
                now_s[0] = float(number)
                await _append(log.address, number)
            await _control(log.address, expire_before={"s": 1})
            gone = await _read(log.address)
            assert (gone.status, gone.json()) == (410, {"earliest_offset": 1})
            await _control(log.address, retention_records=3)
            assert (await _read(log.address, 2)).json() == {"earliest_offset": 3}
            await _control(log.address, retention_ms=1000)
            assert (await _read(log.address, 3)).json() == {"earliest_offset": 4}
            assert _numbers(await _read(log.address, 4)) == [4, 5]

    asyncio.run(scenario())


def test_append_rate_is_limited() -> None:
    now_s = [0.0]

    async def scenario() -> None:
        async with make_log_service(
            clock=lambda: now_s[0], append_rate_per_s=2, append_burst=3
        ) as log:
            replies = [await _append(log.address, number) for number in range(4)]
            assert [reply.status for reply in replies] == [200, 200, 200, 429]
            assert replies[-1].headers["retry-after"] == "1"
            now_s[0] = 0.5
            assert [(await _append(log.address, n)).status for n in range(2)] == [200, 429]
            assert log.counts()["appends"] == {"s": 4}

    asyncio.run(scenario())


def test_outage_ends_waiting_reads_and_refuses_appends() -> None:
    """The log is out: waiting reads come back with 503, appends are refused and not written."""

    async def scenario() -> None:
        async with make_log_service() as log:
            reading = asyncio.create_task(_read(log.address, wait_ms=30_000))
            while not log.has_stream("s"):
                await asyncio.sleep(0)
            await _control(log.address, reads_out=True, appends_out=True)
            assert (await reading).status == 503
            assert (await _append(log.address, 1)).status == 503
            await _control(log.address, reads_out=False, appends_out=False)
            assert _numbers(await _read(log.address)) == []

    asyncio.run(scenario())
