"""Finds a turn of another program, whichever daemon has it, or makes sure that there is none."""

from __future__ import annotations

import asyncio
import itertools
from typing import TYPE_CHECKING
from typing import NamedTuple

from quincespool.gateway.clock import now_ms
from quincespool.gateway.futures import start_background_task
from quincespool.gateway.members.messages import FindTurn
from quincespool.gateway.members.messages import PartitionClaim
from quincespool.gateway.members.messages import TurnAbsent
from quincespool.gateway.members.messages import TurnForeign
from quincespool.gateway.members.messages import TurnFound
from quincespool.gateway.store.interface import Partition
from quincespool.gateway.store.interface import StoreError
from quincespool.gateway.turns.settlement import LostPartitionError

if TYPE_CHECKING:
    from quincespool.gateway.members.links import Link
    from quincespool.gateway.members.links import Links
    from quincespool.gateway.members.table import Members
    from quincespool.gateway.turns.ownership import Ownership
    from quincespool.gateway.turns.partition import OwnedPartition

# All owners answer within a few round trips to the store; partitions that change hands meanwhile
# are asked for again until then.
FIND_LIMIT_MS = 800
ROUND_LIMIT_MS = 250
# The one daemon that has the turn answers without the store, in a round trip.
FIRST_ROUND_MS = 60


FinderMessage = FindTurn | TurnFound | TurnAbsent | TurnForeign


class FoundTurn(NamedTuple):
    """The texts of a turn and all before it; none if it is certain that there is no such turn."""

    history: bytes | None
    retention_ms: int


class _Search:
    """A search under way."""

    def __init__(self) -> None:
        self.found: FoundTurn | None = None
        self.foreign = False
        self.absent: set[Partition] = set()
        self.news = asyncio.Event()


class TurnFinder:
    """Asks the owners of all partitions."""

    def __init__(
        self,
        *,
        partitions: list[Partition],
        members: Members,
        ownership: Ownership,
        links: Links,
    ) -> None:
        self._partitions = frozenset(partitions)
        self._members = members
        self._ownership = ownership
        self._links = links
        self._ids = itertools.count(1)
        self._searches: dict[int, _Search] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def find(self, turn_id: str, account: str) -> FoundTurn | None:
        """Returns what there is of a turn, None if that cannot be made certain now.

        Args:
          turn_id: Which one.
          account: Whose programs may go on with it; a turn of another account counts as none.
        """
        search = _Search()
        find_id = next(self._ids)
        self._searches[find_id] = search
        until_ms = now_ms() + FIND_LIMIT_MS
        try:
            certain = False
            while now_ms() < until_ms:
                await self._ask(search, FindTurn(find_id, turn_id, certain, account))
                certain = True
                if search.found is not None:
                    return search.found
                if search.foreign or search.absent >= self._partitions:
                    return FoundTurn(None, 0)
            return None
        finally:
            del self._searches[find_id]

    def on_message(self, link: Link, message: FinderMessage) -> None:
        """Takes a question or an answer of another daemon."""
        if isinstance(message, FindTurn):
            start_background_task(self._answer(link, message), self._tasks)
            return
        search = self._searches.get(message.find_id)
        if search is None:
            return
        if isinstance(message, TurnFound):
            search.found = FoundTurn(message.history, message.retention_ms)
        elif isinstance(message, TurnForeign):
            # Waited on all the same: whoever has the account's own turn of that id answers as soon.
            search.foreign = True
        else:
            search.absent.update(Partition(one.topic, one.number) for one in message.partitions)
        search.news.set()

    async def _ask(self, search: _Search, question: FindTurn) -> None:
        """Asks everybody once and waits until all have answered or the round is over.

        Only from the second round on do those without the turn make sure that they would have it:
        after a loss of all hosts many programs look for their turns at once, and a request to the
        store for each partition each time was more than the store takes.
        """
        for daemon in self._members.others:
            if self._members.is_alive(daemon.member_id, now_ms()):
                link = await self._links.get(daemon.peer_address)
                if link is not None:
                    link.send(question)
        search.found = search.found or self._look(question)
        search.foreign = search.foreign or self._is_foreign(question)
        if search.found is None and question.certain:
            search.absent.update(await self._confirmed())
        round_ends_ms = now_ms() + (ROUND_LIMIT_MS if question.certain else FIRST_ROUND_MS)
        while search.found is None and not search.absent >= self._partitions:
            left_ms = round_ends_ms - now_ms()
            if left_ms <= 0:
                return
            search.news.clear()
            try:
                async with asyncio.timeout(left_ms / 1000):
                    await search.news.wait()
            except TimeoutError:
                return

    async def _answer(self, link: Link, message: FindTurn) -> None:
        found = self._look(message)
        if found is not None and found.history is not None:
            link.send(TurnFound(message.find_id, found.history, found.retention_ms))
            return
        if self._is_foreign(message):
            link.send(TurnForeign(message.find_id))
            return
        if not message.certain:
            return
        claims = tuple(PartitionClaim(*one, epoch=0) for one in await self._confirmed())
        if claims:
            link.send(TurnAbsent(message.find_id, claims))

    def _is_foreign(self, question: FindTurn) -> bool:
        """Whether the turn is known here, and is not of the account that asks.

        That is certain without the store: the partitions of an account's programs need not be asked
        for a turn that another one has.
        """
        return any(
            owned.ledger.is_foreign(question.turn_id, question.account)
            for owned in self._ownership.owned.values()
        )

    def _look(self, question: FindTurn) -> FoundTurn | None:
        for owned in self._ownership.owned.values():
            program_id = owned.ledger.find(question.turn_id, question.account)
            if owned.ready and program_id:
                history = owned.ledger.history(program_id, question.turn_id)
                return FoundTurn(history, owned.ledger.retention_ms(program_id))
        return None

    async def _confirmed(self) -> list[Partition]:
        """Returns the partitions that are owned here, as the store has confirmed just now."""
        ready = [one for one in self._ownership.owned.values() if one.ready]
        confirmed = await asyncio.gather(*(_is_confirmed(one) for one in ready))
        return [one.partition for one, sure in zip(ready, confirmed, strict=True) if sure]


async def _is_confirmed(owned: OwnedPartition) -> bool:
    try:
        await owned.confirm()
    except (LostPartitionError, StoreError):
        return False
    return True
