"""Helpers for background tasks and for futures that may never be awaited."""

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

# Delay before a failed task is restarted, so that a task that fails immediately does not use up the
# processor.
RESTART_S = 0.25


def ignore_error(done: asyncio.Future[Any]) -> None:
    """Marks a future's exception as retrieved; otherwise the event loop would report it."""
    if not done.cancelled():
        done.exception()


def start_background_task(
    work: Coroutine[Any, Any, T], tasks: set[asyncio.Task[T]]
) -> asyncio.Task[T]:
    """Starts a task that need not be awaited and keeps it in a set until it is done.

    The event loop holds only weak references to tasks, so a task without another reference may be
    garbage-collected before it is done.

    Args:
      work: The coroutine to run.
      tasks: Set that holds the task while it runs.
    """
    task = asyncio.get_running_loop().create_task(work)
    tasks.add(task)
    task.add_done_callback(tasks.discard)
    return task


async def run_with_restarts(
    task_name: str, make_work: Callable[[], Coroutine[Any, Any, None]], log: DecisionLog
) -> None:
    """Runs a task that the daemon depends on and restarts it when it raises an exception.

    Without the restart, such a task would end by an unhandled exception and the daemon would
    continue without it until its own restart, for example with a lease that is never renewed. Each
    failure writes the log line `part failed`.

    Args:
      task_name: Name of the task for the log.
      make_work: Creates the coroutine to run.
      log: Receives a line on each failure.
    """
    while True:
        try:
            await make_work()
        except Exception as error:
            log.write_always("part failed", part=task_name, error=repr(error))
            report_exception(f"{task_name} failed", error)
        else:
            return
        await asyncio.sleep(RESTART_S)


def report_exception(message: str, error: BaseException) -> None:
    """Reports an exception to the event loop's handler, as for an unhandled one."""
    loop = asyncio.get_running_loop()
    loop.call_exception_handler({"message": message, "exception": error})
