"""Relays turns to the owners of their programs, and runs turns that other daemons relay here."""

from __future__ import annotations

import asyncio
import itertools
from typing import TYPE_CHECKING
from typing import Any

from quincespool.gateway.clock import now_ms
from quincespool.gateway.futures import start_background_task
from quincespool.gateway.members.messages import RelayCall
from quincespool.gateway.members.messages import RelayCancel
from quincespool.gateway.members.messages import RelayEnd
from quincespool.gateway.members.messages import RelayHead
from quincespool.gateway.members.messages import RelayPiece
from quincespool.gateway.members.messages import RelayRefused
from quincespool.gateway.model import FAILED
from quincespool.gateway.model import MEMORY_SHORT
from quincespool.gateway.model import TIMEOUT
from quincespool.gateway.model import Refusal
from quincespool.gateway.model import may_have_run
from quincespool.gateway.model import not_run
from quincespool.gateway.turns.relay_codec import decode_headers
from quincespool.gateway.turns.relay_codec import decode_relay_call
from quincespool.gateway.turns.relay_codec import encode_headers
from quincespool.gateway.turns.relay_codec import encode_relay_call
from quincespool.gateway.turns.turn_records import STORE_UNREACHABLE
from quincespool.net.incoming_request import request_cost_bytes
from quincespool.verdict import Verdict

if TYPE_CHECKING:
    from collections.abc import Callable

    from quincespool.gateway.callers.reply import Reply
    from quincespool.gateway.decision_log import DecisionLog
    from quincespool.gateway.members.links import Link
    from quincespool.gateway.members.links import Links
    from quincespool.gateway.members.member_table import MemberTable
    from quincespool.gateway.model import Call
    from quincespool.gateway.model import Daemon
    from quincespool.gateway.model import Headers
    from quincespool.gateway.model import TurnParameters
    from quincespool.gateway.store.interface import Partition
    from quincespool.gateway.turns.ownership import Ownership
    from quincespool.gateway.turns.partition import OwnedPartition
    from quincespool.gateway.turns.runner import TurnRunner
    from quincespool.gateway.turns.settlements import Settlements
    from quincespool.net.held_memory import HeldMemory

# Maximum time for which a turn waits for an owner. A reassigned partition has a new owner within
# some tens of milliseconds or, if its owner has crashed, within the duration of the lease. A turn
# does not wait longer, since a refusal costs its caller little.
OWNER_WAIT_MS = 500
OWNER_POLL_S = 0.02
OWNER_RETRY_MS = 400
# The same retry time as for a turn whose owner can't write to the store: until the store is
# reachable again, it assigns the partition to no other daemon.
STORE_UNREACHABLE_RETRY_MS = 1_300
# Time after a turn's time limit for its owner's answer to arrive: the owner answers by the limit.
ANSWER_GRACE_MS = 120
NOT_OWNER = "not_owner"


class _PendingTurn:
    """A turn that was relayed to its owner and has no complete answer yet."""

    def __init__(self, reply: Reply) -> None:
        self.reply = reply
        self.link: Link | None = None
        self.done: asyncio.Future[Refusal | None] = asyncio.get_running_loop().create_future()


class _RemoteReply:
    """Sends an answer to the daemon that the caller is connected to."""

    def __init__(self, link: Link, relay_id: int) -> None:
        self._link = link
        self._relay_id = relay_id

    def start(self, status: int, headers: Headers) -> None:
        self._link.send(RelayHead(self._relay_id, status, encode_headers(headers)))

    def send_chunk(self, data: bytes) -> None:
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
    """Passes each turn to the owner of its program, which may be this daemon."""

    def __init__(
        self,
        *,
        member_id: str,
        partition_for: Callable[[str], Partition],
        members: MemberTable,
        ownership: Ownership,
        links: Links,
        turns: TurnRunner,
        settlements: Settlements,
        store_reachable: Callable[[], bool],
        has_time_until: Callable[[int], bool],
        memory: HeldMemory,
        max_relayed: int,
        log: DecisionLog,
    ) -> None:
        self._member_id = member_id
        self._partition_for = partition_for
        self._members = members
        self._ownership = ownership
        self._links = links
        self._turns = turns
        self._settlements = settlements
        self._store_reachable = store_reachable
        self._has_time_until = has_time_until
        self._memory = memory
        self._max_relayed = max_relayed
        self._log = log
        self._ids = itertools.count(1)
        self._pending: dict[int, _PendingTurn] = {}
        self._relayed_tasks: dict[tuple[Link, int], asyncio.Task[None]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def serving(self) -> int:
        """The number of turns that run here and whose callers are connected to other daemons."""
        return len(self._relayed_tasks)

    @property
    def settling(self) -> int:
        """The number of records still to be made durable for turns whose partition was reassigned.

        Counts those of turns that ran here, and those that other daemons have sent.
        """
        return self._settlements.serving + self._turns.unsettled_turns

    async def run(
        self, call: Call, parameters: TurnParameters, reply: Reply, *, until_ms: int
    ) -> str:
        """Has a turn answered by the owner of its program, or refuses it.

        Args:
          call: The call; its `turn` is set.
          parameters: The service that runs the turn, its time limits and its other parameters.
          reply: Receives the answer or the refusal.
          until_ms: Monotonic clock (ms) at which the time limit of the call is over.

        Returns:
          The member id of the daemon that answered or refused the turn as the owner, empty if none.
        """
        assert call.turn is not None
        partition = self._partition_for(call.turn.program_id)
        owner_wait_until_ms = min(until_ms, now_ms() + OWNER_WAIT_MS)
        refused_owner: tuple[Daemon, int] | None = None
        while True:
            refusal: Refusal | None = None
            owned = self._ownership.serving(partition)
            owner = self._members.owner(partition, now_ms())
            if owned is not None:
                await self._turns.run(call, parameters, owned, reply, until_ms=until_ms)
                return self._member_id
            if owner is not None and owner != refused_owner:
                refusal = await self._relay_to_owner(owner[0], call, parameters, reply, until_ms)
                if refusal is None:
                    return owner[0].member_id
                if _is_store_refusal(refusal) and self._store_reachable():
                    # This daemon can reach the store and that owner can't. Once the owner's lease
                    # expires, another daemon owns the partition. That is sooner than the retry
                    # time in the refusal, which assumes that the store has to recover first.
                    refused_owner = owner
                elif refusal.reason != NOT_OWNER:
                    reply.refuse(refusal)
                    return owner[0].member_id
            if not self._store_reachable():
                reply.refuse(not_run(STORE_UNREACHABLE, retry_after_ms=STORE_UNREACHABLE_RETRY_MS))
                return ""
            if now_ms() >= owner_wait_until_ms:
                reply.refuse(not_run("no_owner", retry_after_ms=OWNER_RETRY_MS))
                return ""
            await asyncio.sleep(OWNER_POLL_S)

    def on_message(self, link: Link, sender: str, message: Any) -> None:
        """Handles a message from another daemon."""
        del sender
        if isinstance(message, RelayCall):
            self._handle_call(link, message)
        elif isinstance(message, RelayCancel):
            task = self._relayed_tasks.get((link, message.relay_id))
            if task is not None:
                task.cancel()
        else:
            self._handle_answer(message)

    def on_link_lost(self, link: Link) -> None:
        """Ends the turns in progress on a broken link.

        Turns run here for the other daemon are cancelled; turns relayed to it get `may_have_run`.
        """
        serving = [task for (one, _), task in self._relayed_tasks.items() if one is link]
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

    async def _relay_to_owner(
        self, owner: Daemon, call: Call, parameters: TurnParameters, reply: Reply, until_ms: int
    ) -> Refusal | None:
        """Relays a turn; returns None if answered, else a refusal, `NOT_OWNER` if not accepted."""
        link = await self._links.get(owner.peer_address)
        if link is None:
            self._members.suspect(owner.member_id)
            return not_run(NOT_OWNER)
        relay_id = next(self._ids)
        pending = _PendingTurn(reply)
        pending.link = link
        self._pending[relay_id] = pending
        left_ms = until_ms - now_ms()
        if not link.send(encode_relay_call(relay_id, call, parameters, left_ms=left_ms)):
            del self._pending[relay_id]
            return not_run(NOT_OWNER)
        link.pending_answers += 1
        try:
            async with asyncio.timeout((left_ms + ANSWER_GRACE_MS) / 1000):
                return await pending.done
        except TimeoutError:
            link.send(RelayCancel(relay_id))
            return may_have_run(TIMEOUT, status=504)
        except BaseException:
            link.send(RelayCancel(relay_id))
            raise
        finally:
            link.pending_answers -= 1
            self._pending.pop(relay_id, None)

    def _handle_answer(self, message: RelayHead | RelayPiece | RelayEnd | RelayRefused) -> None:
        pending = self._pending.get(message.relay_id)
        if pending is None or pending.done.done():
            return
        try:
            self._forward_answer(pending, message)
        except Exception as error:
            # Raised in the call's handler: here it would close the link and end its other turns.
            pending.done.set_exception(error)

    def _forward_answer(
        self, pending: _PendingTurn, message: RelayHead | RelayPiece | RelayEnd | RelayRefused
    ) -> None:
        if isinstance(message, RelayHead):
            pending.reply.start(message.status, decode_headers(message.headers))
        elif isinstance(message, RelayPiece):
            pending.reply.send_chunk(message.data)
        elif isinstance(message, RelayEnd):
            pending.reply.end()
            pending.done.set_result(None)
        else:
            refusal = Refusal(
                message.status, Verdict(message.verdict), message.reason, message.retry_after_ms
            )
            pending.done.set_result(refusal)

    def _handle_call(self, link: Link, message: RelayCall) -> None:
        reply = _RemoteReply(link, message.relay_id)
        try:
            call, parameters = decode_relay_call(message)
        except Exception as error:
            # Reported by the link alone, the other daemon would wait until the time limit.
            self._log_fault(message.call_id, message.program_id, error)
            reply.refuse(not_run(FAILED))
            return
        owned = self._ownership.serving(self._partition_for(message.program_id))
        until_ms = now_ms() + message.left_ms
        if owned is None or not self._has_time_until(until_ms):
            # A partition whose owner is about to leave the group has another owner soon.
            reply.refuse(not_run(NOT_OWNER))
            return
        cost_bytes = request_cost_bytes(len(call.headers), len(call.body))
        is_crowded = len(self._relayed_tasks) >= self._max_relayed
        if is_crowded or not self._memory.reserve(cost_bytes):
            reply.refuse(not_run(MEMORY_SHORT, retry_after_ms=OWNER_RETRY_MS))
            return
        task = start_background_task(
            self._run_relayed(call, parameters, owned, reply, until_ms), self._tasks
        )
        key = (link, message.relay_id)
        self._relayed_tasks[key] = task
        task.add_done_callback(lambda _: self._relayed_tasks.pop(key, None))
        task.add_done_callback(lambda _: self._memory.release(cost_bytes))

    async def _run_relayed(
        self,
        call: Call,
        parameters: TurnParameters,
        owned: OwnedPartition,
        reply: _RemoteReply,
        until_ms: int,
    ) -> None:
        """Runs a turn for another daemon.

        A fault is answered with a refusal, or the other daemon would wait until the time limit.
        """
        try:
            await self._turns.run(call, parameters, owned, reply, until_ms=until_ms)
        except Exception as error:
            self._log_fault(call.call_id, call.program_id, error)
            reply.refuse(may_have_run(FAILED))

    def _log_fault(self, call_id: str, program_id: str, error: Exception) -> None:
        self._log.write_always(
            "call failed", call_id=call_id, program_id=program_id, error=repr(error)
        )


def _is_store_refusal(refusal: Refusal) -> bool:
    """Whether an owner has refused a turn, without running it, as it can't reach the store.

    A turn that was broken off for the same reason may have run, and must not go to another owner.
    """
    return refusal.reason == STORE_UNREACHABLE and refusal.verdict is Verdict.NOT_RUN
