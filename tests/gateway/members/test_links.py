"""Tests of the TCP links between daemons."""

from __future__ import annotations

import asyncio
import contextlib
import ctypes
import socket
import struct
from typing import TYPE_CHECKING

from quincespool.gateway.members import links
from quincespool.gateway.members.links import Link
from quincespool.gateway.members.links import Links
from quincespool.gateway.members.messages import LinkProbe
from quincespool.net.held_memory import HeldMemory

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable

    import pytest

INTERVALS = 30
# The kernel retransmits after 0.2 s, then after twice that time.
RESENT_S = 0.5
SO_ATTACH_FILTER = 26
# A socket filter of one instruction, which accepts 0 bytes of each packet.
_RETURN_ZERO = ctypes.create_string_buffer(struct.pack("HBBI", 6, 0, 0, 0))


async def test_links_are_probed_while_an_answer_is_pending(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against daemons of a large group spending their processor time on probes.

    Each daemon has a link to every other one, and most are idle. Probing all of them is needless:
    a silent link has to be noticed only while an answer is pending on it.
    """
    monkeypatch.setattr(links, "PROBE_INTERVAL_S", 0.01)
    probes: list[Link] = []
    send = Link.send

    def count(link: Link, message: object) -> bool:
        if isinstance(message, LinkProbe):
            probes.append(link)
        return send(link, message)

    monkeypatch.setattr(Link, "send", count)
    here, there = _make_links("here"), _make_links("there")
    await there.start("127.0.0.1", 0)
    probing = asyncio.create_task(here.probe())
    link = await here.get(f"127.0.0.1:{there._listener.port}")
    assert link is not None
    await asyncio.sleep(INTERVALS * 0.01)
    idle = len(probes)
    link.pending_answers += 1
    await asyncio.sleep(INTERVALS * 0.01)
    probing.cancel()
    here.stop()
    there.stop()

    assert idle == 0
    assert len(probes) >= INTERVALS / 3


async def test_the_kernel_probes_a_silent_link_without_pending_answers() -> None:
    """Otherwise a dead link would be detected only when the next turn is relayed."""
    here, there = _make_links("here"), _make_links("there")
    await there.start("127.0.0.1", 0)
    link = await here.get(f"127.0.0.1:{there._listener.port}")
    assert link is not None
    assert link._transport is not None
    sock = link._transport.get_extra_info("socket")
    assert sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE) == 1
    idle_s = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE)
    assert idle_s * 1000 + links.UNACKNOWLEDGED_MS < 4_000
    assert sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT) == links.UNACKNOWLEDGED_MS
    here.stop()
    there.stop()


async def test_a_killed_process_is_noticed_when_its_links_are_reset() -> None:
    """Guards against programs of a killed process waiting until its lease expires.

    The process is killed while its host is alive, so its links are reset. Without an immediate
    connection attempt, nobody notices that its port is closed until a turn has to be relayed.
    """
    refused: list[str] = []
    here, there = _make_links("here", refused.append), _make_links("there")
    await there.start("127.0.0.1", 0)
    address = f"127.0.0.1:{there._listener.port}"
    assert await here.get(address) is not None
    await asyncio.sleep(1.5 * links.MIN_RECONNECT_S)
    there.stop()
    async with asyncio.timeout(2.0):
        while not refused:
            await asyncio.sleep(0.01)
    here.stop()
    assert refused == [address]


def _make_links(name: str, on_refused: Callable[[str], None] = lambda _: None) -> Links:
    return Links(
        name,
        memory=HeldMemory(10_000_000),
        max_incoming=10,
        on_message=lambda link, sender, message: None,
        on_lost=lambda link: None,
        on_refused=on_refused,
    )


async def test_the_link_of_a_pending_turn_stays_open_while_the_process_stalls(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A peer that is short of processor time must not lose the turns relayed to it."""
    monkeypatch.setattr(links, "STALL_LIMIT_S", 60.0)
    async with _connected_links() as (here, address, link, _):
        link.pending_answers += 1
        here.close_if_dead(address)
        link.send(LinkProbe(sent_ms=1))
        await asyncio.sleep(RESENT_S)
        here.close_if_dead(address)
        assert await here.get(address) is link
        monkeypatch.setattr(links, "STALL_LIMIT_S", 0.0)
        here.close_if_dead(address)
        await asyncio.sleep(0)
        assert link.lost


async def test_the_link_to_a_host_that_acknowledges_nothing_is_closed_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(links, "STALL_LIMIT_S", 60.0)
    async with _connected_links() as (here, address, link, far):
        assert far._transport is not None
        sock = far._transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, _drop_all())
        link.pending_answers += 1
        link.send(LinkProbe(sent_ms=1))
        await asyncio.sleep(RESENT_S)
        here.close_if_dead(address)
        await asyncio.sleep(0)
        assert link.lost


async def test_a_link_without_pending_answers_is_closed_when_its_daemon_is_silent() -> None:
    async with _connected_links() as (here, address, link, _):
        here.close_if_dead(address)
        await asyncio.sleep(0)
        assert link.lost


async def test_a_heartbeat_restarts_the_stall_limit(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(links, "STALL_LIMIT_S", 0.2)
    async with _connected_links() as (here, address, link, _):
        link.pending_answers += 1
        here.close_if_dead(address)
        await asyncio.sleep(0.3)
        here.record_alive(address)
        here.close_if_dead(address)
        assert not link.lost


@contextlib.asynccontextmanager
async def _connected_links() -> AsyncIterator[tuple[Links, str, Link, Link]]:
    """Yields the links of one daemon, the address of another daemon, and both ends of the link."""
    here, there = _make_links("here"), _make_links("there")
    await there.start("127.0.0.1", 0)
    address = f"127.0.0.1:{there._listener.port}"
    link = await here.get(address)
    assert link is not None
    async with asyncio.timeout(2.0):
        while not there._incoming:
            await asyncio.sleep(0.01)
    yield here, address, link, next(iter(there._incoming))
    here.stop()
    there.stop()


def _drop_all() -> bytes:
    """Returns a socket filter that drops all packets, so that none is acknowledged."""
    return struct.pack("HP", 1, ctypes.addressof(_RETURN_ZERO))
