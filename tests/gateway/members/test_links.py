"""Links between daemons."""

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

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable

    import pytest

INTERVALS = 30
# The kernel sends again after 0.2 s, then after twice as long.
RESENT_S = 0.5
SO_ATTACH_FILTER = 26
# One instruction of the kernel's filters: keep 0 bytes.
_RETURN_ZERO = ctypes.create_string_buffer(struct.pack("HBBI", 6, 0, 0, 0))


async def test_links_are_probed_while_something_is_waited_for(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Symptom: daemons of a large group spend their processor time on probes.

    Events: each has a link to each other one, most of them idle; each is probed all the time.
    Cause: only an answer that is waited for must not meet a link that went silent unseen.
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
    link.waiting += 1
    await asyncio.sleep(INTERVALS * 0.01)
    probing.cancel()
    here.stop()
    there.stop()

    assert idle == 0
    assert len(probes) >= INTERVALS / 3


async def test_the_kernel_probes_a_link_that_went_silent_while_nothing_waited_on_it() -> None:
    """A turn would be the first to meet a link that carries nothing any more."""
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


async def test_a_process_that_is_gone_is_noticed_when_its_links_are_reset() -> None:
    """Symptom: programs of a killed process wait for the end of its lease.

    Events: a process is killed while its host lives; its links are reset.
    Cause: nobody tried whether anything listens there until a turn had to be handed over.
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
        on_message=lambda link, sender, message: None,
        on_lost=lambda link: None,
        on_refused=on_refused,
    )


async def test_a_turn_at_a_process_that_stalls_keeps_its_link(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A peer that was short of processor time lost every turn that others had handed to it."""
    monkeypatch.setattr(links, "STALL_LIMIT_S", 60.0)
    async with _linked() as (here, address, link, _):
        link.waiting += 1
        here.doubt(address)
        link.send(LinkProbe(sent_ms=1))
        await asyncio.sleep(RESENT_S)
        here.doubt(address)
        assert await here.get(address) is link
        monkeypatch.setattr(links, "STALL_LIMIT_S", 0.0)
        here.doubt(address)
        await asyncio.sleep(0)
        assert link.lost


async def test_a_turn_at_a_host_that_acknowledges_nothing_loses_its_link_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(links, "STALL_LIMIT_S", 60.0)
    async with _linked() as (here, address, link, far):
        assert far._transport is not None
        sock = far._transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, _drop_all())
        link.waiting += 1
        link.send(LinkProbe(sent_ms=1))
        await asyncio.sleep(RESENT_S)
        here.doubt(address)
        await asyncio.sleep(0)
        assert link.lost


async def test_a_link_on_which_nothing_waits_is_broken_when_its_daemon_is_silent() -> None:
    async with _linked() as (here, address, link, _):
        here.doubt(address)
        await asyncio.sleep(0)
        assert link.lost


async def test_a_daemon_that_was_heard_again_is_doubted_anew(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(links, "STALL_LIMIT_S", 0.2)
    async with _linked() as (here, address, link, _):
        link.waiting += 1
        here.doubt(address)
        await asyncio.sleep(0.3)
        here.trust(address)
        here.doubt(address)
        assert not link.lost


@contextlib.asynccontextmanager
async def _linked() -> AsyncIterator[tuple[Links, str, Link, Link]]:
    """Yields links, the address of others, and both ends of the link between them."""
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
    """Returns a socket filter that drops all that comes, which the kernel then acknowledges not."""
    return struct.pack("HP", 1, ctypes.addressof(_RETURN_ZERO))
