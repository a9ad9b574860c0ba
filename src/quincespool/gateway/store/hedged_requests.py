"""Idempotent requests to the store, sent once more when no answer comes in the usual time."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import Any
from typing import TypeVar

from quincespool.gateway.futures import forget_error
from quincespool.gateway.store.interface import StoreError
from quincespool.policy.answer_times import AnswerTimes

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Coroutine

T = TypeVar("T")

# Copies of one request under way at once. A third copy is lost with the two before it once in a
# hundred times where a quarter of all answers are; more would only load a store that is slow.
MAX_COPIES = 3


class HedgedRequests:
    """Sends copies of a request until one is answered; shared by all requests of a daemon.

    What goes wrong without it: an answer of the store is lost, its connection says nothing any
    more, and a partition with all its programs waits for the whole time limit. One notices a
    `gateway_record_ms` of the time limit while most answers take a few milliseconds. Only for
    requests that may be done twice.
    """

    def __init__(self, *, on_hedge: Callable[[], None]) -> None:
        self.times = AnswerTimes()
        self._on_hedge = on_hedge
        self._returned: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    def wake(self) -> None:
        """Has every request under way sent once more now: the store has come back.

        What was sent before may have met the outage and be lost.
        """
        self._returned.set_result(None)
        self._returned = asyncio.get_running_loop().create_future()

    async def pause(self, seconds: float) -> None:
        """Waits, at most until the store has come back."""
        await asyncio.wait({self._returned}, timeout=seconds)

    async def first_answer(self, call: Callable[[], Coroutine[Any, Any, T]]) -> T:
        """Returns the first result that a copy of the request brings.

        Args:
          call: Sends one copy; each has a connection of its own.

        Raises:
          StoreError: what the last copy brought, if none has a result; at once if the store refuses
            the request for good.
        """
        # In the order in which they were sent.
        copies: list[asyncio.Task[T]] = []
        done: list[asyncio.Task[T]] = []
        sent = 0
        try:
            while True:
                # After a refusal nothing is sent while an earlier copy may still be answered: a
                # store that turns requests away would be sent one after the other.
                if not done and len(copies) < MAX_COPIES:
                    copies.append(self._send(call, is_hedge=sent > 0))
                    sent += 1
                returned = self._returned
                done = await self._wait(copies, self.times.wait_ms(sent))
                copies = [copy for copy in copies if copy not in done]
                if returned.done() and not done and len(copies) == MAX_COPIES:
                    # All met the outage and may be lost in it. Were they waited for, the request
                    # would be answered up to one time limit after the store's return.
                    copies.pop(0).cancel()
                for copy in done:
                    error = copy.exception()
                    if error is None:
                        return copy.result()
                    if not isinstance(error, StoreError) or error.final or not copies:
                        raise error
        finally:
            for copy in copies:
                copy.cancel()

    def _send(
        self, call: Callable[[], Coroutine[Any, Any, T]], *, is_hedge: bool
    ) -> asyncio.Task[T]:
        if is_hedge:
            self._on_hedge()
        copy = asyncio.get_running_loop().create_task(self._timed(call))
        # Another copy may have brought the result first.
        copy.add_done_callback(forget_error)
        return copy

    async def _wait(self, copies: list[asyncio.Task[T]], limit_ms: float) -> list[asyncio.Task[T]]:
        """Returns the copies that are done, none when it is time for another one."""
        waited: set[asyncio.Future[Any]] = {*copies, self._returned}
        await asyncio.wait(waited, timeout=limit_ms / 1000, return_when=asyncio.FIRST_COMPLETED)
        return [copy for copy in copies if copy.done()]

    async def _timed(self, call: Callable[[], Coroutine[Any, Any, T]]) -> T:
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        result = await call()
        self.times.observe((loop.time() - began_s) * 1000)
        return result
