"""Hedged requests to the store: copies of an idempotent request are sent when an answer is late."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import Any
from typing import TypeVar

from quincespool.gateway.futures import ignore_error
from quincespool.gateway.store.interface import StoreError
from quincespool.policy.answer_times import AnswerTimes

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Coroutine

T = TypeVar("T")

# Copies of one request in flight at once. Where a quarter of all answers are lost, all three copies
# are lost once in a hundred times; more copies would only add load to a store that is slow.
MAX_COPIES = 3


class HedgedRequests:
    """Sends copies of a request until one is answered; shared by all requests of a daemon.

    Without hedging, when an answer of the store is lost and its connection stays silent, a
    partition with all its programs waits for the full timeout. The symptom is a `gateway_record_ms`
    as long as the timeout while most answers take a few milliseconds. The requests must be
    idempotent.

    Attributes:
      times: Statistics of answer times, which determine when the next copy is sent.
    """

    def __init__(self, *, on_hedge: Callable[[], None]) -> None:
        self.times = AnswerTimes()
        self._on_hedge = on_hedge
        self._recovered: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    def resend_all(self) -> None:
        """Sends another copy of every request in flight at once, because the store has recovered.

        Copies that were sent before may have been lost in the outage.
        """
        self._recovered.set_result(None)
        self._recovered = asyncio.get_running_loop().create_future()

    async def pause(self, seconds: float) -> None:
        """Waits until the store has recovered from an outage, but at most for `seconds`."""
        await asyncio.wait({self._recovered}, timeout=seconds)

    async def first_answer(self, call: Callable[[], Coroutine[Any, Any, T]]) -> T:
        """Returns the result of the first copy of the request that succeeds.

        Args:
          call: Sends one copy, on a connection of its own.

        Raises:
          StoreError: If no copy succeeds, with the error of the last one; if a copy gets a final
            refusal, at once.
        """
        # Ordered by the time at which they were sent.
        copies: list[asyncio.Task[T]] = []
        done: list[asyncio.Task[T]] = []
        sent = 0
        try:
            while True:
                # After a refusal no copy is sent while an earlier one may still be answered:
                # otherwise a store that refuses requests would receive one copy after another.
                if not done and len(copies) < MAX_COPIES:
                    copies.append(self._send(call, is_hedge=sent > 0))
                    sent += 1
                recovered = self._recovered
                done = await self._wait(copies, self.times.wait_ms(sent))
                copies = [copy for copy in copies if copy not in done]
                if recovered.done() and not done and len(copies) == MAX_COPIES:
                    # All copies were sent during the outage and may be lost. The oldest one is
                    # cancelled so that a new one can be sent: waiting for them would delay the
                    # answer by up to one timeout after the store's recovery.
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
        # Nothing retrieves the exception of a copy if another one succeeds first.
        copy.add_done_callback(ignore_error)
        return copy

    async def _wait(self, copies: list[asyncio.Task[T]], limit_ms: float) -> list[asyncio.Task[T]]:
        """Returns the copies that are done; none if it is time to send another one."""
        waited: set[asyncio.Future[Any]] = {*copies, self._recovered}
        await asyncio.wait(waited, timeout=limit_ms / 1000, return_when=asyncio.FIRST_COMPLETED)
        return [copy for copy in copies if copy.done()]

    async def _timed(self, call: Callable[[], Coroutine[Any, Any, T]]) -> T:
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        result = await call()
        self.times.observe((loop.time() - began_s) * 1000)
        return result
