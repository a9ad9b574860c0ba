"""Kept connections to outside services that close or reset them."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from quincespool.gateway.event_loop import make_event_loop
from quincespool.net.http_channel import Channel
from quincespool.net.http_channel import ChannelError
from tests.support.standins.http import reset

if TYPE_CHECKING:
    from collections.abc import Callable

ANSWER = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"


async def _request_twice(*, is_reset: bool) -> list[bytes]:
    """Returns the answers to two requests, between which the service ends the connection."""
    writers: list[asyncio.StreamWriter] = []

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writers.append(writer)
        while await reader.read(65_536):
            writer.write(ANSWER)

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    async with server:
        host, port = server.sockets[0].getsockname()
        channel = Channel(f"{host}:{port}")
        first = await channel.request("GET", "/", time_limit_ms=1_000)
        if is_reset:
            reset(writers[0])
        else:
            writers[0].close()
        await asyncio.sleep(0.05)
        second = await channel.request("GET", "/", time_limit_ms=1_000)
        channel.close()
    return [first.body, second.body]


@pytest.mark.parametrize("is_reset", [False, True])
@pytest.mark.parametrize("make_loop", [asyncio.new_event_loop, make_event_loop])
def test_a_connection_that_was_ended_while_idle_is_made_anew(
    make_loop: Callable[[], asyncio.AbstractEventLoop], *, is_reset: bool
) -> None:
    """Failure: a request on a connection that was reset while idle ends the task that sends it."""
    with asyncio.Runner(loop_factory=make_loop) as runner:
        assert runner.run(_request_twice(is_reset=is_reset)) == [b"ok", b"ok"]


@pytest.mark.parametrize("was_used", [False, True])
@pytest.mark.parametrize("line_end", [b"\r\n", b"\n"])
@pytest.mark.parametrize("is_reset", [False, True])
async def test_a_head_that_is_cut_at_any_byte_is_no_answer(
    line_end: bytes, *, was_used: bool, is_reset: bool
) -> None:
    """Guards against an empty answer of the store, which would look like an empty topic."""
    head = ANSWER[: -len(b"ok")].replace(b"\r\n", line_end)
    cut = b""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if was_used:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(ANSWER)
        await reader.readuntil(b"\r\n\r\n")
        writer.write(cut)
        if is_reset:
            reset(writer)
        else:
            writer.close()

    async with await asyncio.start_server(serve, "127.0.0.1", 0) as server:
        host, port = server.sockets[0].getsockname()
        for length in range(len(head)):
            cut = head[:length]
            channel = Channel(f"{host}:{port}")
            if was_used:
                assert (await channel.request("GET", "/", time_limit_ms=1_000)).body == b"ok"
            with pytest.raises(ChannelError) as caught:
                await channel.request("GET", "/", time_limit_ms=1_000)
            assert caught.value.sent
