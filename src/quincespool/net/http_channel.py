"""A kept connection to one outside service (log, host list): one request after the other."""

from __future__ import annotations

import asyncio
from typing import NamedTuple

import h11

from quincespool.net.addresses import split_address

MAX_ANSWER_BYTES = 64_000_000
IDLE_LIMIT_S = 2.0

_READ_BYTES = 65_536


class ChannelAnswer(NamedTuple):
    """A whole response; header names are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes


class ChannelError(Exception):
    """No whole response came.

    Attributes:
      sent: False only if not one byte of the request can have reached the service.
    """

    def __init__(self, detail: str, *, sent: bool) -> None:
        super().__init__(detail)
        self.sent = sent


class Traffic:
    """Bytes that some channels have sent and received, without those of TCP and IP."""

    def __init__(self) -> None:
        self.sent_bytes = 0
        self.received_bytes = 0


class Channel:
    """One connection, made when it is needed. Never sends a request twice by itself."""

    def __init__(self, address: str, traffic: Traffic | None = None) -> None:
        self._address = address
        self._traffic = traffic or Traffic()
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None
        self._http = h11.Connection(h11.CLIENT)
        self._used_s = 0.0
        self._sent = False

    async def request(
        self, method: str, target: str, body: bytes = b"", *, time_limit_ms: int
    ) -> ChannelAnswer:
        """Returns the response to one request.

        Raises:
          ChannelError: if there is none within the limit.
        """
        self._sent = False
        whole = False
        try:
            async with asyncio.timeout(time_limit_ms / 1000):
                answer = await self._exchange(method, target, body)
            whole = True
        except (OSError, h11.ProtocolError, ValueError) as error:
            raise ChannelError(f"{self._address}: {error!r}", sent=self._sent) from error
        finally:
            # Also when cancelled: an answer left on the connection would be taken for that of the
            # next request.
            if not whole:
                self.close()
        return answer

    def close(self) -> None:
        """Breaks the connection off."""
        if self._writer is not None:
            self._writer.transport.abort()
        self._reader = None
        self._writer = None

    async def _exchange(self, method: str, target: str, body: bytes) -> ChannelAnswer:
        await self._connect()
        assert self._writer is not None
        headers = [("host", self._address), ("content-length", str(len(body)))]
        head = self._http.send(h11.Request(method=method, target=target, headers=headers)) or b""
        data = self._http.send(h11.Data(data=body)) or b""
        self._http.send(h11.EndOfMessage())
        self._sent = True
        self._traffic.sent_bytes += len(head) + len(data)
        self._writer.write(head + data)
        answer = await self._read_answer()
        self._used_s = asyncio.get_running_loop().time()
        if self._http.our_state is h11.DONE and self._http.their_state is h11.DONE:
            self._http.start_next_cycle()
        else:
            self.close()
        return answer

    async def _connect(self) -> None:
        """Connects anew unless the connection was used a moment ago.

        Services close connections that stay idle. A request that meets such a closing looks as if
        its answer were lost, and an append would have to be read back for nothing.
        """
        loop = asyncio.get_running_loop()
        if self._is_open and loop.time() - self._used_s < IDLE_LIMIT_S:
            return
        self.close()
        host, port = split_address(self._address)
        self._reader, self._writer = await asyncio.open_connection(host, port)
        self._http = h11.Connection(h11.CLIENT)

    @property
    def _is_open(self) -> bool:
        """Whether the service has neither closed nor reset the connection, as far as is known."""
        if self._reader is None or self._writer is None:
            return False
        return not self._reader.at_eof() and not self._writer.is_closing()

    async def _read_answer(self) -> ChannelAnswer:
        assert self._reader is not None
        status = 0
        headers: dict[str, str] = {}
        pieces: list[bytes] = []
        size_bytes = 0
        while True:
            event = self._http.next_event()
            if event is h11.NEED_DATA:
                data = await self._reader.read(_READ_BYTES)
                self._traffic.received_bytes += len(data)
                self._http.receive_data(data)
            elif isinstance(event, h11.Response):
                status = event.status_code
                headers = {k.decode("latin-1"): v.decode("latin-1") for k, v in event.headers}
            elif isinstance(event, h11.Data):
                pieces.append(bytes(event.data))
                size_bytes += len(event.data)
                if size_bytes > MAX_ANSWER_BYTES:
                    raise ValueError("the answer is too large")
            elif isinstance(event, h11.EndOfMessage):
                return ChannelAnswer(status=status, headers=headers, body=b"".join(pieces))
            elif isinstance(event, h11.ConnectionClosed):
                raise ConnectionResetError("closed before an answer")
