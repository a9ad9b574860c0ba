"""Crowds that a daemon of `quincespool serve` on a small host has to withstand."""

from __future__ import annotations

import asyncio
import signal
from typing import TYPE_CHECKING

import msgspec
import pytest

from quincespool.settings import Settings
from quincespool.verdict import Verdict
from tests.abuse.crowd import Crowd
from tests.abuse.crowd import Flood
from tests.abuse.crowd import once
from tests.abuse.crowd import repeated
from tests.abuse.usage import SMALL_HOST
from tests.abuse.usage import PeakUsage
from tests.processes.deployment import Deployment

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Iterator
    from pathlib import Path

DOOR = "entry-1"
# While its daemon stands still, a crowd fills the queue of connections to be accepted.
STANDSTILL_S = 1.0
MEGABYTE = 1_000_000
BODY_BYTES = 3_900_000
STATED = {"memory_mb": SMALL_HOST.memory_mb, "max_descriptors": SMALL_HOST.max_descriptors}
HEAD = "POST /v1/services/plates/order HTTP/1.1\r\nhost: x\r\n"


@pytest.fixture
def small_hosts(tmp_path: Path) -> Iterator[Deployment]:
    """A deployment whose daemons are told the limits of their hosts, as far as they ask."""
    settings: dict[str, object] = {
        key: value for key, value in STATED.items() if key in Settings.__struct_fields__
    }
    deployment = Deployment(tmp_path, settings=settings)
    with deployment.cluster:
        deployment.start()
        yield deployment


def _ask_ordinarily(deployment: Deployment) -> None:
    told = asyncio.run(deployment.program(door=DOOR).order())
    assert told.verdict == Verdict.RAN, told


def _withstand(
    deployment: Deployment,
    port_key: str,
    connections: int,
    bytes_each: int,
    make_pieces: Callable[[int], Iterable[bytes]],
    *,
    beside: Callable[[], Awaitable[None]] | None = None,
) -> None:
    """Sends a flood to one daemon; fails unless it stays within the host and serves.

    Args:
      deployment: The daemons and stand-ins.
      port_key: Setting of the port.
      connections: See `Flood`.
      bytes_each: See `Flood`.
      make_pieces: See `Flood`.
      beside: Runs while the connections are made.
    """
    process = deployment.cluster[DOOR]
    settings = msgspec.json.decode((deployment.folder / f"{DOOR}.json").read_bytes())
    ports = [settings["http_port"], settings["peer_port"]]
    flood = Flood(settings[port_key], connections, bytes_each, make_pieces, settings["host"])

    async def run() -> None:
        async with PeakUsage(process.process_id, ports) as usage:
            running = asyncio.ensure_future(beside()) if beside is not None else None
            async with Crowd([flood]) as crowd:
                if running is not None:
                    await running
                await crowd.until_quiet()
                await asyncio.to_thread(_ask_ordinarily, deployment)
            await asyncio.to_thread(_ask_ordinarily, deployment)
        usage.check(SMALL_HOST)

    if beside is None:
        _ask_ordinarily(deployment)
    asyncio.run(run())
    assert process.running


@pytest.mark.parametrize("path", ["/v1/ready", "/nowhere", "/v1/dump"])
def test_requests_sent_ahead_whose_answers_are_unread(path: str, small_hosts: Deployment) -> None:
    """Guards against requests and answers of callers that don't read filling the memory."""
    request = f"GET {path} HTTP/1.1\r\nhost: x\r\n\r\n".encode()
    _withstand(small_hosts, "http_port", 20, 8 * MEGABYTE, repeated(request))


def test_unfinished_bodies(small_hosts: Deployment) -> None:
    """Guards against the memory of bodies having a bound that the host doesn't have."""
    start = f"{HEAD}content-length: {BODY_BYTES + 1}\r\n\r\n".encode() + bytes(BODY_BYTES)
    _withstand(small_hosts, "http_port", 20, 2 * BODY_BYTES, once(start))


def test_idle_connections(small_hosts: Deployment) -> None:
    """Guards against connections that take all descriptors of the process."""
    _withstand(small_hosts, "http_port", 1_000, 0, once(b""))


def test_unfinished_messages_at_the_port_of_other_daemons(small_hosts: Deployment) -> None:
    """Guards against frames that are announced, begun and never finished."""
    start = (30 * MEGABYTE).to_bytes(4, "big") + bytes(8 * MEGABYTE)
    _withstand(small_hosts, "peer_port", 30, 10 * MEGABYTE, once(start))


def test_idle_links(small_hosts: Deployment) -> None:
    """Guards against links that never say who made them taking all descriptors."""
    _withstand(small_hosts, "peer_port", 1_000, 0, once(b""))


def test_connections_that_arrive_at_once(small_hosts: Deployment) -> None:
    """Guards against a daemon that takes a whole queue of connections before it counts them."""
    process = small_hosts.cluster[DOOR]

    async def go_on() -> None:
        await asyncio.sleep(STANDSTILL_S)
        process.signal(signal.SIGCONT)

    _ask_ordinarily(small_hosts)
    process.signal(signal.SIGSTOP)
    _withstand(small_hosts, "http_port", 1_000, 0, once(b""), beside=go_on)
