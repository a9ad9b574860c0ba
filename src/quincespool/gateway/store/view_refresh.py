"""Brings the view of the cluster up to date after the process has stood still.

A process that was stopped for seconds, by its host or for want of processor time, finds in its
sockets both what the store has told it meanwhile and the requests of callers. Handled in the order
in which the event loop finds them, such requests would be routed, limited and refused by a
configuration that was replaced before they were sent, and go to backend servers that have left.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from quincespool.gateway.futures import start_background_task

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from quincespool.gateway.decision_log import DecisionLog
    from quincespool.gateway.store.follower import TopicFollower

# A store that answers does so sooner, also when it is slow. Without it, requests are handled by the
# view that there is.
REFRESH_LIMIT_S = 0.5


class ViewRefresh:
    """Detects that the process has stood still, and then reads topics to their ends."""

    def __init__(
        self,
        followers: Sequence[TopicFollower],
        *,
        max_stall_ms: int,
        now_ms: Callable[[], int],
        log: DecisionLog,
        on_done: Callable[[], None],
    ) -> None:
        """Creates the component of one daemon.

        Args:
          followers: The topics whose records decide how requests are handled.
          max_stall_ms: A view that is older by this much is still used.
          now_ms: Returns the steady clock, which goes on while the host is suspended.
          log: Receives a line on each refresh.
          on_done: Called when requests may be taken again.
        """
        self._followers = followers
        self._max_stall_ms = max_stall_ms
        self._now_ms = now_ms
        self._log = log
        self._on_done = on_done
        # Unknown until the daemon has started.
        self._running_ms: int | None = None
        self._refreshes: set[asyncio.Task[None]] = set()

    def is_current(self) -> bool:
        """Whether requests may be taken now; if not, `on_done` tells when."""
        self.record_running()
        return not self._refreshes

    def record_running(self) -> None:
        """Takes note that the process runs; called several times within `max_stall_ms`."""
        at_ms = self._now_ms()
        stall_ms = at_ms - self._running_ms if self._running_ms is not None else 0
        self._running_ms = at_ms
        if stall_ms > self._max_stall_ms and not self._refreshes:
            start_background_task(self._refresh(stall_ms), self._refreshes).add_done_callback(
                lambda _: self._on_done()
            )

    async def _refresh(self, stall_ms: int) -> None:
        began_ms = self._now_ms()
        detail = ""
        try:
            async with asyncio.timeout(REFRESH_LIMIT_S):
                # Each is read to its end, whether or not another one can be read.
                results = await asyncio.gather(
                    *[one.refresh() for one in self._followers], return_exceptions=True
                )
            detail = "; ".join(repr(error) for error in results if error is not None)
        except TimeoutError as error:
            detail = repr(error)
        self._log.write_always(
            "view refreshed", stall_ms=stall_ms, took_ms=self._now_ms() - began_ms, detail=detail
        )
