"""Records whose writer goes away while it is asked to append them."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from typing import TYPE_CHECKING
from typing import cast

import pytest

from quincespool.gateway.decision_log import DecisionLog
from quincespool.gateway.members.messages import SettleTurn
from quincespool.gateway.members.messages import TurnSettled
from quincespool.gateway.model import Daemon
from quincespool.gateway.store.interface import Partition
from quincespool.gateway.turns.records import TurnStarted
from quincespool.gateway.turns.settlements import Settlements

if TYPE_CHECKING:
    from collections.abc import Callable

    from quincespool.gateway.members.links import Link
    from quincespool.gateway.members.links import Links
    from quincespool.gateway.members.member_table import MemberTable
    from quincespool.gateway.turns.ownership import Ownership

PARTITION = Partition("programs.0", 0)
RECORD = TurnStarted("t", "p", 10, 0)
# Long enough that only the second writer can settle the record in time.
TIME_LIMIT_MS = 5_000


class _Writer:
    """A daemon that writes the partition, and the link to it."""

    def __init__(self, name: str) -> None:
        self.daemon = Daemon(name, 1, "z", f"{name}:1", f"{name}:2")
        self.asked = asyncio.Event()
        self.is_lost = False
        self.pending_answers = 0
        self.on_asked: Callable[[SettleTurn], object] = lambda _: None

    def send(self, message: SettleTurn) -> bool:
        self.asked.set()
        if not self.is_lost:
            self.on_asked(message)
        return not self.is_lost


@pytest.mark.parametrize("is_lost_before", [True, False])
async def test_a_record_whose_writer_goes_away_is_sent_to_the_next_writer(
    is_lost_before: bool,
) -> None:
    """Guards against turns that ran and are cut, as their record waits for a daemon that ended."""
    first, second = _Writer("b"), _Writer("c")
    writers = {one.daemon.peer_address: one for one in (first, second)}
    present = [first]

    async def get(address: str) -> _Writer:
        return writers[address]

    settlements = Settlements(
        members=cast(
            "MemberTable", SimpleNamespace(writer=lambda *_: (present[0].daemon, len(writers)))
        ),
        ownership=cast("Ownership", SimpleNamespace(writer=lambda _: None)),
        links=cast("Links", SimpleNamespace(get=get)),
        log=DecisionLog(asyncio.get_running_loop().time),
    )

    def answer(message: SettleTurn) -> None:
        link = cast("Link", second)
        settlements.on_message(link, TurnSettled(message.settle_id, "kept"))

    second.on_asked = lambda message: asyncio.get_running_loop().call_soon(answer, message)
    first.is_lost = is_lost_before
    settling = asyncio.create_task(
        settlements.settle_at_owner(PARTITION, RECORD, None, TIME_LIMIT_MS)
    )
    await first.asked.wait()
    first.is_lost = True
    present[0] = second
    settlements.on_link_lost(cast("Link", first))
    async with asyncio.timeout(TIME_LIMIT_MS / 2_000):
        assert await settling
    assert (first.pending_answers, second.pending_answers) == (0, 0)
