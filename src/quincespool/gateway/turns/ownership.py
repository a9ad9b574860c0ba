"""Which partitions this daemon owns, as the store's group of owners assigns them."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import Any

from quincespool.gateway.clock import now_ms
from quincespool.gateway.store.interface import Partition
from quincespool.gateway.store.interface import StoreError
from quincespool.gateway.turns.partition import OwnedPartition
from quincespool.policy.pending_assignments import PendingAssignments
from quincespool.stable_hash import stable_hash

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Coroutine

    from quincespool.gateway.store.hedged_calls import HedgedCalls
    from quincespool.gateway.store.interface import Assignment
    from quincespool.gateway.store.interface import Store

# Three renewals a lease, so that one lost answer does not cost the partitions.
RENEWALS_PER_LEASE = 3
# The generation of an assignment makes the epoch; a daemon that takes the same assignment up again
# counts on within it.
EPOCHS_PER_GENERATION = 1_000
# Pause between attempts to renew a lease that has run out.
UNCONFIRMED_RETRY_S = 0.1
# How often a daemon that stepped aside looks whether anybody else is there.
ASIDE_CHECK_S = 0.5
# All others have heard of a partition that was taken over longer ago.
CLAIM_KNOWN_MS = 1_000
# After the assignment has changed, the next renewal lets the new owner have what it is to get.
HAND_OVER_S = 0.01


def partition_of(program_id: str, partitions: list[Partition]) -> Partition:
    """Returns the partition of a program, the same at every daemon."""
    return partitions[stable_hash(program_id) % len(partitions)]


def list_partitions(topics: list[str], partition_count: int) -> list[Partition]:
    """Returns all partitions of some topics."""
    return [Partition(topic, number) for topic in topics for number in range(partition_count)]


class Ownership:
    """Keeps this daemon in the group of owners and follows its assignment.

    Attributes:
      owned: Partitions assigned to this daemon, some of them not read yet.
      generation: Of the assignment.
      confirmed_until_ms: Steady clock until which the store gives the partitions to nobody else by
        itself. It may still take them away at any time; who must be certain asks `confirm`.
    """

    def __init__(
        self,
        *,
        member_id: str,
        incarnation: int,
        topics: list[str],
        lease_ms: int,
        store: Store,
        hedged: HedgedCalls,
        store_reachable: Callable[[], bool],
        on_change: Callable[[OwnedPartition, str], None],
        on_assignment: Callable[[int, int], None],
        tell_claims: Callable[[], None],
    ) -> None:
        self.owned: dict[Partition, OwnedPartition] = {}
        # Given up, and still written for turns under way, by partition the newest last.
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
        self._tell_claims = tell_claims
        self._poke = asyncio.Event()
        self._wanted = True
        self._aside = False
        self._takes = 0
        self._dealt: PendingAssignments[Partition] = PendingAssignments(now_ms())
        self._taking: asyncio.TimerHandle | None = None

    @property
    def is_confirmed(self) -> bool:
        """Whether the lease, as far as known here, has not run out."""
        return now_ms() < self.confirmed_until_ms

    def serving(self, partition: Partition) -> OwnedPartition | None:
        """Returns a partition that this daemon may serve now.

        Without a lease it goes on while the store is away and no other daemon is known to own the
        partition: its turns end only if their records are kept after all, by whoever owns it then.
        """
        owned = self.owned.get(partition)
        if owned is None or not owned.ready:
            return None
        return owned if self.is_confirmed or not self._store_reachable() else None

    def yield_to(self, partition: Partition, epoch: int) -> None:
        """Gives a partition up that another daemon has taken over under a higher epoch."""
        writers = [one for one in self._retired if one.partition == partition]
        if partition in self.owned:
            writers.append(self.owned[partition])
        for writer in writers:
            if epoch > writer.epoch:
                writer.lose("taken over")

    def writer(self, partition: Partition) -> OwnedPartition | None:
        """Returns who writes a partition here, perhaps only for turns under way."""
        retired = [one for one in self._retired if one.partition == partition]
        return self.owned.get(partition) or (retired[-1] if retired else None)

    @property
    def is_writing(self) -> bool:
        """Whether records wait to be appended, and the store takes them."""
        writers = [*self._retired, *self.owned.values()]
        return any(not one.idle and not one.stalled for one in writers)

    def writes_since(self, since_ms: int) -> bool:
        """Whether a partition that was given up has no new owner, and had another one that lately.

        Turns of the owner before this one may still be under way, and end here.
        """
        return any(one.inherits and one.since_ms > since_ms for one in self._retired)

    def end_retired(self) -> None:
        """Lets go of partitions that were given up and that no turn needs any more."""
        if not self._wanted:
            # For the turns of others this one may be the last who can write.
            return
        for one in list(self._retired):
            if not one.in_use:
                one.lose("turns ended")

    def renew_soon(self) -> None:
        """Renews now rather than at the next interval: somebody has seen a newer generation."""
        self._poke.set()

    async def run(self) -> None:
        """Stays in the group until `leave`."""
        while self._wanted:
            changed = False if self._aside else await self._renew()
            wait_s = HAND_OVER_S if changed else self._renewal_s
            if not self.is_confirmed and not self._aside:
                # Everything waits for the lease; the store's return must be seen at once.
                wait_s = UNCONFIRMED_RETRY_S
            try:
                async with asyncio.timeout(wait_s):
                    await self._poke.wait()
            except TimeoutError:
                pass
            self._poke.clear()

    async def leave(self) -> None:
        """Gives all partitions up, what waits to be written first."""
        self._wanted = False
        self._forget_dealt()
        self._poke.set()
        for owned in self.owned.values():
            owned.flush()
        for _ in range(20):
            if all(one.stalled or (one.ready and one.idle) for one in self.owned.values()):
                break
            await asyncio.sleep(0.01)
        self._give_up(list(self.owned), "leaving")
        await self._release(self._member_id)

    async def release(self, member_id: str, incarnation: int) -> None:
        """Ends the lease of a process that is gone, so that others need not wait for it.

        Should it live all the same, it joins again; what it writes meanwhile is fenced.
        """
        await self._release(_owner_id(member_id, incarnation))

    async def step_aside(self, reason: str) -> None:
        """Lets others have the partitions while this daemon cannot be reached by them.

        Comes back by itself when nobody else has them: the others are gone, not cut off.
        """
        self._aside = True
        self._forget_dealt()
        self._give_up(list(self.owned), reason)
        await self._release(self._member_id)
        while self._aside and self._wanted:
            await asyncio.sleep(ASIDE_CHECK_S)
            try:
                if not await self._store.owners():
                    self.step_back()
            except StoreError:
                continue

    def step_back(self) -> None:
        """Takes part again."""
        self._aside = False
        self._poke.set()

    async def _release(self, owner_id: str) -> None:
        try:
            await self._hedged.first(lambda: self._store.leave(owner_id))
        except StoreError:
            # The lease runs out by itself.
            return

    @property
    def is_aside(self) -> bool:
        """Whether it has stepped aside."""
        return self._aside

    async def _renew(self) -> bool:
        """Renews the lease; returns whether the assignment has changed."""
        # Counted from before the request: the store counts from when it arrives.
        asked_ms = now_ms()
        try:
            assignment = await self._hedged.first(self._join)
        except StoreError:
            # Partitions are kept: whether the lease has run out only the store knows, and a write
            # under an old epoch is refused by it.
            return False
        if not self._wanted or self._aside:
            return False
        self.confirmed_until_ms = asked_ms + self._lease_ms
        return self._follow(assignment)

    def _join(self) -> Coroutine[Any, Any, Assignment]:
        return self._store.join(self._topics, member_id=self._member_id, generation=self.generation)

    def _follow(self, assignment: Assignment) -> bool:
        changed = assignment.generation != self.generation
        self.generation = assignment.generation
        lost = [one for one in self.owned if one not in assignment.partitions]
        self._give_up(lost, "reassigned")
        held = {one for one, owned in self.owned.items() if not owned.lost}
        self._dealt.assign(assignment.partitions - held, now_ms(), changed=changed)
        self._take_when_stable()
        if changed:
            self._on_assignment(assignment.generation, len(assignment.partitions))
        return changed

    def _take_when_stable(self) -> None:
        if self._taking is not None:
            self._taking.cancel()
            self._taking = None
        wait_ms = self._dealt.wait_ms(now_ms())
        if wait_ms == 0:
            self._take_dealt()
        elif wait_ms is not None:
            loop = asyncio.get_running_loop()
            self._taking = loop.call_later(wait_ms / 1000, self._take_dealt)

    def _take_dealt(self) -> None:
        for partition in self._dealt.take_all():
            self._take(partition)

    def _forget_dealt(self) -> None:
        self._dealt.take_all()
        self._take_when_stable()

    def _take(self, partition: Partition) -> None:
        self._takes += 1
        epoch = self.generation * EPOCHS_PER_GENERATION + self._takes % EPOCHS_PER_GENERATION
        self.owned[partition] = OwnedPartition(
            partition,
            epoch=epoch,
            store=self._store,
            hedged=self._hedged,
            on_change=self._on_change,
        )

    def forget(self, lost: OwnedPartition) -> None:
        """Takes note that a partition was lost; the next renewal tells whether it comes back."""
        if lost in self._retired:
            self._retired.remove(lost)
        if self.owned.get(lost.partition) is lost:
            del self.owned[lost.partition]
            self._poke.set()

    def _give_up(self, partitions: list[Partition], reason: str) -> None:
        lately_ms = now_ms() - CLAIM_KNOWN_MS
        if any(
            self.owned[one].ready and self.owned[one].since_ms > lately_ms for one in partitions
        ):
            # Until somebody takes a partition over, what others still have of its turns is kept
            # here; who has not heard the claim would not know where.
            self._tell_claims()
        for partition in partitions:
            owned = self.owned.pop(partition)
            if owned.ready:
                self._retired.append(owned)
            owned.retire(reason)


def _owner_id(member_id: str, incarnation: int) -> str:
    """Returns the name in the group of owners, another one for each process of a daemon.

    Under one name for all, a late request of a dead process would act for the one that lives.
    """
    return f"{member_id}.{incarnation}"
