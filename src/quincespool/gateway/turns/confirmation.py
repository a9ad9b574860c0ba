"""One question to the store, shared by all who ask while it is under way."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import Any

from quincespool.gateway.futures import ignore_error

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Coroutine


class SharedQuestion:
    """Asks one at a time; an answer counts for those only who came before it was asked."""

    def __init__(self, ask: Callable[[], Coroutine[Any, Any, None]]) -> None:
        self._ask = ask
        self._running: asyncio.Task[None] | None = None
        self._next: asyncio.Task[None] | None = None

    async def ask(self) -> None:
        """Returns once a question that was asked from now on is answered, or raises what it did."""
        if self._next is None:
            work = self._ask_after(self._running)
            self._next = asyncio.get_running_loop().create_task(work)
            self._next.add_done_callback(ignore_error)
        await asyncio.shield(self._next)

    async def _ask_after(self, running: asyncio.Task[None] | None) -> None:
        if running is not None:
            await asyncio.wait({running})
        self._running, self._next = self._next, None
        await self._ask()
