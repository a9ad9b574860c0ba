"""Hands turns to the owners of their programs, and serves those that other daemons hand over."""

from __future__ import annotations

import asyncio
import itertools
from typing import TYPE_CHECKING
from typing import Any

import msgspec

from quincespool.gateway.clock import now_ms
from quincespool.gateway.futures import start_background_task
from quincespool.gateway.members.messages import RelayCall
from quincespool.gateway.members.messages import RelayCancel
from quincespool.gateway.members.messages import RelayEnd
from quincespool.gateway.members.messages import RelayHead
from quincespool.gateway.members.messages import RelayPiece
from quincespool.gateway.members.messages import RelayRefused
from quincespool.gateway.members.messages import SettleTurn
from quincespool.gateway.members.messages import TurnSettled
from quincespool.gateway.members.messages import read_optional
from quincespool.gateway.members.messages import write_optional
from quincespool.gateway.model import FAILED
from quincespool.gateway.model import Refusal
from quincespool.gateway.model import may_have_run
from quincespool.gateway.model import not_run
from quincespool.gateway.store.interface import Partition
from quincespool.gateway.turns.ledger import decode_record
from quincespool.gateway.turns.ledger import encode_record
from quincespool.gateway.turns.relay_codec import read_headers
from quincespool.gateway.turns.relay_codec import read_relay
from quincespool.gateway.turns.relay_codec import write_headers
from quincespool.gateway.turns.relay_codec import write_relay
from quincespool.gateway.turns.settlement import Settlement
from quincespool.gateway.turns.turn_records import STORE_AWAY
from quincespool.verdict import Verdict

if TYPE_CHECKING:
    from collections.abc import Callable

    from quincespool.gateway.callers.reply import Reply
    from quincespool.gateway.decision_log import DecisionLog
    from quincespool.gateway.members.links import Link
    from quincespool.gateway.members.links import Links
    from quincespool.gateway.members.table import Members
    from quincespool.gateway.model import Call
    from quincespool.gateway.model import Daemon
    from quincespool.gateway.model import Headers
    from quincespool.gateway.model import TurnParameters
    from quincespool.gateway.turns.ledger import Record
    from quincespool.gateway.turns.ownership import Ownership
    from quincespool.gateway.turns.partition import OwnedPartition
    from quincespool.gateway.turns.runner import TurnRunner

# A partition that changes hands is back within some tens of milliseconds, after a death within the
# lease; a turn waits for it no longer than this, since a refusal costs its caller little.
OWNER_WAIT_MS = 500
OWNER_POLL_S = 0.02
OWNER_RETRY_MS = 400
# As for a turn whose owner cannot write: the store gives nobody the partition before it is back.
STORE_AWAY_RETRY_MS = 1_300
# The owner answers at the time limit; this long after it, it is not going to.
OVERTIME_MS = 120
NOT_OWNER = "not_owner"


class _Pending:
    """A turn that was handed to its owner."""

    def __init__(self, reply: Reply) -> None:
        self.reply = reply
        self.link: Link | None = None
        self.done: asyncio.Future[Refusal | None] = asyncio.get_running_loop().create_future()


class _RemoteReply:
    """Sends an answer to the daemon that relays for its caller."""

    def __init__(self, link: Link, relay_id: int) -> None:
        self._link = link
        self._relay_id = relay_id

    def head(self, status: int, headers: Headers) -> None:
        self._link.send(RelayHead(self._relay_id, status, write_headers(headers)))

    def piece(self, data: bytes) -> None:
        self._link.send(RelayPiece(self._relay_id, data))

    def end(self) -> None:
        self._link.send(RelayEnd(self._relay_id))

    def refuse(self, refusal: Refusal) -> None:
        self._link.send(
            RelayRefused(
                self._relay_id,
                refusal.status,
                refusal.verdict.value,
                refusal.reason,
                refusal.retry_after_ms,
            )
        )


class Relay:
    """Brings each turn to the owner of its program, which may be this daemon."""

    def __init__(
        self,
        *,
        member_id: str,
        partition_for: Callable[[str], Partition],
        members: Members,
        ownership: Ownership,
        links: Links,
        turns: TurnRunner,
        store_reachable: Callable[[], bool],
        has_time_until: Callable[[int], bool],
        log: DecisionLog,
    ) -> None:
        self._member_id = member_id
        self._partition_for = partition_for
        self._members = members
        self._ownership = ownership
        self._links = links
        self._turns = turns
        self._store_reachable = store_reachable
        self._has_time_until = has_time_until
        self._log = log
        self._ids = itertools.count(1)
        self._pending: dict[int, _Pending] = {}
        self._serving: dict[tuple[Link, int], asyncio.Task[None]] = {}
        self._settling: dict[int, asyncio.Future[Settlement]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._settling_for: set[asyncio.Task[None]] = set()

    @property
    def serving(self) -> int:
        """Turns of other daemons' callers under way here."""
        return len(self._serving)

    @property
    def settling(self) -> int:
        """Records of turns under way that lost their owner, here or for other daemons."""
        return len(self._settling_for) + self._turns.settling

    async def run(self, call: Call, terms: TurnParameters, reply: Reply, *, until_ms: int) -> str:
        """Answers a turn; returns the member id of the daemon that did, empty if none."""
        assert call.turn is not None
        partition = self._partition_for(call.turn.program_id)
        give_up_ms = min(until_ms, now_ms() + OWNER_WAIT_MS)
        turned_away: tuple[Daemon, int] | None = None
        while True:
            refusal: Refusal | None = None
            owned = self._ownership.serving(partition)
            owner = self._members.owner(partition, now_ms())
            if owned is not None:
                await self._turns.run(call, terms, owned, reply, until_ms=until_ms)
                return self._member_id
            if owner is not None and owner != turned_away:
                refusal = await self._hand_over(owner[0], call, terms, reply, until_ms)
                if refusal is None:
                    return owner[0].member_id
                if _is_turned_away(refusal) and self._store_reachable():
                    # The store serves this daemon and turns that owner away: another one has the
                    # partition when the lease has run out, sooner than the store's return that
                    # the refusal speaks of.
                    turned_away = owner
                elif refusal.reason != NOT_OWNER:
                    reply.refuse(refusal)
                    return owner[0].member_id
            if not self._store_reachable():
                reply.refuse(not_run(STORE_AWAY, retry_after_ms=STORE_AWAY_RETRY_MS))
                return ""
            if now_ms() >= give_up_ms:
                reply.refuse(not_run("no_owner", retry_after_ms=OWNER_RETRY_MS))
                return ""
            await asyncio.sleep(OWNER_POLL_S)

    async def settle_elsewhere(
        self, partition: Partition, record: Record, budget_tokens: int | None, left_ms: int
    ) -> bool:
        """Lets a partition's new owner keep a record; returns whether it has.

        One that has given the partition up since still writes while nobody else does.
        """
        until_ms = now_ms() + left_ms
        while now_ms() < until_ms:
            own = self._ownership.writer(partition)
            owner = self._members.writer(partition, now_ms())
            outcome = Settlement.NOT_HERE
            if own is not None and (owner is None or owner[1] <= own.epoch):
                outcome = await own.settle(record, budget_tokens=budget_tokens)
            elif owner is not None:
                message = _write_settle(next(self._ids), partition, record, budget_tokens)
                outcome = await self._settle_at(owner[0].peer_address, message, until_ms)
            if outcome is not Settlement.NOT_HERE:
                return outcome is Settlement.KEPT
            await asyncio.sleep(OWNER_POLL_S)
        return False

    def on_message(self, link: Link, sender: str, message: Any) -> None:
        """Takes a message from another daemon."""
        del sender
        if isinstance(message, RelayCall):
            self._serve(link, message)
        elif isinstance(message, RelayCancel):
            task = self._serving.get((link, message.relay_id))
            if task is not None:
                task.cancel()
        elif isinstance(message, SettleTurn):
            start_background_task(self._settle_for(link, message), self._settling_for)
        elif isinstance(message, TurnSettled):
            future = self._settling.pop(message.settle_id, None)
            if future is not None and not future.done():
                future.set_result(Settlement(message.outcome))
        else:
            self._take_answer(message)

    def on_lost(self, link: Link) -> None:
        """Ends what was on a link."""
        serving = [task for (one, _), task in self._serving.items() if one is link]
        waiting = [one for one in self._pending.values() if one.link is link]
        if serving or waiting:
            self._log.write(
                "link lost", serving=len(serving), waiting=len(waiting), detail=link.detail
            )
        for task in serving:
            task.cancel()
        for pending in waiting:
            if not pending.done.done():
                pending.done.set_result(may_have_run("owner_lost"))

    async def _hand_over(
        self, owner: Daemon, call: Call, terms: TurnParameters, reply: Reply, until_ms: int
    ) -> Refusal | None:
        """Relays a turn to its owner; returns None if it was answered, else the refusal."""
        link = await self._links.get(owner.peer_address)
        if link is None:
            self._members.suspect(owner.member_id)
            return not_run(NOT_OWNER)
        relay_id = next(self._ids)
        pending = _Pending(reply)
        pending.link = link
        self._pending[relay_id] = pending
        left_ms = until_ms - now_ms()
        if not link.send(write_relay(relay_id, call, terms, left_ms=left_ms)):
            del self._pending[relay_id]
            return not_run(NOT_OWNER)
        link.waiting += 1
        try:
            async with asyncio.timeout((left_ms + OVERTIME_MS) / 1000):
                return await pending.done
        except TimeoutError:
            link.send(RelayCancel(relay_id))
            return may_have_run("timeout", status=504)
        except BaseException:
            link.send(RelayCancel(relay_id))
            raise
        finally:
            link.waiting -= 1
            self._pending.pop(relay_id, None)

    def _take_answer(self, message: RelayHead | RelayPiece | RelayEnd | RelayRefused) -> None:
        pending = self._pending.get(message.relay_id)
        if pending is None or pending.done.done():
            return
        try:
            self._hand_on(pending, message)
        except Exception as error:
            # It ends this turn, at its caller's handler, not the link with everything on it.
            pending.done.set_exception(error)

    def _hand_on(
        self, pending: _Pending, message: RelayHead | RelayPiece | RelayEnd | RelayRefused
    ) -> None:
        if isinstance(message, RelayHead):
            pending.reply.head(message.status, read_headers(message.headers))
        elif isinstance(message, RelayPiece):
            pending.reply.piece(message.data)
        elif isinstance(message, RelayEnd):
            pending.reply.end()
            pending.done.set_result(None)
        else:
            refusal = Refusal(
                message.status, Verdict(message.verdict), message.reason, message.retry_after_ms
            )
            pending.done.set_result(refusal)

    def _serve(self, link: Link, message: RelayCall) -> None:
        call, terms = read_relay(message)
        reply = _RemoteReply(link, message.relay_id)
        owned = self._ownership.serving(self._partition_for(message.program_id))
        until_ms = now_ms() + message.left_ms
        if owned is None or not self._has_time_until(until_ms):
            # One that is about to leave the group has another owner soon.
            reply.refuse(not_run(NOT_OWNER))
            return
        task = start_background_task(
            self._run_for(call, terms, owned, reply, until_ms), self._tasks
        )
        key = (link, message.relay_id)
        self._serving[key] = task
        task.add_done_callback(lambda _: self._serving.pop(key, None))

    async def _run_for(
        self,
        call: Call,
        terms: TurnParameters,
        owned: OwnedPartition,
        reply: _RemoteReply,
        until_ms: int,
    ) -> None:
        """Runs a turn for another daemon, which waits until its time limit if it hears nothing."""
        try:
            await self._turns.run(call, terms, owned, reply, until_ms=until_ms)
        except Exception as error:
            self._log.write_always(
                "call failed", call_id=call.call_id, program_id=call.program_id, error=repr(error)
            )
            reply.refuse(may_have_run(FAILED))

    async def _settle_at(self, address: str, message: SettleTurn, until_ms: int) -> Settlement:
        link = await self._links.get(address)
        if link is None:
            return Settlement.NOT_HERE
        future: asyncio.Future[Settlement] = asyncio.get_running_loop().create_future()
        self._settling[message.settle_id] = future
        link.send(message)
        try:
            async with asyncio.timeout(max(0, until_ms - now_ms()) / 1000):
                return await future
        except TimeoutError:
            return Settlement.NOT_HERE
        finally:
            self._settling.pop(message.settle_id, None)

    async def _settle_for(self, link: Link, message: SettleTurn) -> None:
        owned = self._ownership.writer(Partition(message.topic, message.number))
        outcome = Settlement.NOT_HERE
        try:
            record = decode_record(message.record)
        except msgspec.DecodeError:
            # A daemon of another version; it gives the turn up when its time is over.
            owned = None
        if owned is not None:
            budget_tokens = read_optional(message.budget_tokens)
            outcome = await owned.settle(record, budget_tokens=budget_tokens)
        link.send(TurnSettled(message.settle_id, outcome.value))


def _is_turned_away(refusal: Refusal) -> bool:
    """Whether an owner has refused a turn, unrun, for want of the store.

    One that it has broken off, for the same reason, may have run, and goes to no other owner.
    """
    return refusal.reason == STORE_AWAY and refusal.verdict is Verdict.NOT_RUN


def _write_settle(
    settle_id: int, partition: Partition, record: Record, budget_tokens: int | None
) -> SettleTurn:
    return SettleTurn(
        settle_id=settle_id,
        topic=partition.topic,
        number=partition.number,
        record=encode_record(record),
        budget_tokens=write_optional(budget_tokens),
    )
