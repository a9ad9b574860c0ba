"""Runs tests that are coroutine functions."""

from __future__ import annotations

import asyncio
import inspect
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import pytest


def pytest_pyfunc_call(pyfuncitem: pytest.Function) -> bool | None:
    """Runs a test that is a coroutine function on a loop of its own."""
    if not inspect.iscoroutinefunction(pyfuncitem.obj):
        return None
    arguments = {name: pyfuncitem.funcargs[name] for name in pyfuncitem._fixtureinfo.argnames}
    asyncio.run(pyfuncitem.obj(**arguments))
    return True
