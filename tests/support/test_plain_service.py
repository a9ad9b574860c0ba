"""Tests of the plain service and host list stand-ins."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from tests.support.client import ConnectionLostError
from tests.support.client import fetch
from tests.support.standins.host_list import Host
from tests.support.standins.host_list import make_host_list
from tests.support.standins.plain_service import make_plain_service


async def _order(address: str, number: int, *, fencing_number: int = 1) -> int:
    headers = {
        "x-program-id": "p",
        "x-call-number": str(number),
        "x-request-id": f"a{number}",
        "x-fencing-number": str(fencing_number),
    }
    reply = await fetch(address, "POST", "/reorders", headers=headers, body=b"{}")
    return reply.status


@pytest.mark.parametrize(
    ("fault", "status", "effects"),
    [
        ("fail_before", 500, {"p#2": 1}),
        ("fail_after", 500, {"p#1": 1, "p#2": 1}),
        ("cut_before", None, {"p#2": 1}),
        ("cut_after", None, {"p#1": 1, "p#2": 1}),
    ],
)
def test_fault_around_the_effect(fault: str, status: int | None, effects: dict[str, int]) -> None:
    """A reorder fails, and from outside nobody can tell whether it took effect first."""

    async def scenario() -> None:
        knobs: dict[str, Any] = {fault: 1}
        async with make_plain_service(**knobs) as service:
            if status:
                assert await _order(service.address, 1) == status
            else:
                with pytest.raises(ConnectionLostError):
                    await _order(service.address, 1)
            assert await _order(service.address, 2) == 200
            assert service.counts()["by_call"] == effects

    asyncio.run(scenario())


def test_hung_request_takes_effect_late_although_its_caller_left() -> None:
    """A tool hangs, its caller gives up, and the tool acts all the same when it comes to life."""

    async def scenario() -> None:
        async with make_plain_service(hang=True) as service:
            call = asyncio.create_task(_order(service.address, 1))
            while service.counts()["requests"] == 0:
                await asyncio.sleep(0)
            call.cancel()
            await asyncio.gather(call, return_exceptions=True)
            assert service.counts()["journal"] == []
            await fetch(service.address, "POST", "/control", body=b'{"hang": false}')
            while not service.counts()["journal"]:
                await asyncio.sleep(0)
            assert service.counts()["by_request"] == {"a1": 1}

    asyncio.run(scenario())


def test_old_fencing_number_is_refused_without_effect() -> None:
    """A paused keeper sends an order after a newer keeper has sent one."""

    async def scenario() -> None:
        async with make_plain_service(checks_fencing=True) as service:
            numbers = {1: 5, 2: 4, 3: 5}
            statuses = [
                await _order(service.address, call, fencing_number=number)
                for call, number in numbers.items()
            ]
            assert statuses == [200, 412, 200]
            assert service.counts()["by_call"] == {"p#1": 1, "p#3": 1}

    asyncio.run(scenario())


def test_host_list_shows_the_truth_late_or_bent() -> None:
    live = Host(address="127.0.0.1:1", state="live", role="backend")
    leaving = Host(address="127.0.0.1:1", state="leaving", role="backend")

    async def shown(address: str) -> Any:
        return (await fetch(address, "GET", "/hosts")).json()["hosts"]

    async def scenario() -> None:
        async with make_host_list(hosts=[live], lag_ms=1e9) as hosts:
            hosts.knobs.hosts = [leaving]
            hosts.controlled()
            assert await shown(hosts.address) == [live]
            hosts.knobs.stale = True
            hosts.knobs.lag_ms = 0
            assert await shown(hosts.address) == [live]
            hosts.knobs.stale = False
            assert await shown(hosts.address) == [leaving]
            hosts.knobs.wrong = [live, leaving]
            assert await shown(hosts.address) == [live, leaving]
            hosts.knobs.empty = True
            assert await shown(hosts.address) == []

    asyncio.run(scenario())
