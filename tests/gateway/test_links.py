"""Links between daemons."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from quincespool.gateway import links
from quincespool.gateway.links import Link
from quincespool.gateway.links import Links
from quincespool.gateway.messages import LinkProbe

if TYPE_CHECKING:
    import pytest

INTERVALS = 30


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

    assert 1 <= idle <= INTERVALS / links.IDLE_PROBE_INTERVALS + 1
    assert len(probes) - idle > 3 * idle


def _make_links(name: str) -> Links:
    return Links(name, on_message=lambda link, sender, message: None, on_lost=lambda link: None)
