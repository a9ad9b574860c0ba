"""When a search for a turn says that the turn does not exist, though another account has one."""

from __future__ import annotations

from types import SimpleNamespace
from typing import TYPE_CHECKING
from typing import cast

import pytest

from quincespool.gateway.members.messages import FindTurn
from quincespool.gateway.members.messages import PartitionClaim
from quincespool.gateway.members.messages import TurnAbsent
from quincespool.gateway.members.messages import TurnForeign
from quincespool.gateway.members.messages import TurnFound
from quincespool.gateway.model import Daemon
from quincespool.gateway.store.interface import Partition
from quincespool.gateway.turns.finder import FoundTurn
from quincespool.gateway.turns.finder import TurnFinder

if TYPE_CHECKING:
    from collections.abc import Callable

    from quincespool.gateway.members.links import Link
    from quincespool.gateway.members.links import Links
    from quincespool.gateway.members.member_table import MemberTable
    from quincespool.gateway.turns.finder import FinderMessage
    from quincespool.gateway.turns.ownership import Ownership

PARTITIONS = [Partition("programs.0", number) for number in range(2)]
EPOCH = 5
NOT_FOUND = FoundTurn(None, 0)


class _Peer:
    """The only other daemon; it owns all partitions and answers each query by a function."""

    def __init__(self, answer: Callable[[FindTurn], list[FinderMessage]]) -> None:
        self.queries: list[FindTurn] = []
        self._answer = answer

    def make_finder(self, *, known_epoch: int = EPOCH) -> TurnFinder:
        daemon = Daemon("b", 1, "z", "b:1", "b:2")
        members = SimpleNamespace(
            others=[daemon], is_alive=lambda *_: True, highest_epoch=lambda _: known_epoch
        )
        ownership = SimpleNamespace(owned={}, ready_owned=[], claims=(), is_confirmed=True)
        self._finder = TurnFinder(
            partitions=PARTITIONS,
            members=cast("MemberTable", members),
            ownership=cast("Ownership", ownership),
            links=cast("Links", self),
        )
        return self._finder

    async def get(self, _: str) -> _Peer:
        return self

    def send(self, query: FindTurn) -> bool:
        self.queries.append(query)
        for message in self._answer(query):
            self._finder.on_message(cast("Link", self), message)
        return True


def _absent(query: FindTurn, *, count: int = len(PARTITIONS)) -> TurnAbsent:
    claims = tuple(PartitionClaim(*one, epoch=EPOCH) for one in PARTITIONS[:count])
    return TurnAbsent(query.find_id, claims, claimed=query.claimed)


def _answer_foreign(query: FindTurn) -> list[FinderMessage]:
    answers: list[FinderMessage] = [TurnForeign(query.find_id)]
    return [*answers, _absent(query)] if query.claimed else answers


async def test_owners_by_lease_deny_a_turn_that_another_account_has() -> None:
    peer = _Peer(_answer_foreign)
    assert await peer.make_finder().find("t", "north") == NOT_FOUND
    assert not any(query.certain for query in peer.queries)


async def test_an_owner_that_has_been_replaced_cannot_deny_a_turn() -> None:
    """Guards against a 404 by the lease of an owner that has not noticed its successor."""
    finder = _Peer(_answer_foreign).make_finder(known_epoch=EPOCH + 1)
    assert await finder.find("t", "north") is None


async def test_owners_by_lease_deny_nothing_without_a_turn_of_another_account() -> None:
    finder = _Peer(lambda query: [_absent(query)._replace(claimed=True)]).make_finder()
    assert await finder.find("t", "north") is None


@pytest.mark.parametrize("round_number", [2, 3])
async def test_an_accounts_own_turn_is_found_after_one_of_another_account(
    round_number: int,
) -> None:
    """Guards against a 404 for a turn whose owner answers only later."""

    def answer(query: FindTurn) -> list[FinderMessage]:
        answers: list[FinderMessage] = [TurnForeign(query.find_id)]
        if len(peer.queries) >= round_number:
            answers.append(TurnFound(query.find_id, b"text", 1_000))
        elif query.claimed:
            answers.append(_absent(query, count=1))
        return answers

    peer = _Peer(answer)
    assert await peer.make_finder().find("t", "north") == FoundTurn(b"text", 1_000)


async def test_a_daemon_with_a_turn_of_another_account_says_where_the_account_has_none() -> None:
    """Guards against a search that finds no end where another account used the id."""
    ledger = SimpleNamespace(find=lambda *_: "", is_foreign=lambda *_: True)
    owned = SimpleNamespace(partition=PARTITIONS[0], epoch=EPOCH, ready=True, ledger=ledger)
    claims = (PartitionClaim(*PARTITIONS[0], epoch=EPOCH),)
    ownership = SimpleNamespace(
        owned={PARTITIONS[0]: owned}, ready_owned=[owned], claims=claims, is_confirmed=True
    )
    finder = TurnFinder(
        partitions=PARTITIONS,
        members=cast("MemberTable", SimpleNamespace(others=[])),
        ownership=cast("Ownership", ownership),
        links=cast("Links", None),
    )
    sent: list[FinderMessage] = []
    link = cast("Link", SimpleNamespace(send=sent.append))
    query = FindTurn(1, "t", certain=False, account="north", claimed=True)
    await finder._answer_query(link, query)
    claims = (PartitionClaim(*PARTITIONS[0], epoch=EPOCH),)
    assert sent == [TurnForeign(1), TurnAbsent(1, claims, claimed=True)]
