"""Futures whose outcome perhaps nobody waits for."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

if TYPE_CHECKING:
    import asyncio


def forget_error(done: asyncio.Future[Any]) -> None:
    """Marks an error as seen; without that the loop reports it as one that nobody handled."""
    if not done.cancelled():
        done.exception()
