"""A loopback proxy for TCP that resets connections and cuts the way back."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import Self

from tests.support.standins.http import reset

if TYPE_CHECKING:
    from collections.abc import Coroutine

_READ_BYTES = 65_536
# How often a direction that is cut looks whether it is healed.
_HEAL_POLL_S = 0.02


class Proxy:
    """Passes connections on to one address.

    Attributes:
      cut_back: Nothing that the server sends arrives.
    """

    def __init__(self, target: str) -> None:
        self.cut_back = False
        # Replaced when the open connections fall silent; each keeps the one it was made under.
        self._silence = asyncio.Event()
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
            reset(writer)

    def silence(self) -> None:
        """Lets nothing more pass on the open connections, and nobody knows; new ones work."""
        self._silence.set()
        self._silence = asyncio.Event()

    def heal(self) -> None:
        """Ends all faults; connections that lost something are reset, as TCP would never go on."""
        if self.cut_back:
            self.reset()
        self.cut_back = False

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
        silence = self._silence
        try:
            while data := await reader.read(_READ_BYTES):
                if silence.is_set():
                    await asyncio.Event().wait()
                while self.cut_back and not forth:
                    await asyncio.sleep(_HEAL_POLL_S)
                writer.write(data)
                await writer.drain()
            writer.close()
        except OSError:
            # What ends by a reset must not look like an orderly end.
            reset(writer)
        finally:
            self._writers.discard(writer)
