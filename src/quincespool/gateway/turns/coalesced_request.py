"""A request whose answer is shared by concurrent callers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import Any

from quincespool.gateway.futures import ignore_error

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Coroutine


class CoalescedRequest:
    """Sends one request at a time; callers that wait for the same request share its answer.

    A caller only gets the answer to a request that is sent after its call: an earlier one may have
    been answered from an older state.
    """

    def __init__(self, send: Callable[[], Coroutine[Any, Any, None]]) -> None:
        self._send = send
        self._running: asyncio.Task[None] | None = None
        self._next: asyncio.Task[None] | None = None

    async def run(self) -> None:
        """Returns once a request that is sent after this call is answered, or raises its error."""
        if self._next is None:
            work = self._send_after(self._running)
            self._next = asyncio.get_running_loop().create_task(work)
            self._next.add_done_callback(ignore_error)
        await asyncio.shield(self._next)

    async def _send_after(self, running: asyncio.Task[None] | None) -> None:
        if running is not None:
            await asyncio.wait({running})
        self._running, self._next = self._next, None
        await self._send()
