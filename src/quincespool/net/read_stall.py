"""A time limit for a caller that does not read its answers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

STALL_LIMIT_S = 30.0


class ReadStall:
    """Runs while a caller reads less than it is sent, and drops one that reads nothing."""

    def __init__(self, transport: asyncio.Transport, *, drop: Callable[[], None]) -> None:
        self._transport = transport
        self._drop = drop
        self._timer: asyncio.TimerHandle | None = None

    @property
    def is_running(self) -> bool:
        """Whether what was sent waits to be read."""
        return self._timer is not None

    def start(self) -> None:
        """Starts the limit anew."""
        unsent_bytes = self._transport.get_write_buffer_size()
        self._timer = asyncio.get_running_loop().call_later(
            STALL_LIMIT_S, self._check, unsent_bytes
        )

    def stop(self) -> None:
        """Ends the limit, as the caller has read or is gone."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _check(self, earlier_unsent_bytes: int) -> None:
        """Drops a caller that has read nothing meanwhile; one that reads slowly may go on."""
        if self._transport.get_write_buffer_size() < earlier_unsent_bytes:
            self.start()
        else:
            self._drop()
