"""The pool of connections to backend servers."""

from __future__ import annotations

from quincespool.gateway.backends.pool import ConnectionPool
from quincespool.gateway.model import BackendEntry
from tests.support.standins.platform_engine import make_platform_engine


async def test_a_connection_is_not_used_after_its_entry_has_another_address() -> None:
    """Guards against calls to the process that listens where the backend server was before."""
    async with make_platform_engine("e1") as old, make_platform_engine("e1") as new:
        pool = ConnectionPool(on_open=lambda: None)
        entry = BackendEntry("e1", "model", old.address, "z", 4, leaving=False, cold_ms=0)
        first = await pool.acquire(entry)
        pool.release(entry, first, idle_s=60.0)
        assert await pool.acquire(entry) is first
        pool.release(entry, first, idle_s=60.0)

        moved = await pool.acquire(entry._replace(address=new.address))
        assert moved is not first
        assert moved.address == new.address
        moved.close()
