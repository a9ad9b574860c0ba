"""What the kernel tells of a silent connection."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from types import SimpleNamespace
from typing import TYPE_CHECKING
from typing import cast

from quincespool.net.socket_options import last_received_ms_ago
from quincespool.net.socket_options import limit_silence
from quincespool.net.socket_options import probe_after

if TYPE_CHECKING:
    from collections.abc import Iterator


@contextlib.contextmanager
def _silent_connection() -> Iterator[asyncio.Transport]:
    """Yields a connection whose other process never reads or writes."""
    with (
        socket.create_server(("127.0.0.1", 0)) as listener,
        socket.create_connection(listener.getsockname()) as sock,
    ):
        transport = SimpleNamespace(get_extra_info=lambda _: sock)
        sock.sendall(b"asks")
        yield cast("asyncio.Transport", transport)


async def test_a_host_whose_process_is_silent_acknowledges_a_probe() -> None:
    with _silent_connection() as transport:
        limit_silence(transport)
        await asyncio.sleep(0.5)
        unprobed_ms = last_received_ms_ago(transport)
        assert unprobed_ms is not None
        assert unprobed_ms >= 400
        probe_after(transport, 1)
        await asyncio.sleep(0.7)
        probed_ms = last_received_ms_ago(transport)
        assert probed_ms is not None
        assert probed_ms < 1_000


def test_a_kernel_that_measures_no_times_is_not_believed() -> None:
    """Guards against hosts without power that are waited for, as zeros read as just heard."""
    sock = SimpleNamespace(getsockopt=lambda *_: bytes(60))
    transport = SimpleNamespace(get_extra_info=lambda _: sock)
    assert last_received_ms_ago(cast("asyncio.Transport", transport)) is None
