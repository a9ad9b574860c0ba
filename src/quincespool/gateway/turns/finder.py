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
      is_of_other_account: Whether a daemon has reported that another account has the turn.
      absent_in: Partitions whose confirmed owners have reported that they do not have the turn.
      claimed_absent_in: The same for owners that are known only by their leases.
      updated: Set when one of the other attributes has changed.
    """

    def __init__(self) -> None:
        self.found: FoundTurn | None = None
        self.is_of_other_account = False
        self.absent_in: set[Partition] = set()
        self.claimed_absent_in: set[Partition] = set()
        self.updated = asyncio.Event()

    def is_absent(self, partitions: frozenset[Partition]) -> bool:
        """Whether the turn certainly does not exist in the account.

        Beside a turn of another account the owners' leases suffice: programs that name such turns
        must not cause a request to the store for each partition.
        """
        if self.is_of_other_account:
            return self.absent_in | self.claimed_absent_in >= partitions
        return self.absent_in >= partitions


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
        query = FindTurn(find_id, turn_id, certain=False, account=account)
        try:
            while now_ms() < until_ms:
                await self._run_round(search, query)
                if search.found is not None:
                    return search.found
                if search.is_absent(self._partitions):
                    return FoundTurn(None, 0)
                query = _next_query(query, search)
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
            search.is_of_other_account = True
        elif message.claimed:
            search.claimed_absent_in.update(self._not_claimed_since(message.partitions))
        else:
            search.absent_in.update(Partition(one.topic, one.number) for one in message.partitions)
        search.updated.set()

    async def _run_round(self, search: _Search, query: FindTurn) -> None:
        """Queries all daemons once; waits until all have answered or the round is over.

        In the first round, daemons that don't have the turn do not ask the store to confirm that
        they own their partitions. After all hosts have failed, many programs look for their turns
        at once, and a request for each partition in each round would overload the store.
        """
        for daemon in self._members.others:
            if self._members.is_alive(daemon.member_id, now_ms()):
                link = await self._links.get(daemon.peer_address)
                if link is not None:
                    link.send(query)
        search.found = search.found or self._find_locally(query)
        search.is_of_other_account = search.is_of_other_account or self._is_foreign(query)
        if search.found is None and query.claimed:
            search.claimed_absent_in.update(self._not_claimed_since(self._claims()))
        if search.found is None and query.certain:
            search.absent_in.update(await self._confirmed_partitions())
        round_ends_ms = now_ms() + (ROUND_TIMEOUT_MS if query.certain else FIRST_ROUND_TIMEOUT_MS)
        while search.found is None and not search.is_absent(self._partitions):
            if search.is_of_other_account and _is_first(query):
                return
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
        if message.claimed:
            link.send(TurnAbsent(message.find_id, self._claims(), claimed=True))
        if not message.certain:
            return
        absent_from = tuple(
            PartitionClaim(*one, epoch=0) for one in await self._confirmed_partitions()
        )
        if absent_from:
            link.send(TurnAbsent(message.find_id, absent_from))

    def _is_foreign(self, query: FindTurn) -> bool:
        """Whether this daemon has the turn, but not in a program of the query's account."""
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

    def _claims(self) -> tuple[PartitionClaim, ...]:
        """Returns the partitions that this daemon owns by its lease."""
        return self._ownership.claims if self._ownership.is_confirmed else ()

    def _not_claimed_since(self, claims: tuple[PartitionClaim, ...]) -> set[Partition]:
        """Returns the claimed partitions that no other daemon is known to have taken over since."""
        partitions = {Partition(one.topic, one.number): one.epoch for one in claims}
        return {
            partition
            for partition, epoch in partitions.items()
            if epoch >= self._members.highest_epoch(partition)
        }

    async def _confirmed_partitions(self) -> list[Partition]:
        """Returns the partitions whose ownership by this daemon the store confirms now."""
        ready = self._ownership.ready_owned
        confirmed = await asyncio.gather(*(_is_confirmed(one) for one in ready))
        return [
            one.partition
            for one, is_confirmed in zip(ready, confirmed, strict=True)
            if is_confirmed
        ]


def _is_first(query: FindTurn) -> bool:
    return not query.certain and not query.claimed


def _next_query(query: FindTurn, search: _Search) -> FindTurn:
    if search.is_of_other_account and _is_first(query):
        return query._replace(claimed=True)
    return query._replace(certain=True, claimed=False)


async def _is_confirmed(owned: OwnedPartition) -> bool:
    try:
        await owned.confirm()
    except (LostPartitionError, StoreError):
        return False
    return True
