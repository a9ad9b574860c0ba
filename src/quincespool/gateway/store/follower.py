"""Keeps a daemon's picture of a keyed topic up to date, whatever the store goes through."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from quincespool.gateway.futures import report_fault
from quincespool.gateway.store.interface import ExpiredError
from quincespool.gateway.store.interface import StoreError

if TYPE_CHECKING:
    from collections.abc import Callable

    from quincespool.gateway.store.interface import KeyedPage
    from quincespool.gateway.store.interface import KeyedRecord
    from quincespool.gateway.store.interface import Store

# After a failed read; short enough to see the store's return at once, long enough that a hundred
# daemons that wait for it don't use up its rate.
RETRY_S = 0.25


class TopicFollower:
    """Reads one keyed topic to its end, again and again.

    Attributes:
      synced_event: Set when the topic was read to its end for the first time.
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
        """Makes a follower.

        Args:
          topic: What to follow.
          store: Where.
          on_record: Takes each record as it comes.
          on_listing: Takes all keys after a listing, which shows what was dropped unseen.
          wait_ms: How long a read waits for the first record; 0 to ask at intervals instead.
          pause_ms: Time between two reads.
        """
        self.synced_event = asyncio.Event()
        self._topic = topic
        self._store = store
        self._on_record = on_record
        self._on_listing = on_listing
        self._wait_ms = wait_ms
        self._pause_ms = pause_ms
        self._offset: int | None = None
        self._poke = asyncio.Event()

    def read_soon(self) -> None:
        """Reads without waiting for the pause to end."""
        self._poke.set()

    async def run(self) -> None:
        """Follows the topic for ever."""
        while True:
            try:
                await self._read()
            except ExpiredError:
                # Records were deleted unread; the listing has what they came to.
                self._offset = None
            except StoreError:
                await asyncio.sleep(RETRY_S)
            else:
                await self._rest()

    async def _read(self) -> None:
        page: KeyedPage
        if self._offset is None:
            page = await self._store.read_newest(self._topic)
            self._hand_on(page.records)
            self._on_listing([record.key for record in page.records])
            self.synced_event.set()
        else:
            page = await self._store.read_keyed(self._topic, self._offset, wait_ms=self._wait_ms)
            self._hand_on(page.records)
        self._offset = page.end_offset

    def _hand_on(self, records: list[KeyedRecord]) -> None:
        """Hands records on one by one; a fault with one must not stop the topic at its place."""
        for record in records:
            try:
                self._on_record(record)
            except Exception as error:
                report_fault(f"record {record.offset} of {self._topic} not handled", error)

    async def _rest(self) -> None:
        pause_ms = self._pause_ms()
        if pause_ms:
            try:
                async with asyncio.timeout(pause_ms / 1000):
                    await self._poke.wait()
            except TimeoutError:
                pass
        self._poke.clear()
