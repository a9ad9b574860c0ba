"""Finds a turn of another program at any daemon, or establishes that it does not exist."""

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
    from quincespool.gateway.members.member_table import MemberTable
    from quincespool.gateway.turns.ownership import Ownership
    from quincespool.gateway.turns.partition import OwnedPartition

# Time limit of a search. All owners answer within a few round trips to the store; until the limit,
# the query is repeated for partitions that are reassigned in the meantime.
FIND_TIMEOUT_MS = 800
ROUND_TIMEOUT_MS = 250
# The daemon that has the turn answers within one round trip, without a request to the store.
FIRST_ROUND_TIMEOUT_MS = 60


FinderMessage = FindTurn | TurnFound | TurnAbsent | TurnForeign


class FoundTurn(NamedTuple):
    """Result of a search.

    Attributes:
      history: The texts of the turn and of all turns before it; None if the turn certainly does
        not exist.
      retention_ms: For how long the turn can be continued after its end; 0 if it does not exist.
    """

    history: bytes | None
    retention_ms: int


class _Search:
    """A search in progress.

    Attributes:
      found: The turn, once a daemon has answered with it.
      is_of_other_account: Whether a daemon has reported that the turn belongs to another account.
      absent_in: Partitions whose confirmed owners have reported that they do not have the turn.
      updated: Set when one of the other attributes has changed.
    """

    def __init__(self) -> None:
        self.found: FoundTurn | None = None
        self.is_of_other_account = False
        self.absent_in: set[Partition] = set()
        self.updated = asyncio.Event()


class TurnFinder:
    """Looks a turn up at the owners of all partitions."""

    def __init__(
        self,
        *,
        partitions: list[Partition],
        members: MemberTable,
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
        """Returns the result of a search; None if it can't be established within the time limit.

        Args:
          turn_id: Id of the turn.
          account: The account that may continue the turn; a turn of another account counts as not
            existing.
        """
        search = _Search()
        find_id = next(self._ids)
        self._searches[find_id] = search
        until_ms = now_ms() + FIND_TIMEOUT_MS
        try:
            certain = False
            while now_ms() < until_ms:
                await self._run_round(search, FindTurn(find_id, turn_id, certain, account))
                certain = True
                if search.found is not None:
                    return search.found
                if search.is_of_other_account or search.absent_in >= self._partitions:
                    return FoundTurn(None, 0)
            return None
        finally:
            del self._searches[find_id]

    def on_message(self, link: Link, message: FinderMessage) -> None:
        """Handles a query of another daemon, or its answer to a query of this one."""
        if isinstance(message, FindTurn):
            start_background_task(self._answer_query(link, message), self._tasks)
            return
        search = self._searches.get(message.find_id)
        if search is None:
            return
        if isinstance(message, TurnFound):
            search.found = FoundTurn(message.history, message.retention_ms)
        elif isinstance(message, TurnForeign):
            # The search continues until the round ends: a turn of the account itself with the same
            # id is reported just as quickly.
            search.is_of_other_account = True
        else:
            search.absent_in.update(Partition(one.topic, one.number) for one in message.partitions)
        search.updated.set()

    async def _run_round(self, search: _Search, query: FindTurn) -> None:
        """Queries all daemons once; waits until all have answered or the round is over.

        Only from the second round on, daemons that don't have the turn ask the store to confirm
        that they own their partitions. After all hosts have failed, many programs look for their
        turns at once, and a request for each partition in each round would overload the store.
        """
        for daemon in self._members.others:
            if self._members.is_alive(daemon.member_id, now_ms()):
                link = await self._links.get(daemon.peer_address)
                if link is not None:
                    link.send(query)
        search.found = search.found or self._find_locally(query)
        search.is_of_other_account = search.is_of_other_account or self._is_foreign(query)
        if search.found is None and query.certain:
            search.absent_in.update(await self._confirmed_partitions())
        round_ends_ms = now_ms() + (ROUND_TIMEOUT_MS if query.certain else FIRST_ROUND_TIMEOUT_MS)
        while search.found is None and not search.absent_in >= self._partitions:
            left_ms = round_ends_ms - now_ms()
            if left_ms <= 0:
                return
            search.updated.clear()
            try:
                async with asyncio.timeout(left_ms / 1000):
                    await search.updated.wait()
            except TimeoutError:
                return

    async def _answer_query(self, link: Link, message: FindTurn) -> None:
        found = self._find_locally(message)
        if found is not None and found.history is not None:
            link.send(TurnFound(message.find_id, found.history, found.retention_ms))
            return
        if self._is_foreign(message):
            link.send(TurnForeign(message.find_id))
            return
        if not message.certain:
            return
        absent_from = tuple(
            PartitionClaim(*one, epoch=0) for one in await self._confirmed_partitions()
        )
        if absent_from:
            link.send(TurnAbsent(message.find_id, absent_from))

    def _is_foreign(self, query: FindTurn) -> bool:
        """Whether this daemon has the turn, but not in a program of the query's account.

        The store need not confirm the ownership in this case: once the turn is known to belong to
        another account, the other partitions need not be searched.
        """
        return any(
            owned.ledger.is_foreign(query.turn_id, query.account)
            for owned in self._ownership.owned.values()
        )

    def _find_locally(self, query: FindTurn) -> FoundTurn | None:
        for owned in self._ownership.owned.values():
            program_id = owned.ledger.find(query.turn_id, query.account)
            if owned.ready and program_id:
                history = owned.ledger.history(program_id, query.turn_id)
                return FoundTurn(history, owned.ledger.retention_ms(program_id))
        return None

    async def _confirmed_partitions(self) -> list[Partition]:
        """Returns the partitions whose ownership by this daemon the store confirms now."""
        ready = [one for one in self._ownership.owned.values() if one.ready]
        confirmed = await asyncio.gather(*(_is_confirmed(one) for one in ready))
        return [
            one.partition
            for one, is_confirmed in zip(ready, confirmed, strict=True)
            if is_confirmed
        ]


async def _is_confirmed(owned: OwnedPartition) -> bool:
    try:
        await owned.confirm()
    except (LostPartitionError, StoreError):
        return False
    return True
