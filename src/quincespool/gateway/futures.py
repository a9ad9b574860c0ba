"""Futures whose outcome perhaps nobody waits for."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import Any
from typing import TypeVar

if TYPE_CHECKING:
    from collections.abc import Coroutine

T = TypeVar("T")


def forget_error(done: asyncio.Future[Any]) -> None:
    """Marks an error as seen; without that the loop reports it as one that nobody handled."""
    if not done.cancelled():
        done.exception()


def start_kept(work: Coroutine[Any, Any, T], tasks: set[asyncio.Task[T]]) -> asyncio.Task[T]:
    """Starts work that nobody need wait for, and keeps its task in a set until it is done.

    The loop has only weak references to tasks: one that is kept nowhere may be collected half done.
    """
    task = asyncio.get_running_loop().create_task(work)
    tasks.add(task)
    task.add_done_callback(tasks.discard)
    return task
