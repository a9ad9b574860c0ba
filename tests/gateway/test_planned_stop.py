"""The graceful shutdown of a daemon, with stubs for its port and its other components."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from typing import TYPE_CHECKING
from typing import cast

from quincespool.gateway.clock import now_ms
from quincespool.gateway.members.member_table import MemberTable
from quincespool.gateway.members.messages import Heartbeat
from quincespool.gateway.model import Daemon
from quincespool.gateway.planned_stop import ANSWER_MARGIN_MS
from quincespool.gateway.planned_stop import STOP_MARGIN_MS
from quincespool.gateway.planned_stop import PlannedStop

if TYPE_CHECKING:
    from quincespool.gateway.callers.http_port import HttpPort
    from quincespool.gateway.decision_log import DecisionLog
    from quincespool.gateway.live_settings import LiveSettings
    from quincespool.gateway.members.presence import Presence
    from quincespool.gateway.turns.ownership import Ownership
    from quincespool.gateway.turns.relay import Relay

GRACE_S = 2.0
ACCEPTED_MS = 1_000 * GRACE_S - STOP_MARGIN_MS - ANSWER_MARGIN_MS


class _Port:
    """A port with a sent request that is read one loop iteration after `busy` is first checked."""

    def __init__(self) -> None:
        self.draining = False
        self.events = ["not begun"]
        self._busy = 0

    @property
    def active_requests(self) -> int:
        if not self.events:
            self.events.append("looked")
            asyncio.get_running_loop().call_soon(self._read)
        return self._busy

    def stop(self) -> None:
        self.events.append("closed")

    async def cancel_requests(self) -> None:
        self.events.append("cut off" if self._busy else "ended")

    def _read(self) -> None:
        self._busy = 1
        asyncio.get_running_loop().call_later(0.1, self._answer)

    def _answer(self) -> None:
        self._busy = 0
        self.events.append("answered")


class _Ownership:
    is_writing = False

    def __init__(self, took_over_ms: int = 0) -> None:
        self._took_over_ms = took_over_ms

    def has_retired_takeover_since(self, since_ms: int) -> bool:
        return self._took_over_ms > since_ms

    async def leave(self) -> None:
        return


def _make_stop(
    port: _Port,
    relay: SimpleNamespace | None = None,
    *,
    took_over_ms: int = 0,
    members: MemberTable | None = None,
) -> PlannedStop:
    live = SimpleNamespace(current=SimpleNamespace(stop_grace_s=GRACE_S, addresses_valid_ms=10))
    stub = SimpleNamespace(
        announce_departure=lambda: None,
        draining=False,
        announce=lambda: None,
        write_always=lambda *_, **__: None,
        serving=0,
        settling=0,
    )
    return PlannedStop(
        ownership=cast("Ownership", _Ownership(took_over_ms)),
        presence=cast("Presence", stub),
        caller_port=cast("HttpPort", port),
        relay=cast("Relay", relay or stub),
        members=members or MemberTable("a"),
        live_settings=cast("LiveSettings", live),
        log=cast("DecisionLog", stub),
    )


async def test_a_request_that_is_read_after_the_last_idle_check_is_answered() -> None:
    port = _Port()
    stop = _make_stop(port)
    stop.begin()
    port.events.clear()
    await stop.drain()
    assert port.events == ["looked", "answered", "closed", "ended"]


async def test_only_calls_with_a_deadline_before_the_end_of_the_stop_are_accepted() -> None:
    stop = _make_stop(_Port())
    assert stop.allows_deadline(now_ms() + 60_000)
    stop.begin()
    last_ms = now_ms() + int(ACCEPTED_MS)
    assert stop.allows_deadline(last_ms - 10)
    assert not stop.allows_deadline(last_ms + 10)


async def test_a_stop_waits_until_the_records_of_its_turns_are_settled() -> None:
    port = _Port()
    port.events.clear()
    relay = SimpleNamespace(serving=0, settling=1)
    stop = _make_stop(port, relay)
    stop.begin()
    draining = asyncio.create_task(stop.drain())
    await asyncio.sleep(0.3)
    assert "closed" not in port.events
    relay.settling = 0
    await draining
    assert port.events[-1] == "ended"


async def test_the_last_owner_of_a_partition_stays_while_another_daemon_stops() -> None:
    port = _Port()
    port.events.clear()
    members = MemberTable("a")
    members.put(Daemon("b", 1, "z", "b:1", "b:2"), now_ms())
    members.record_heartbeat("b", _draining_heartbeat(), now_ms())
    stop = _make_stop(port, took_over_ms=now_ms(), members=members)
    stop.begin()
    draining = asyncio.create_task(stop.drain())
    await asyncio.sleep(0.3)
    assert "closed" not in port.events
    members.suspect("b")
    await draining
    assert port.events[-1] == "ended"


def _draining_heartbeat() -> Heartbeat:
    return Heartbeat(1, 1, True, 0, 0, (), store_reachable=True)
