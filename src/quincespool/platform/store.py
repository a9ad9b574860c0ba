"""Client of the platform's log over HTTP, as the gateway's store.

Each method sends one request, or one for each page. Nothing is retried here, as the gateway knows
which requests may be repeated.
"""

from __future__ import annotations

import base64
from typing import TYPE_CHECKING
from typing import TypeVar
from urllib.parse import urlencode

import msgspec

from quincespool.gateway.store.interface import Assignment
from quincespool.gateway.store.interface import ExpiredError
from quincespool.gateway.store.interface import FencedError
from quincespool.gateway.store.interface import KeyedPage
from quincespool.gateway.store.interface import KeyedRecord
from quincespool.gateway.store.interface import Page
from quincespool.gateway.store.interface import Partition
from quincespool.gateway.store.interface import SequenceError
from quincespool.gateway.store.interface import StoreError
from quincespool.gateway.store.interface import StoreFullError
from quincespool.net.http_channel import Channel
from quincespool.net.http_channel import ChannelError

if TYPE_CHECKING:
    from collections.abc import Callable

    from quincespool.net.http_channel import ChannelAnswer

T = TypeVar("T")

_GROUP = "gateway"
_PRODUCER = "owner"
_LENGTH_BYTES = 4
_OFFSET_BYTES = 8
# Added to the time limit of a long-polling read, for the round trip.
_ROUND_TRIP_MS = 700
# While all daemons of ten hosts read their partitions after a restart, 44 pages are in flight. At
# the 80 MB/s that they share, these arrive within 150 ms, well before the time limit.
_MAX_PAGE_KB = 256


class _Appended(msgspec.Struct):
    end: int


class _Conflict(msgspec.Struct):
    # `seq` if the sequence number is wrong, `fenced` if the epoch is too low.
    why: str = ""
    expected: int = 0
    sequence: int = 0


class _Expired(msgspec.Struct):
    first: int = 0


class _Item(msgspec.Struct):
    key: str
    value: str
    offset: int


class _Newest(msgspec.Struct):
    items: list[_Item]
    more: bool
    end: int


class _Joined(msgspec.Struct):
    generation: int
    # Rows of topic, partition and committed offset; offsets are not used.
    parts: list[tuple[str, int, int]]


class _Owners(msgspec.Struct):
    # Rows of topic, partition, member and committed offset.
    parts: list[tuple[str, int, str | None, int]]


class PlatformStore:
    """Client of the store; calls `on_call` with the path and outcome of each request."""

    def __init__(
        self,
        *,
        address: str,
        lease_ms: int,
        time_limit_ms: int,
        partition_count: int,
        on_call: Callable[[str, str], None],
    ) -> None:
        self._address = address
        self._lease_ms = lease_ms
        self._time_limit_ms = time_limit_ms
        self._partition_count = partition_count
        self._on_call = on_call
        self._idle: list[Channel] = []

    async def append(
        self, partition: Partition, records: list[bytes], *, epoch: int, sequence: int
    ) -> int:
        """See `Store.append`."""
        query = {
            "topic": partition.topic,
            "part": partition.number,
            "producer": _PRODUCER,
            "epoch": epoch,
            "sequence": sequence,
        }
        body = b"".join(_frame(record) for record in records)
        answer = await self._post("/log-append", query, body)
        return _decode(answer, _Appended).end

    async def append_keyed(self, topic: str, key: str, value: bytes | None) -> None:
        """See `Store.append_keyed`."""
        name = key.encode()
        record = len(name).to_bytes(1, "big") + name + (value or b"")
        await self._post("/log-append", {"topic": topic, "part": 0}, _frame(record))

    async def read(self, partition: Partition, from_offset: int) -> Page:
        """See `Store.read`."""
        return await self._read(partition, from_offset, wait_ms=0)

    async def trim(self, partition: Partition, before: int) -> None:
        """See `Store.trim`."""
        query = {"topic": partition.topic, "part": partition.number, "before": before}
        await self._post("/log-trim", query, b"")

    async def read_keyed(self, topic: str, from_offset: int, *, wait_ms: int) -> KeyedPage:
        """See `Store.read_keyed`."""
        page = await self._read(Partition(topic, 0), from_offset, wait_ms=wait_ms)
        records = [
            _decode_keyed(record, from_offset + position)
            for position, record in enumerate(page.records)
        ]
        return KeyedPage(from_offset + len(records), records)

    async def read_newest(self, topic: str) -> KeyedPage:
        """See `Store.read_newest`."""
        records: list[KeyedRecord] = []
        end_offset: int | None = None
        query: dict[str, object] = {"topic": topic, "part": 0}
        while True:
            answer = await self._request("GET", "/log-newest", query, b"", self._time_limit_ms)
            page = _decode(answer, _Newest)
            # Pages are read one after the other. Records written meanwhile have offsets at or after
            # the end that the first page names, so callers continue to read from that offset.
            end_offset = page.end if end_offset is None else end_offset
            records += [_decode_item(item) for item in page.items]
            if not page.more or not page.items:
                return KeyedPage(end_offset, records)
            query["after"] = page.items[-1].key

    async def join(self, topics: list[str], *, member_id: str, generation: int) -> Assignment:
        """See `Store.join`."""
        body = {
            "group": _GROUP,
            "member": member_id,
            "topics": topics,
            "ttl_ms": self._lease_ms,
            "generation": generation,
        }
        answer = await self._post("/log-join", {}, msgspec.json.encode(body))
        joined = _decode(answer, _Joined)
        held = frozenset(Partition(topic, number) for topic, number, _ in joined.parts)
        return Assignment(joined.generation, held)

    async def leave(self, member_id: str) -> None:
        """See `Store.leave`."""
        body = {"group": _GROUP, "member": member_id}
        await self._post("/log-leave", {}, msgspec.json.encode(body))

    async def owners(self) -> frozenset[str]:
        """See `Store.owners`."""
        answer = await self._request(
            "GET", "/log-owners", {"group": _GROUP}, b"", self._time_limit_ms
        )
        rows = _decode(answer, _Owners).parts
        return frozenset(member for _, _, member, _ in rows if member)

    async def _read(self, partition: Partition, from_offset: int, *, wait_ms: int) -> Page:
        query = {
            "topic": partition.topic,
            "part": partition.number,
            "from": from_offset,
            "max_kb": _MAX_PAGE_KB,
            "wait_ms": wait_ms,
        }
        limit_ms = wait_ms + _ROUND_TRIP_MS if wait_ms else self._time_limit_ms
        answer = await self._request("GET", "/log-read", query, b"", limit_ms)
        return _decode_page(answer.body)

    async def _post(self, path: str, query: dict[str, object], body: bytes) -> ChannelAnswer:
        return await self._request("POST", path, query, body, self._time_limit_ms)

    async def _request(
        self, method: str, path: str, query: dict[str, object], body: bytes, limit_ms: int
    ) -> ChannelAnswer:
        if "topic" in query and not str(query["topic"]).startswith("keyed."):
            # The first request for a topic creates it with this number of partitions.
            query = {**query, "parts": self._partition_count}
        target = f"{path}?{urlencode(query)}" if query else path
        channel = self._idle.pop() if self._idle else Channel(self._address)
        try:
            answer = await channel.request(method, target, body, time_limit_ms=limit_ms)
        except ChannelError as error:
            self._on_call(path, "unanswered")
            raise StoreError(str(error), refused=not error.sent) from error
        self._idle.append(channel)
        self._on_call(path, str(answer.status))
        if answer.status != 200:
            raise _error(answer)
        return answer


def _error(answer: ChannelAnswer) -> StoreError:
    """Decodes a refusal: 409 is a conflict of writers, 410 gives the first retained record.

    A refusal with an unreadable body also becomes a `StoreError`, which callers handle.
    """
    if answer.status == 409:
        conflict = _decode_refusal(answer, _Conflict())
        if conflict.why == "fenced":
            return FencedError()
        if conflict.why == "seq":
            return SequenceError(conflict.expected or conflict.sequence)
    if answer.status == 410:
        return ExpiredError(_decode_refusal(answer, _Expired()).first)
    if answer.status == 507:
        return StoreFullError()
    detail = answer.body[:200].decode("utf-8", "replace")
    return StoreError(f"status {answer.status}: {detail}", refused=True)


def _decode_refusal(answer: ChannelAnswer, default: T) -> T:
    try:
        return msgspec.json.decode(answer.body, type=type(default))
    except msgspec.MsgspecError:
        return default


def _decode(answer: ChannelAnswer, body_type: type[T]) -> T:
    """Decodes a body; if it is unreadable, the request may still have been executed."""
    try:
        return msgspec.json.decode(answer.body, type=body_type)
    except msgspec.MsgspecError as error:
        raise StoreError(f"unreadable answer: {error}", refused=False) from error


def _frame(record: bytes) -> bytes:
    return len(record).to_bytes(_LENGTH_BYTES, "big") + record


def _decode_page(body: bytes) -> Page:
    """Decodes a page: the end and the first offset, then records, each behind its length.

    Raises:
      StoreError: If the page ends early; one without a length may, and look complete.
    """
    if len(body) < 2 * _OFFSET_BYTES:
        raise StoreError(f"a page of {len(body)} bytes", refused=False)
    records = []
    position = 2 * _OFFSET_BYTES
    while position < len(body):
        start = position + _LENGTH_BYTES
        position = start + int.from_bytes(body[position:start], "big")
        records.append(body[start:position])
    if position > len(body):
        raise StoreError("a page that ends inside a record", refused=False)
    return Page(int.from_bytes(body[:_OFFSET_BYTES], "big"), records)


def _decode_keyed(record: bytes, offset: int) -> KeyedRecord:
    """Decodes a record of a keyed topic: one byte of key length, the key, and the value if any.

    Other programs write to these topics too. Keys that are not UTF-8 are escaped, and match no
    other key.
    """
    size = record[0] if record else 0
    key = record[1 : 1 + size].decode("utf-8", "backslashreplace")
    return KeyedRecord(key, record[1 + size :] or None, offset)


def _decode_item(item: _Item) -> KeyedRecord:
    try:
        value = base64.b64decode(item.value)
    except ValueError:
        # Not base64: the raw text is passed on, and fails to decode as an entry, which is reported.
        value = item.value.encode()
    return KeyedRecord(item.key, value, item.offset)
