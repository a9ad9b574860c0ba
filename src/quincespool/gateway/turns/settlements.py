"""Makes records of turns durable whose partition was taken over by another daemon meanwhile."""

from __future__ import annotations

import asyncio
import itertools
from typing import TYPE_CHECKING
from typing import NamedTuple

import msgspec

from quincespool.gateway.clock import now_ms
from quincespool.gateway.futures import start_background_task
from quincespool.gateway.members.messages import SettleTurn
from quincespool.gateway.members.messages import TurnSettled
from quincespool.gateway.members.messages import read_optional
from quincespool.gateway.members.messages import write_optional
from quincespool.gateway.store.interface import Partition
from quincespool.gateway.turns.records import ProgramRenewed
from quincespool.gateway.turns.records import decode_record
from quincespool.gateway.turns.records import encode_record
from quincespool.gateway.turns.settlement import Settlement

if TYPE_CHECKING:
    from quincespool.gateway.decision_log import DecisionLog
    from quincespool.gateway.members.links import Link
    from quincespool.gateway.members.links import Links
    from quincespool.gateway.members.member_table import MemberTable
    from quincespool.gateway.turns.ownership import Ownership
    from quincespool.gateway.turns.records import Record

# Interval at which the writer of a partition is looked up while there is none.
WRITER_POLL_S = 0.02


class _Request(NamedTuple):
    """A record that another daemon was asked to append."""

    link: Link
    outcome: asyncio.Future[Settlement]


class Settlements:
    """Has the present writers of partitions append records, and appends those of other daemons."""

    def __init__(
        self, *, members: MemberTable, ownership: Ownership, links: Links, log: DecisionLog
    ) -> None:
        self._members = members
        self._ownership = ownership
        self._links = links
        self._log = log
        self._ids = itertools.count(1)
        self._requests: dict[int, _Request] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def serving(self) -> int:
        """The number of records of other daemons that are being appended here."""
        return len(self._tasks)

    async def settle_at_owner(
        self, partition: Partition, record: Record, budget_tokens: int | None, left_ms: int
    ) -> bool:
        """Has the current owner of a partition append a record; returns whether it is durable.

        A daemon that has given the partition up still writes to it until another one takes it over.

        Args:
          partition: The partition of the record.
          record: The record of a turn that an earlier owner ran.
          budget_tokens: Token budget of the program, None if it must not refuse the turn's start.
          left_ms: Time limit in milliseconds.
        """
        began_ms = now_ms()
        outcome = await self._settle(partition, record, budget_tokens, began_ms + left_ms)
        self._log.write(
            "record settled",
            call_id=record.turn_id if not isinstance(record, ProgramRenewed) else "",
            program_id=record.program_id,
            record=type(record).__name__,
            partition=str(partition),
            budget_tokens=budget_tokens,
            outcome=outcome.value,
            took_ms=now_ms() - began_ms,
        )
        return outcome is Settlement.DURABLE

    async def _settle(
        self, partition: Partition, record: Record, budget_tokens: int | None, until_ms: int
    ) -> Settlement:
        while now_ms() < until_ms:
            owned_here = self._ownership.writer(partition)
            owner = self._members.writer(partition, now_ms())
            outcome = Settlement.NOT_HERE
            if owned_here is not None and (owner is None or owner[1] <= owned_here.epoch):
                outcome = await owned_here.settle(record, budget_tokens=budget_tokens)
            elif owner is not None:
                message = _make_message(next(self._ids), partition, record, budget_tokens)
                outcome = await self._request(owner[0].peer_address, message, until_ms)
            if outcome is not Settlement.NOT_HERE:
                return outcome
            await asyncio.sleep(WRITER_POLL_S)
        return Settlement.NOT_HERE

    def on_message(self, link: Link, message: SettleTurn | TurnSettled) -> None:
        """Handles a record of another daemon, or the outcome of one that was sent to it."""
        if isinstance(message, SettleTurn):
            start_background_task(self._serve(link, message), self._tasks)
            return
        request = self._requests.get(message.settle_id)
        if request is not None and not request.outcome.done():
            request.outcome.set_result(Settlement(message.outcome))

    def on_link_lost(self, link: Link) -> None:
        """Has the records that were sent on a broken link sent again, to the writer at that time.

        Appending a record twice changes nothing.
        """
        for request in self._requests.values():
            if request.link is link and not request.outcome.done():
                request.outcome.set_result(Settlement.NOT_HERE)

    async def _request(self, address: str, message: SettleTurn, until_ms: int) -> Settlement:
        link = await self._links.get(address)
        if link is None or not link.send(message):
            return Settlement.NOT_HERE
        outcome: asyncio.Future[Settlement] = asyncio.get_running_loop().create_future()
        self._requests[message.settle_id] = _Request(link, outcome)
        # The kernel of a host without power is noticed only on links with pending answers.
        link.pending_answers += 1
        try:
            async with asyncio.timeout(max(0, until_ms - now_ms()) / 1000):
                return await outcome
        except TimeoutError:
            return Settlement.NOT_HERE
        finally:
            link.pending_answers -= 1
            del self._requests[message.settle_id]

    async def _serve(self, link: Link, message: SettleTurn) -> None:
        owned = self._ownership.writer(Partition(message.topic, message.number))
        outcome = Settlement.NOT_HERE
        try:
            record = decode_record(message.record)
        except msgspec.DecodeError:
            # The sender's version has other record types. It retries until its time limit is over.
            owned = None
        if owned is not None:
            budget_tokens = read_optional(message.budget_tokens)
            outcome = await owned.settle(record, budget_tokens=budget_tokens)
        link.send(TurnSettled(message.settle_id, outcome.value))


def _make_message(
    settle_id: int, partition: Partition, record: Record, budget_tokens: int | None
) -> SettleTurn:
    return SettleTurn(
        settle_id=settle_id,
        topic=partition.topic,
        number=partition.number,
        record=encode_record(record),
        budget_tokens=write_optional(budget_tokens),
    )
