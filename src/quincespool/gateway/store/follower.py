"""Follows a keyed topic of the store continuously, across failures of the store."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from quincespool.gateway.futures import report_exception
from quincespool.gateway.store.interface import ExpiredError
from quincespool.gateway.store.interface import StoreError

if TYPE_CHECKING:
    from collections.abc import Callable

    from quincespool.gateway.store.interface import KeyedRecord
    from quincespool.gateway.store.interface import Store

# Least time from a failed read to the next: short enough to detect the store's recovery at once,
# long enough that a hundred waiting daemons don't use up the store's request rate.
RETRY_DELAY_S = 0.25


class TopicFollower:
    """Reads new records of one keyed topic repeatedly.

    Attributes:
      synced_event: Set when the topic has been read to its end for the first time.
    """

    def __init__(
        self,
        topic: str,
        *,
        store: Store,
        on_record: Callable[[KeyedRecord], None],
        on_listing: Callable[[list[str]], None],
        wait_ms: int,
        pause_ms: Callable[[], int],
    ) -> None:
        """Creates a follower.

        Args:
          topic: The topic to follow.
          store: The store that holds the topic.
          on_record: Called with each record that is read.
          on_listing: Called with all existing keys after a full listing, so that keys whose
            deletion was not read can be dropped.
          wait_ms: How long a read waits for the first record; 0 to poll instead.
          pause_ms: Returns the time between two reads.
        """
        self.synced_event = asyncio.Event()
        self._topic = topic
        self._store = store
        self._on_record = on_record
        self._on_listing = on_listing
        self._wait_ms = wait_ms
        self._pause_ms = pause_ms
        self._offset: int | None = None
        self._read_now = asyncio.Event()
        self._answered_s = asyncio.get_running_loop().time()

    def unread_ms(self) -> int:
        """Returns the time since the store last answered, or since the start if it never did.

        Records cannot have been in the topic unread for longer.
        """
        return int(1_000 * (asyncio.get_running_loop().time() - self._answered_s))

    def read_soon(self) -> None:
        """Ends the pause between two reads early."""
        self._read_now.set()

    async def refresh(self) -> None:
        """Reads what was written until now; without effect before the first reading.

        Raises:
          StoreError: If the topic cannot be read.
        """
        if self._offset is not None:
            await self._read_on(self._offset, wait_ms=0)

    async def run(self) -> None:
        """Follows the topic until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            began_s = loop.time()
            try:
                await self._read()
            except ExpiredError:
                # Records were deleted before they were read; a full listing has their result.
                self._offset = None
            except StoreError:
                # A read that is not answered has taken its time already.
                await asyncio.sleep(began_s + RETRY_DELAY_S - loop.time())
            else:
                await self._pause()

    async def _read(self) -> None:
        if self._offset is not None:
            await self._read_on(self._offset, wait_ms=self._wait_ms)
            return
        page = await self._store.read_newest(self._topic)
        self._deliver(page.records)
        self._on_listing([record.key for record in page.records])
        self.synced_event.set()
        self._offset = page.end_offset
        self._answered_s = asyncio.get_running_loop().time()

    async def _read_on(self, from_offset: int, *, wait_ms: int) -> None:
        """Reads and delivers the records from an offset; two such reads may overlap."""
        page = await self._store.read_keyed(self._topic, from_offset, wait_ms=wait_ms)
        if self._offset is None:
            # Another read has found that records are missing, and a full listing is due.
            return
        # A record that is delivered again after a later one with its key would undo that one.
        known_offset = self._offset
        self._offset = max(known_offset, page.end_offset)
        self._deliver([record for record in page.records if record.offset >= known_offset])
        self._answered_s = asyncio.get_running_loop().time()

    def _deliver(self, records: list[KeyedRecord]) -> None:
        """Passes records on one by one; an exception on one must not block those after it."""
        for record in records:
            try:
                self._on_record(record)
            except Exception as error:
                report_exception(f"record {record.offset} of {self._topic} not handled", error)

    async def _pause(self) -> None:
        pause_ms = self._pause_ms()
        if pause_ms:
            try:
                async with asyncio.timeout(pause_ms / 1000):
                    await self._read_now.wait()
            except TimeoutError:
                pass
        self._read_now.clear()
