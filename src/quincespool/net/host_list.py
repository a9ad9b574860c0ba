"""The platform's host list, read at an interval."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import Literal

import msgspec

from quincespool.core.events import HostsRead
from quincespool.net.http_channel import Channel
from quincespool.net.http_channel import ChannelError

if TYPE_CHECKING:
    from collections.abc import Callable

    from quincespool.core.events import Event

INTERVAL_S = 2.0
TIME_LIMIT_MS = 2000


class _Host(msgspec.Struct):
    address: str
    state: Literal["live", "leaving"]


class _HostList(msgspec.Struct):
    hosts: list[_Host]


async def poll_host_list(address: str, post: Callable[[Event], None]) -> None:
    """Reads the list for good; a list that can't be read leaves the last one in force."""
    channel = Channel(address)
    try:
        while True:
            hosts = await _read(channel)
            if hosts is not None:
                post(HostsRead(hosts=hosts))
            await asyncio.sleep(INTERVAL_S)
    finally:
        channel.close()


async def _read(channel: Channel) -> dict[str, str] | None:
    try:
        answer = await channel.request("GET", "/hosts", time_limit_ms=TIME_LIMIT_MS)
        if answer.status != 200:
            return None
        host_list = msgspec.json.decode(answer.body, type=_HostList)
    except (ChannelError, msgspec.DecodeError):
        return None
    return {host.address: host.state for host in host_list.hosts}
