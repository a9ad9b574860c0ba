"""Futures whose outcome perhaps nobody waits for."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import Any
from typing import TypeVar

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Coroutine

    from quincespool.gateway.decision_log import DecisionLog

T = TypeVar("T")

# A fault that comes again at once must not take the processor from everything else.
RESTART_S = 0.25


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


async def keep_running(
    part: str, make_work: Callable[[], Coroutine[Any, Any, None]], log: DecisionLog
) -> None:
    """Runs work that the daemon's service rests on, and begins it again after a fault of its own.

    What goes wrong without it: a task ends by an exception that nobody looks at, and the daemon
    serves on without it, such as with a lease that is never renewed, until it is restarted. One
    notices the line `part failed`.
    """
    while True:
        try:
            await make_work()
        except Exception as error:
            log.write_always("part failed", part=part, error=repr(error))
            report_fault(f"{part} failed", error)
        else:
            return
        await asyncio.sleep(RESTART_S)


def report_fault(message: str, error: BaseException) -> None:
    """Reports a fault of this program as the loop does for one that nobody has handled."""
    loop = asyncio.get_running_loop()
    loop.call_exception_handler({"message": message, "exception": error})
