"""A loopback proxy for TCP that delays, resets, cuts one way and falls silent."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING
from typing import Self

if TYPE_CHECKING:
    from collections.abc import Coroutine

_READ_BYTES = 65_536
# How often a direction that is cut looks whether it is healed.
_HEAL_POLL_S = 0.02


class Proxy:
    """Passes connections on to one address.

    Attributes:
      delay_s: Before each piece, in both directions.
      cut_forth: Nothing that callers send arrives; what they sent before the healing is lost.
      cut_back: Nothing that the server sends arrives.
    """

    def __init__(self, target: str) -> None:
        self.delay_s = 0.0
        self.cut_forth = False
        self.cut_back = False
        self.address = ""
        self._target = target
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def __aenter__(self) -> Self:
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        return self

    async def __aexit__(self, *_: object) -> None:
        if self._server is not None:
            self._server.close()
        self.reset()
        for task in self._tasks:
            task.cancel()

    def reset(self) -> None:
        """Resets all connections."""
        for writer in self._writers:
            writer.transport.abort()

    def heal(self) -> None:
        """Ends all faults; connections that lost something are reset, as TCP would never go on."""
        if self.cut_forth or self.cut_back:
            self.reset()
        self.delay_s, self.cut_forth, self.cut_back = 0.0, False, False

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        host, _, port = self._target.rpartition(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self._spawn(self._pump(reader, far_writer, forth=True))
        self._spawn(self._pump(far_reader, writer, forth=False))

    def _spawn(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, *, forth: bool
    ) -> None:
        self._writers.add(writer)
        with contextlib.suppress(OSError):
            while data := await reader.read(_READ_BYTES):
                await asyncio.sleep(self.delay_s)
                while self.cut_forth if forth else self.cut_back:
                    await asyncio.sleep(_HEAL_POLL_S)
                writer.write(data)
                await writer.drain()
        self._writers.discard(writer)
        writer.close()
