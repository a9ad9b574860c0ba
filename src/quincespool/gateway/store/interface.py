"""The interface of the durable store that the gateway needs; implemented by platform adapters."""

from __future__ import annotations

from typing import NamedTuple
from typing import Protocol


class Partition(NamedTuple):
    """One partition of a topic."""

    topic: str
    number: int


class StoreError(Exception):
    """A request to the store failed.

    Attributes:
      refused: Whether the store answered that it did not execute the request; if False, the request
        may still be executed.
      final: Whether retries of the same request would always be refused too.
    """

    final = False

    def __init__(self, detail: str, *, refused: bool) -> None:
        super().__init__(detail)
        self.refused = refused


class FencedError(StoreError):
    """A writer with a higher epoch has taken over the partition."""

    final = True

    def __init__(self) -> None:
        super().__init__("fenced by a higher epoch", refused=True)


class SequenceError(StoreError):
    """The sequence number of an append does not follow that of this writer's last append.

    Attributes:
      expected: The sequence number that the store expects.
    """

    final = True

    def __init__(self, expected: int) -> None:
        super().__init__(f"sequence {expected} expected", refused=True)
        self.expected = expected


class ExpiredError(StoreError):
    """The requested records are no longer retained.

    Attributes:
      first_offset: Offset of the first record that is retained.
    """

    final = True

    def __init__(self, first_offset: int) -> None:
        super().__init__(
            f"records before offset {first_offset} are no longer retained", refused=True
        )
        self.first_offset = first_offset


class StoreFullError(StoreError):
    """The store has no room for an append; it still serves all other requests."""

    def __init__(self) -> None:
        super().__init__("the store is full", refused=True)


class Page(NamedTuple):
    """Records from one read; the first one is at the requested offset.

    Attributes:
      end_offset: Offset at which the next read starts.
      records: The records, in order.
    """

    end_offset: int
    records: list[bytes]


class KeyedRecord(NamedTuple):
    """The newest record of a key; a value of None means that the key was deleted."""

    key: str
    value: bytes | None
    offset: int


class KeyedPage(NamedTuple):
    """Records of a keyed topic.

    Attributes:
      end_offset: Offset at which the next read starts.
      records: The records, in order.
    """

    end_offset: int
    records: list[KeyedRecord]


class Assignment(NamedTuple):
    """The partitions that are assigned to a member of a group in one generation of the group."""

    generation: int
    partitions: frozenset[Partition]


class Store(Protocol):
    """The durable store.

    Every method raises `StoreError` if the request fails; `Raises` sections name its subclasses.
    """

    async def append(
        self, partition: Partition, records: list[bytes], *, epoch: int, sequence: int
    ) -> int:
        """Appends all records or none under a writer's epoch; returns the new end offset.

        An append without records only sets the epoch. Repeating an append with the same sequence
        number is harmless.

        Raises:
          FencedError: If the store has seen a higher epoch.
          SequenceError: If the sequence number does not follow the last one.
        """

    async def append_keyed(self, topic: str, key: str, value: bytes | None) -> None:
        """Appends a record as the newest of its key; a value of None deletes the key."""

    async def read(self, partition: Partition, from_offset: int) -> Page:
        """Returns records from an offset on; none if the offset is the end.

        Raises:
          ExpiredError: If the records are no longer retained.
        """

    async def trim(self, partition: Partition, before: int) -> None:
        """Deletes the records before an offset."""

    async def read_keyed(self, topic: str, from_offset: int, *, wait_ms: int) -> KeyedPage:
        """Returns the records of a keyed topic from an offset on.

        Args:
          topic: The topic.
          from_offset: Offset of the first record to return.
          wait_ms: How long to wait for the first record; 0 to return at once.

        Raises:
          ExpiredError: If the records are no longer retained.
        """

    async def read_newest(self, topic: str) -> KeyedPage:
        """Returns the newest record of each key."""

    async def join(self, topics: list[str], *, member_id: str, generation: int) -> Assignment:
        """Joins the group of partition owners, or renews the membership."""

    async def leave(self, member_id: str) -> None:
        """Leaves the group, so that its partitions are assigned to other members at once."""

    async def owners(self) -> frozenset[str]:
        """Returns the ids of the group's members that hold partitions."""
