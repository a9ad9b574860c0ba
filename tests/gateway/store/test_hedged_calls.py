"""Requests to the store that are sent once more."""

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
    """Answers each copy as told; those beyond the script are never answered."""

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


async def test_a_lost_answer_is_made_up_for_by_another_copy() -> None:
    """Symptom: every program of a partition waits 600 ms for the end of its turn.

    Events: the store appends a batch; its answer is lost and the connection says nothing more.
    Cause: the next copy was sent only when the time limit of the first one had run out.
    """
    script = _Script(_silence, _answer)
    assert await _make_hedged().first_answer(script.call) == "done"
    assert script.sent == 2
    await asyncio.sleep(0)
    assert script.open == 0


async def test_a_silent_store_gets_few_copies() -> None:
    script = _Script()
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(0.3):
            await _make_hedged().first_answer(script.call)
    assert script.sent == MAX_COPIES


async def test_a_store_that_is_back_is_sent_another_copy_at_once() -> None:
    """Symptom: turns end up to a second after the store's return.

    Events: the store is silent; a batch is sent; the store comes back and never saw the batch.
    Cause: the batch waited for an answer until its own limit.
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


async def test_a_store_that_is_back_is_sent_a_copy_though_all_are_out() -> None:
    """Symptom: after a silent outage turns end half a second later than the store's return.

    Events: the store is silent; three copies of a batch go out within 100 ms; the store is back.
    Cause: no copy is sent beyond the third until one has met its own time limit.
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


async def test_a_refusal_is_told_when_no_copy_is_left() -> None:
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


async def test_a_final_refusal_is_told_at_once() -> None:
    script = _Script(_silence, _fence)
    with pytest.raises(FencedError):
        await _make_hedged().first_answer(script.call)


async def test_a_pause_ends_when_the_store_is_back() -> None:
    hedged = _make_hedged()
    pausing = asyncio.create_task(hedged.pause(10.0))
    await asyncio.sleep(0)
    hedged.resend_all()
    async with asyncio.timeout(0.2):
        await pausing
