"""The accounts part's state, as its two sides share it: holder of permits and home of accounts."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from quincespool.core.accounts.extents import extents_stream
from quincespool.core.accounts.extents import home_resource
from quincespool.core.accounts.home import Limits
from quincespool.core.timers import TimerKey

if TYPE_CHECKING:
    from quincespool.core.accounts.extents import ExtentFold
    from quincespool.core.accounts.holder import Holding
    from quincespool.core.accounts.home import Home
    from quincespool.core.accounts.records import ExtentRecord
    from quincespool.core.context import Context
    from quincespool.settings import Settings

PART = "accounts"
TICK_MS = 250


class PendingExtent(NamedTuple):
    """An extent that has been appended, first and last at these times, and not been read back."""

    record: ExtentRecord
    appended_at_ms: int
    tried_at_ms: int


class Claimed(NamedTuple):
    """The epoch of a claim and when it was first seen to be held."""

    epoch: int
    at_ms: int


class AccountsState:
    """Slice of the daemon's state."""

    def __init__(self, settings: Settings, incarnation: int) -> None:
        self.settings = settings
        self.incarnation = incarnation
        self.sequence = 0
        self.next_append = 0
        self.holdings: dict[str, Holding] = {}
        self.homes: dict[str, Home] = {}
        self.extents: dict[str, ExtentFold] = {}
        self.pending_extents: dict[str, PendingExtent] = {}
        self.claimed: dict[str, Claimed] = {}
        # Kept for good, one number an account: whoever forgot it could heed a former home again.
        self.epochs: dict[str, int] = {}
        self._tick_at_ms = 0

    def subscribe_tick(self, context: Context) -> None:
        """Makes sure that a tick is due; one that is set already is not put off."""
        if self._tick_at_ms > context.now_ms:
            return
        self._tick_at_ms = context.now_ms + TICK_MS
        context.timers.subscribe(TimerKey(PART, "tick"), at_ms=self._tick_at_ms)

    def reset_tick(self, context: Context) -> None:
        """The clock may have gone back: sets the tick anew."""
        self._tick_at_ms = 0
        self.subscribe_tick(context)

    def dump(self) -> dict[str, object]:
        """Returns the state for operators."""
        return {
            "holdings": {
                name: {
                    "permits": h.permits,
                    "busy": len(h.busy),
                    "left": len(h.left),
                    "pending": len(h.pending),
                }
                for name, h in self.holdings.items()
            },
            "homes": {
                name: {
                    "epoch": home.epoch,
                    "booked": home.booked(),
                    "tokens_granted": home.tokens_granted(),
                    "former_permits": home.former.permits,
                    "extent": home.extent._asdict() if home.extent else None,
                }
                for name, home in self.homes.items()
            },
        }


def find_limits(context: Context, account: str) -> Limits | None:
    """Returns the limits in force, None if the catalogue has no such account."""
    entry = context.catalogue.account_entry(account)
    return Limits(entry["concurrent_calls"], entry["tokens_per_minute"]) if entry else None


def extents_stream_of(state: AccountsState, account: str) -> str:
    """Returns the stream for the extents of an account."""
    resource = home_resource(account, state.settings.partition_count)
    return extents_stream(resource, state.settings.stream_count)
