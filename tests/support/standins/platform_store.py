"""The platform's store over HTTP: partitioned topics, keyed topics and groups.

Several stand-ins can share one `StoreState`, each with faults of its own: a store that turns some
hosts away and serves the others.
"""

from __future__ import annotations

import asyncio
import base64
import bisect
import math
import time
from collections import Counter
from typing import TYPE_CHECKING
from typing import NamedTuple

import msgspec

from tests.support.standins.http import RefusedError
from tests.support.standins.http import StandIn

if TYPE_CHECKING:
    from tests.support.standins.http import Exchange
    from tests.support.standins.http import Request

_PARTITIONS = 8
_RECORD_BYTES = 262_144


class StoreKnobs(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Options and faults.

    Attributes:
      down: Every request gets 503; nothing is done.
      silent: Requests are neither done nor answered.
      lose_writes: So many next appends are done and their connection is closed without answer.
      delay_ms: Before every answer.
    """

    down: bool = False
    silent: bool = False
    lose_writes: int = 0
    delay_ms: float = 0


class _Partition:
    def __init__(self) -> None:
        self.records: list[bytes] = []
        # When each record came.
        self.times_s: list[float] = []
        self.first = 0
        self.epoch = -1
        self.next_sequence: int | None = None
        self.answers: dict[int, dict[str, int]] = {}

    @property
    def end(self) -> int:
        return self.first + len(self.records)

    def add(self, records: list[bytes]) -> None:
        self.records += records
        self.times_s += [time.monotonic()] * len(records)

    def drop(self, count: int) -> None:
        """Deletes the oldest records."""
        count = max(0, min(count, len(self.records)))
        del self.records[:count], self.times_s[:count]
        self.first += count


class _Member(NamedTuple):
    seen_s: float
    ttl_s: float
    generation: int


class _Group:
    """Deals partitions among members; what is taken from one is free once it knows."""

    def __init__(self) -> None:
        self.generation = 0
        self.members: dict[str, _Member] = {}
        # Those for which somebody has asked to leave.
        self.left: list[str] = []
        self.topics: list[str] = []
        self.holders: dict[tuple[str, int], str] = {}
        self.deals = 0

    def redeal(self) -> None:
        """Gives every partition to another member at once, as the platform does at times."""
        self.deals += 1
        self.generation += 1
        self.holders = {}

    def expire(self) -> None:
        now_s = time.monotonic()
        over = [one for one, m in self.members.items() if now_s - m.seen_s > m.ttl_s]
        for member in over:
            self.remove(member)

    def remove(self, member: str) -> None:
        if self.members.pop(member, None) is not None:
            self.generation += 1
        self.holders = {part: one for part, one in self.holders.items() if one != member}

    def wanted(self) -> dict[tuple[str, int], str]:
        names = sorted(self.members)
        parts = [(topic, number) for topic in self.topics for number in range(_PARTITIONS)]
        return {part: names[(index + self.deals) % len(names)] for index, part in enumerate(parts)}

    def parts_of(self, member: str) -> list[tuple[str, int]]:
        mine = []
        for part, one in self.wanted().items():
            holder = self.holders.get(part)
            free = holder is None or holder == member
            if one == member and (free or self._has_let_go(holder)):
                self.holders[part] = member
                mine.append(part)
        return mine

    def _has_let_go(self, holder: str | None) -> bool:
        member = self.members.get(holder or "")
        return member is None or member.generation >= self.generation


class StoreState:
    """What lasts.

    Attributes:
      retention_s: How long records of other than keyed topics are kept.
      total_bytes: Beyond these in all records appends get 507.
    """

    def __init__(self) -> None:
        self.retention_s = math.inf
        self.total_bytes = math.inf
        self.partitions: dict[tuple[str, int], _Partition] = {}
        self.groups: dict[str, _Group] = {}
        self.changed = asyncio.Event()
        self.calls = 0
        self.calls_to: Counter[str] = Counter()
        self._kept: dict[str, list[bytes]] = {}

    def partition(self, topic: str, number: int) -> _Partition:
        partition = self.partitions.setdefault((topic, number), _Partition())
        if not topic.startswith("keyed."):
            over_s = time.monotonic() - self.retention_s
            partition.drop(bisect.bisect(partition.times_s, over_s))
        return partition

    @property
    def stored_bytes(self) -> int:
        """What all records hold."""
        return sum(len(one) for part in self.partitions.values() for one in part.records)

    def put(self, topic: str, key: str, value: bytes | None) -> None:
        """Writes a keyed record, as operators and backend servers do."""
        name = key.encode()
        record = len(name).to_bytes(1, "big") + name + (value or b"")
        self.partition(topic, 0).add([record])
        self.wake()

    def forget_history(self, topic: str) -> None:
        """Deletes the records of a keyed topic; the newest of each key is still listed."""
        partition = self.partition(topic, 0)
        self._kept.setdefault(topic, []).extend(partition.records)
        partition.drop(len(partition.records))
        self.wake()

    def all_keyed(self, topic: str) -> list[bytes]:
        return [*self._kept.get(topic, []), *self.partition(topic, 0).records]

    def redeal(self) -> None:
        """Deals the partitions of all groups anew."""
        for group in self.groups.values():
            group.redeal()

    def wake(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()


class PlatformStoreStandIn(StandIn[StoreKnobs]):
    """One way to the store."""

    def __init__(self, state: StoreState, knobs: StoreKnobs) -> None:
        super().__init__(knobs)
        self.state = state

    def counts(self) -> dict[str, object]:
        return {"calls": self.state.calls}

    async def handle(self, exchange: Exchange) -> None:
        self.state.calls += 1
        self.state.calls_to[exchange.request.path] += 1
        if self.knobs.silent:
            await asyncio.Event().wait()
        if self.knobs.down:
            raise RefusedError(503, "down")
        await asyncio.sleep(self.knobs.delay_ms / 1000)
        answer = await self._result(exchange.request)
        if exchange.request.path == "/log-append" and self.knobs.lose_writes:
            self.knobs.lose_writes -= 1
            exchange.cut()
            return
        if isinstance(answer, bytes):
            await _reply_raw(exchange, answer)
        else:
            await exchange.reply(200, answer)

    async def _result(self, request: Request) -> object:
        if request.path == "/log-append":
            return self._append(request)
        if request.path == "/log-read":
            return await self._read(request)
        if request.path == "/log-newest":
            return self._newest(request)
        if request.path == "/log-join":
            return self._join(request.json())
        if request.path == "/log-leave":
            body = request.json()
            group = self.state.groups.setdefault(body["group"], _Group())
            group.left.append(body["member"])
            group.remove(body["member"])
            return {}
        if request.path == "/log-owners":
            group = self.state.groups.setdefault(request.query["group"], _Group())
            group.expire()
            rows = [[*part, member, 0] for part, member in group.holders.items()]
            return {"parts": rows}
        if request.path == "/log-trim":
            trimmed = self.state.partition(request.query["topic"], int(request.query["part"]))
            trimmed.drop(int(request.query["before"]) - trimmed.first)
            return {}
        raise RefusedError(404, "no such call")

    def _append(self, request: Request) -> object:
        query = request.query
        partition = self.state.partition(query["topic"], int(query["part"]))
        records = _unframed(request.body)
        if any(len(record) > _RECORD_BYTES for record in records):
            raise RefusedError(413, "record too long")
        if "epoch" in query:
            known = _check_writer(partition, int(query["epoch"]), int(query["sequence"]), records)
            if known is not None:
                return known
        if self.state.stored_bytes + len(request.body) > self.state.total_bytes:
            raise RefusedError(507, "full")
        offset = partition.end
        partition.add(records)
        answer = {"offset": offset, "end": partition.end}
        if "epoch" in query and records:
            partition.answers[int(query["sequence"])] = answer
            partition.next_sequence = int(query["sequence"]) + 1
        self.state.wake()
        return answer

    async def _read(self, request: Request) -> bytes:
        query = request.query
        partition = self.state.partition(query["topic"], int(query["part"]))
        start = int(query["from"])
        until_s = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        while True:
            if start < partition.first:
                raise RefusedGoneError(partition.first)
            left_s = until_s - time.monotonic()
            if partition.end > start or left_s <= 0:
                break
            changed = self.state.changed
            try:
                async with asyncio.timeout(left_s):
                    await changed.wait()
            except TimeoutError:
                pass
        head = partition.end.to_bytes(8, "big") + partition.first.to_bytes(8, "big")
        records = partition.records[start - partition.first :]
        return head + b"".join(len(one).to_bytes(4, "big") + one for one in records)

    def _newest(self, request: Request) -> object:
        topic = request.query["topic"]
        newest: dict[str, bytes] = {}
        for record in self.state.all_keyed(topic):
            size = record[0]
            key, value = record[1 : 1 + size].decode(), record[1 + size :]
            newest.pop(key, None)
            if value:
                newest[key] = value
        items = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": 0}
            for key, value in newest.items()
        ]
        return {"items": items, "more": False, "end": self.state.partition(topic, 0).end}

    def _join(self, body: dict[str, object]) -> object:
        group = self.state.groups.setdefault(str(body["group"]), _Group())
        group.expire()
        member = str(body["member"])
        topics = body["topics"]
        assert isinstance(topics, list)
        group.topics = topics
        if member not in group.members:
            group.generation += 1
        ttl_s = int(str(body["ttl_ms"])) / 1000
        group.members[member] = _Member(time.monotonic(), ttl_s, int(str(body["generation"])))
        parts = [[topic, number, 0] for topic, number in group.parts_of(member)]
        return {"generation": group.generation, "ttl_ms": body["ttl_ms"], "parts": parts}


class RefusedGoneError(RefusedError):
    """Records that are no longer there."""

    def __init__(self, first: int) -> None:
        super().__init__(410, "gone")
        self.body = {"first": first}


async def _reply_raw(exchange: Exchange, body: bytes) -> None:
    await exchange.start("application/octet-stream")
    if body:
        await exchange.send(body)
    await exchange.finish()


def _check_writer(
    partition: _Partition, epoch: int, sequence: int, records: list[bytes]
) -> dict[str, int] | None:
    if epoch < partition.epoch:
        raise RefusedConflictError({"why": "fenced"})
    if epoch > partition.epoch:
        partition.epoch = epoch
        partition.next_sequence = None
        partition.answers.clear()
    if not records:
        return None
    if sequence in partition.answers:
        return partition.answers[sequence]
    expected = partition.next_sequence
    if expected is not None and sequence != expected:
        raise RefusedConflictError({"why": "seq", "expected": expected})
    return None


class RefusedConflictError(RefusedError):
    """A writer's conflict."""

    def __init__(self, body: dict[str, object]) -> None:
        super().__init__(409, "conflict")
        self.body = body


def _unframed(data: bytes) -> list[bytes]:
    records = []
    position = 0
    while position < len(data):
        size = int.from_bytes(data[position : position + 4], "big")
        records.append(data[position + 4 : position + 4 + size])
        position += 4 + size
    return records


def make_platform_store(state: StoreState | None = None, **knobs: object) -> PlatformStoreStandIn:
    """Returns a way to a store, new or shared."""
    return PlatformStoreStandIn(state or StoreState(), msgspec.convert(knobs, StoreKnobs))
