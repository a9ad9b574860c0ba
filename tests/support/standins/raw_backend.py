"""A backend server in trouble: answers each request with given bytes, on request without end."""

from __future__ import annotations

import asyncio
import contextlib
from typing import Self


class RawBackend:
    """Reads the head of a request and writes an answer; a context manager that ends it.

    Attributes:
      address: Host and port.
      sent_bytes: How much it has sent in all.
      requests: How many requests it has answered.
    """

    def __init__(
        self,
        start: bytes,
        *,
        later: bytes | None = None,
        endless: bytes = b"",
        pause_s: float = 0.0,
        keeps_open: bool = False,
    ) -> None:
        """Creates a backend server that is not running yet.

        Args:
          start: The beginning of each answer; `{id}` stands for the id of the request.
          later: In its place from the second request on.
          endless: Sent behind it again and again until the caller closes.
          pause_s: Time between two times of `endless`.
          keeps_open: Whether the connection stays open after the beginning.
        """
        self.address = ""
        self.sent_bytes = 0
        self.requests = 0
        self._start = start
        self._later = start if later is None else later
        self._endless = endless
        self._pause_s = pause_s
        self._keeps_open = keeps_open
        self._server: asyncio.Server
        self._tasks: set[asyncio.Task[None]] = set()

    async def __aenter__(self) -> Self:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"
        return self

    async def __aexit__(self, *_: object) -> None:
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                await self._answer(reader, writer)
        finally:
            writer.transport.abort()
            self._tasks.discard(task)

    async def _answer(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = (await reader.readuntil(b"\r\n\r\n")).lower()
        call_id = head.partition(b"request-id: ")[2].partition(b"\r\n")[0]
        start = self._later if self.requests else self._start
        self.requests += 1
        writer.write(start.replace(b"{id}", call_id))
        await writer.drain()
        while self._endless:
            writer.write(self._endless)
            await writer.drain()
            self.sent_bytes += len(self._endless)
            if self._pause_s:
                await asyncio.sleep(self._pause_s)
        if self._keeps_open:
            await reader.read()
