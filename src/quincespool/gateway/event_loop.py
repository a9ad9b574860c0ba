"""The event loop that a gateway daemon runs on: one loop, on one thread."""

from __future__ import annotations

import os
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio

# uvloop reads this environment variable when its first loop is created.
_IO_URING_VARIABLE = "UV_USE_IO_URING"


def make_event_loop() -> asyncio.AbstractEventLoop:
    """Returns a new uvloop event loop, which is implemented in C, with io_uring disabled."""
    os.environ[_IO_URING_VARIABLE] = "0"
    # Imported after the variable is set and only in processes that run an event loop.
    import uvloop  # noqa: PLC0415

    return uvloop.new_event_loop()
