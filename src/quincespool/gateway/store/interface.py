"""What the gateway needs of the store that lasts; the adapter of a platform implements it."""

from __future__ import annotations

from typing import NamedTuple
from typing import Protocol


class Partition(NamedTuple):
    """One partition of a topic."""

    topic: str
    number: int


class StoreError(Exception):
    """A request to the store brought no result.

    Attributes:
      refused: Whether the store said that nothing was done; otherwise it may be done yet.
      final: Whether the same request will meet the same refusal, however often it is sent.
    """

    final = False

    def __init__(self, detail: str, *, refused: bool) -> None:
        super().__init__(detail)
        self.refused = refused


class FencedError(StoreError):
    """A writer with a higher epoch has taken the partition over."""

    final = True

    def __init__(self) -> None:
        super().__init__("fenced by a higher epoch", refused=True)


class SequenceError(StoreError):
    """The append does not follow the last one of this writer."""

    final = True

    def __init__(self, expected: int) -> None:
        super().__init__(f"sequence {expected} expected", refused=True)
        self.expected = expected


class ExpiredError(StoreError):
    """The records asked for are no longer retained."""

    final = True

    def __init__(self, first_offset: int) -> None:
        super().__init__(f"records before {first_offset} are gone", refused=True)
        self.first_offset = first_offset


class FullError(StoreError):
    """The store has no room for an append; it answers everything else."""

    def __init__(self) -> None:
        super().__init__("the store is full", refused=True)


class Page(NamedTuple):
    """Records from one read; the first one stands at the offset that was asked for."""

    end_offset: int
    records: list[bytes]


class KeyedRecord(NamedTuple):
    """The newest record of a key; no value means that the key was dropped."""

    key: str
    value: bytes | None
    offset: int


class KeyedPage(NamedTuple):
    """Records of a keyed topic and the offset from which to read on."""

    end_offset: int
    records: list[KeyedRecord]


class Assignment(NamedTuple):
    """The partitions that a member of a group holds, as of a generation."""

    generation: int
    partitions: frozenset[Partition]


class Store(Protocol):
    """The store. Every method raises `StoreError`."""

    async def append(
        self, partition: Partition, records: list[bytes], *, epoch: int, sequence: int
    ) -> int:
        """Appends all records or none under a writer's epoch; returns the new end.

        With no records it only sets the epoch. The same sequence number again is harmless.

        Raises:
          FencedError: if a higher epoch was seen.
          SequenceError: if the sequence number does not follow the last one.
        """

    async def append_keyed(self, topic: str, key: str, value: bytes | None) -> None:
        """Appends the newest record of a key, or drops the key."""

    async def read(self, partition: Partition, from_offset: int) -> Page:
        """Returns records from an offset on; none if it is the end.

        Raises:
          ExpiredError: if they are no longer retained.
        """

    async def trim(self, partition: Partition, before: int) -> None:
        """Deletes the records before an offset."""

    async def read_keyed(self, topic: str, from_offset: int, *, wait_ms: int) -> KeyedPage:
        """Returns the records of a keyed topic from an offset on, waiting for the first one.

        Raises:
          ExpiredError: if they are no longer retained.
        """

    async def read_newest(self, topic: str) -> KeyedPage:
        """Returns the newest record of each key."""

    async def join(self, topics: list[str], *, member_id: str, generation: int) -> Assignment:
        """Joins the group of owners or stays in it."""

    async def leave(self, member_id: str) -> None:
        """Leaves the group, so that others get its partitions at once."""

    async def owners(self) -> frozenset[str]:
        """Returns the member ids of the group that hold partitions."""
