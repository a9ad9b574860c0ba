"""Hedged requests to the store."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from quincespool.gateway.store.hedged_requests import MAX_COPIES
from quincespool.gateway.store.hedged_requests import HedgedRequests
from quincespool.gateway.store.interface import FencedError
from quincespool.gateway.store.interface import StoreError

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable


class _Script:
    """Answers each copy of a request by the next step; copies beyond the steps get no answer."""

    def __init__(self, *steps: Callable[[], Awaitable[str]]) -> None:
        self.sent = 0
        self.open = 0
        self._steps = steps

    async def call(self) -> str:
        step = self._steps[self.sent] if self.sent < len(self._steps) else _silence
        self.sent += 1
        self.open += 1
        try:
            return await step()
        finally:
            self.open -= 1


async def _silence() -> str:
    await asyncio.Event().wait()
    return ""


async def _answer() -> str:
    return "done"


async def _refuse() -> str:
    raise StoreError("status 503", refused=True)


async def _fence() -> str:
    raise FencedError


def _make_hedged() -> HedgedRequests:
    return HedgedRequests(on_hedge=lambda: None)


async def test_another_copy_is_sent_when_an_answer_is_lost() -> None:
    """Programs of a partition must not wait 600 ms for the end of a turn when an answer is lost.

    The store appends a batch, but its answer is lost and the connection stays silent. Another copy
    must be sent before the timeout of the first one.
    """
    script = _Script(_silence, _answer)
    assert await _make_hedged().first_answer(script.call) == "done"
    assert script.sent == 2
    await asyncio.sleep(0)
    assert script.open == 0


async def test_a_silent_store_receives_a_limited_number_of_copies() -> None:
    script = _Script()
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(0.3):
            await _make_hedged().first_answer(script.call)
    assert script.sent == MAX_COPIES


async def test_another_copy_is_sent_at_once_when_the_store_recovers() -> None:
    """Turns must not end up to a second later than the store recovers.

    A batch is sent while the store is silent and never reaches the store. After the recovery, the
    batch must not wait for its own timeout.
    """
    hedged = _make_hedged()
    hedged.times.mean_ms = 10_000.0
    script = _Script(_silence, _answer)
    running = asyncio.create_task(hedged.first_answer(script.call))
    await asyncio.sleep(0.01)
    assert script.sent == 1
    hedged.resend_all()
    async with asyncio.timeout(0.2):
        assert await running == "done"


async def test_another_copy_is_sent_on_recovery_although_the_maximum_is_in_flight() -> None:
    """After a silent outage, turns must not end half a second later than the store recovers.

    Three copies of a batch are sent within 100 ms while the store is silent. After the recovery,
    another copy must be sent before one of the three reaches its own timeout.
    """
    hedged = _make_hedged()
    script = _Script(_silence, _silence, _silence, _answer)
    running = asyncio.create_task(hedged.first_answer(script.call))
    async with asyncio.timeout(2.0):
        while script.sent < MAX_COPIES:
            await asyncio.sleep(0.01)
    hedged.resend_all()
    async with asyncio.timeout(0.3):
        assert await running == "done"


async def test_a_refusal_is_raised_when_no_copy_is_in_flight() -> None:
    script = _Script(_refuse)
    with pytest.raises(StoreError):
        await _make_hedged().first_answer(script.call)
    assert script.sent == 1


async def test_a_refused_copy_does_not_end_the_wait_for_another() -> None:
    async def answer_late() -> str:
        await asyncio.sleep(0.08)
        return "late"

    script = _Script(answer_late, _refuse)
    assert await _make_hedged().first_answer(script.call) == "late"
    assert script.sent <= MAX_COPIES


async def test_a_final_refusal_is_raised_at_once() -> None:
    script = _Script(_silence, _fence)
    with pytest.raises(FencedError):
        await _make_hedged().first_answer(script.call)


async def test_a_pause_ends_when_the_store_recovers() -> None:
    hedged = _make_hedged()
    pausing = asyncio.create_task(hedged.pause(10.0))
    await asyncio.sleep(0)
    hedged.resend_all()
    async with asyncio.timeout(0.2):
        await pausing
