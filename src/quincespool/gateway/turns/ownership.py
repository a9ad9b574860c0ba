"""Partitions that this daemon owns, as the store assigns them to the group of owners."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import Any

from quincespool.gateway.clock import now_ms
from quincespool.gateway.members.messages import PartitionClaim
from quincespool.gateway.store.interface import Partition
from quincespool.gateway.store.interface import StoreError
from quincespool.gateway.turns.partition import OwnedPartition
from quincespool.policy.pending_assignments import PendingAssignments
from quincespool.stable_hash import stable_hash

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Coroutine

    from quincespool.gateway.store.hedged_requests import HedgedRequests
    from quincespool.gateway.store.interface import Assignment
    from quincespool.gateway.store.interface import Store

# Three renewals per lease, so that one lost answer does not end it.
RENEWALS_PER_LEASE = 3
# The epoch of a partition consists of the generation of the assignment and a counter below this
# number, which tells several takeovers under one generation apart.
EPOCHS_PER_GENERATION = 1_000
# Interval of renewals after the lease has expired.
UNCONFIRMED_RETRY_S = 0.1
# Interval at which a paused daemon checks whether the group has any other owner.
PAUSED_CHECK_S = 0.5
# After this time all other daemons have received the claim of a partition.
CLAIM_PROPAGATION_MS = 1_000
# Delay of the next renewal after the assignment has changed: that renewal lets the store assign the
# partitions which this daemon has given up to their new owners.
HANDOVER_RENEWAL_S = 0.01
# No turn lasts longer.
MAX_TURN_MS = 30_000


def partition_of(program_id: str, partitions: list[Partition]) -> Partition:
    """Returns the partition of a program, the same at every daemon."""
    return partitions[stable_hash(program_id) % len(partitions)]


def list_partitions(topics: list[str], partition_count: int) -> list[Partition]:
    """Returns all partitions of the given topics."""
    return [Partition(topic, number) for topic in topics for number in range(partition_count)]


class Ownership:
    """Keeps this daemon in the group of owners and applies the assignment of partitions.

    Attributes:
      owned: Partitions assigned to this daemon, including those whose records are not read yet.
      generation: Generation of the assignment.
      confirmed_until_ms: Monotonic clock (ms) at which the lease expires; until then the store does
        not reassign the partitions by itself. They may still be taken over at any time: a caller
        that must be certain uses `OwnedPartition.confirm`.
    """

    def __init__(
        self,
        *,
        member_id: str,
        incarnation: int,
        topics: list[str],
        lease_ms: int,
        store: Store,
        hedged: HedgedRequests,
        store_reachable: Callable[[], bool],
        on_change: Callable[[OwnedPartition, str], None],
        on_assignment: Callable[[int, int], None],
        announce_claims: Callable[[], None],
    ) -> None:
        self.owned: dict[Partition, OwnedPartition] = {}
        # Partitions that were given up and are still written for turns in progress. If a partition
        # has several entries, the newest is the last.
        self._retired: list[OwnedPartition] = []
        self.generation = 0
        self.confirmed_until_ms = 0
        self._member_id = _owner_id(member_id, incarnation)
        self._topics = topics
        self._lease_ms = lease_ms
        self._renewal_s = lease_ms / 1000 / RENEWALS_PER_LEASE
        self._store = store
        self._hedged = hedged
        self._store_reachable = store_reachable
        self._on_change = on_change
        self._on_assignment = on_assignment
        self._announce_claims = announce_claims
        self._renewal_wanted = asyncio.Event()
        self._is_joining = True
        self._paused = False
        self._takeover_count = 0
        self._assigned: PendingAssignments[Partition] = PendingAssignments(now_ms())
        self._takeover_timer: asyncio.TimerHandle | None = None

    @property
    def is_confirmed(self) -> bool:
        """Whether the lease, as far as this daemon knows, has not expired."""
        return now_ms() < self.confirmed_until_ms

    def serving(self, partition: Partition) -> OwnedPartition | None:
        """Returns a partition if this daemon may serve its turns now, otherwise None.

        Without a lease the partition is still served while the store is unreachable: its turns end
        only once their records are durable, written by whichever daemon owns the partition then.
        """
        owned = self.owned.get(partition)
        if owned is None or not owned.ready:
            return None
        return owned if self.is_confirmed or not self._store_reachable() else None

    def yield_to(self, partition: Partition, epoch: int) -> None:
        """Marks a partition as lost that another daemon has taken over under a higher epoch."""
        writers = [one for one in self._retired if one.partition == partition]
        if partition in self.owned:
            writers.append(self.owned[partition])
        for writer in writers:
            if epoch > writer.epoch:
                writer.mark_lost("taken over")

    def writer(self, partition: Partition) -> OwnedPartition | None:
        """Returns this daemon's writer of a partition, which may be retired, or None."""
        retired = [one for one in self._retired if one.partition == partition]
        return self.owned.get(partition) or (retired[-1] if retired else None)

    @property
    def ready_owned(self) -> list[OwnedPartition]:
        """The partitions whose turns this daemon serves."""
        return [one for one in self.owned.values() if one.ready]

    @property
    def claims(self) -> tuple[PartitionClaim, ...]:
        """The claims of the partitions whose turns this daemon serves."""
        return _claims(self.ready_owned)

    @property
    def retired_claims(self) -> tuple[PartitionClaim, ...]:
        """The claims of the partitions that this daemon only writes."""
        return _claims(self.ready_retired)

    @property
    def ready_retired(self) -> list[OwnedPartition]:
        """The partitions that this daemon only writes, until another one takes them over."""
        return [one for one in self._retired if one.ready]

    @property
    def is_writing(self) -> bool:
        """Whether any partition that is not stalled has records that wait to be appended."""
        writers = [*self._retired, *self.owned.values()]
        return any(not one.idle and not one.stalled for one in writers)

    def has_retired_takeover_since(self, since_ms: int) -> bool:
        """Whether a retired partition was recently taken over by this daemon and has no new owner.

        Turns of the previous owner may still be in progress and need this daemon to write their
        records.

        Args:
          since_ms: Monotonic clock (ms) after which the takeover counts as recent.
        """
        return any(one.may_be_needed_by_last_owner(since_ms) for one in self._retired)

    def close_unused(self) -> None:
        """Stops writing retired partitions that no turn, here or at an earlier owner, needs."""
        if not self._is_joining:
            # This daemon is leaving and may be the last one that can write records of turns which
            # other daemons run.
            return
        since_ms = now_ms() - MAX_TURN_MS
        for one in list(self._retired):
            if not one.in_use and not one.may_be_needed_by_last_owner(since_ms):
                one.mark_lost("turns ended")

    def request_renewal(self) -> None:
        """Triggers a renewal of the lease at once.

        To be called when another daemon reports a newer generation.
        """
        self._renewal_wanted.set()

    async def run(self) -> None:
        """Renews the lease periodically until `leave` is called."""
        while self._is_joining:
            changed = False if self._paused else await self._renew()
            wait_s = HANDOVER_RENEWAL_S if changed else self._renewal_s
            if not self.is_confirmed and not self._paused:
                # Turns wait for the lease, so the store's recovery must be noticed quickly.
                wait_s = UNCONFIRMED_RETRY_S
            try:
                async with asyncio.timeout(wait_s):
                    await self._renewal_wanted.wait()
            except TimeoutError:
                pass
            self._renewal_wanted.clear()

    async def leave(self) -> None:
        """Writes waiting records, gives up all partitions and leaves the group."""
        self._is_joining = False
        self._discard_assigned()
        self._renewal_wanted.set()
        for owned in self.owned.values():
            owned.flush()
        for _ in range(20):
            if all(one.stalled or (one.ready and one.idle) for one in self.owned.values()):
                break
            await asyncio.sleep(0.01)
        self._retire(list(self.owned), "leaving")
        await self._release(self._member_id)

    async def release(self, member_id: str, incarnation: int) -> None:
        """Ends the lease of a process that has stopped, so that its partitions are reassigned now.

        If the process is still running, it joins the group again; its writes until then are fenced.
        """
        await self._release(_owner_id(member_id, incarnation))

    async def pause(self, reason: str) -> None:
        """Gives the partitions up to other daemons while those daemons can't reach this one.

        Resumes automatically when the group has no owner at all: the other daemons have then
        stopped, and are not only unreachable from this one.

        Args:
          reason: Reason for the log line of each partition that is given up.
        """
        self._paused = True
        self._discard_assigned()
        self._retire(list(self.owned), reason)
        await self._release(self._member_id)
        while self._paused and self._is_joining:
            await asyncio.sleep(PAUSED_CHECK_S)
            try:
                if not await self._store.owners():
                    self.resume()
            except StoreError:
                continue

    def resume(self) -> None:
        """Joins the group of owners again."""
        self._paused = False
        self._renewal_wanted.set()

    async def _release(self, owner_id: str) -> None:
        try:
            await self._hedged.first_answer(lambda: self._store.leave(owner_id))
        except StoreError:
            # The lease expires by itself.
            return

    @property
    def is_paused(self) -> bool:
        """Whether this daemon leaves its partitions to other daemons; see `pause`."""
        return self._paused

    async def _renew(self) -> bool:
        """Renews the lease; returns whether the assignment has changed."""
        # Measured before the request is sent: the store's lease starts when the request arrives.
        requested_ms = now_ms()
        try:
            assignment = await self._hedged.first_answer(self._join)
        except StoreError:
            # Partitions are not given up: only the store knows whether the lease has expired, and
            # it rejects writes under an old epoch.
            return False
        if not self._is_joining or self._paused:
            return False
        self.confirmed_until_ms = requested_ms + self._lease_ms
        return self._follow(assignment)

    def _join(self) -> Coroutine[Any, Any, Assignment]:
        return self._store.join(self._topics, member_id=self._member_id, generation=self.generation)

    def _follow(self, assignment: Assignment) -> bool:
        changed = assignment.generation != self.generation
        self.generation = assignment.generation
        lost = [one for one in self.owned if one not in assignment.partitions]
        self._retire(lost, "reassigned")
        still_owned = {one for one, owned in self.owned.items() if not owned.lost}
        self._assigned.assign(assignment.partitions - still_owned, now_ms(), changed=changed)
        self._schedule_takeover()
        if changed:
            self._on_assignment(assignment.generation, len(assignment.partitions))
        return changed

    def _schedule_takeover(self) -> None:
        if self._takeover_timer is not None:
            self._takeover_timer.cancel()
            self._takeover_timer = None
        wait_ms = self._assigned.wait_ms(now_ms())
        if wait_ms == 0:
            self._take_over_assigned()
        elif wait_ms is not None:
            loop = asyncio.get_running_loop()
            self._takeover_timer = loop.call_later(wait_ms / 1000, self._take_over_assigned)

    def _take_over_assigned(self) -> None:
        for partition in self._assigned.take_all():
            self._take_over(partition)

    def _discard_assigned(self) -> None:
        self._assigned.take_all()
        self._schedule_takeover()

    def _take_over(self, partition: Partition) -> None:
        self._takeover_count += 1
        epoch = (
            self.generation * EPOCHS_PER_GENERATION + self._takeover_count % EPOCHS_PER_GENERATION
        )
        self.owned[partition] = OwnedPartition(
            partition,
            epoch=epoch,
            store=self._store,
            hedged=self._hedged,
            on_change=self._on_change,
        )

    def on_partition_lost(self, lost: OwnedPartition) -> None:
        """Removes a lost partition and renews the lease, which may assign the partition again."""
        if lost in self._retired:
            self._retired.remove(lost)
        if self.owned.get(lost.partition) is lost:
            del self.owned[lost.partition]
            self._renewal_wanted.set()

    def _retire(self, partitions: list[Partition], reason: str) -> None:
        recent_ms = now_ms() - CLAIM_PROPAGATION_MS
        if any(
            self.owned[one].ready and self.owned[one].since_ms > recent_ms for one in partitions
        ):
            # Until another daemon takes a partition over, this one appends the records that other
            # daemons send for turns of the partition. Daemons that have not received its claim
            # would not know where to send them.
            self._announce_claims()
        for partition in partitions:
            owned = self.owned.pop(partition)
            self._retired.append(owned)
            owned.retire(reason)


def _owner_id(member_id: str, incarnation: int) -> str:
    """Returns the name of a daemon in the group of owners, which differs for each of its processes.

    If all processes had the same name, a late request of a stopped one would apply to the running
    one.
    """
    return f"{member_id}.{incarnation}"


def _claims(partitions: list[OwnedPartition]) -> tuple[PartitionClaim, ...]:
    return tuple(PartitionClaim(*one.partition, epoch=one.epoch) for one in partitions)
