"""The event loop that a gateway daemon runs on: one loop, on one thread."""

from __future__ import annotations

import os
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio

# Read by the library when its first loop is made.
_IO_URING_VARIABLE = "UV_USE_IO_URING"


def make_event_loop() -> asyncio.AbstractEventLoop:
    """Returns a new loop that is implemented in C, and uses no io_uring."""
    os.environ[_IO_URING_VARIABLE] = "0"
    # Imported after the variable is set, and only by processes that run a loop.
    import uvloop  # noqa: PLC0415

    return uvloop.new_event_loop()
