"""Runs tests that are coroutine functions."""

from __future__ import annotations

import asyncio
import gc
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
    # What tasks that were cancelled leave behind is collected here. Collected while the interpreter
    # parses a module that is imported later, it ends Python 3.11 with "AST constructor recursion
    # depth mismatch": finalizers that run in the middle of the parser change the depth it checks.
    gc.collect()
    return True
