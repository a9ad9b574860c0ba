"""The home of one account: shares its limits out to the daemons that run calls for it."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING
from typing import NamedTuple

from quincespool.core.messages import AccountGranted

if TYPE_CHECKING:
    from quincespool.core.accounts.extents import Extent
    from quincespool.core.messages import AccountAsked

# How long a holder may start calls under a grant without renewing it.
REUSE_MS = 10_000
# Tokens of a grant are used within this time or not at all.
SLICE_MS = 5_000
# A call counts when it starts, which may be a slice's life after the grant.
WINDOW_MS = 60_000 + SLICE_MS
# What lies between a decision and its effect: a stop too short to be noticed, and transit.
MARGIN_MS = 5_000
# A former home may go on granting for as long as its ledger still passes as fresh.
FRESH_MS = 10_000
MAX_HOLD_MS = 1_800_000
FULL_RETRY_MS = 500
MIN_PERMITS = 4

HolderKey = tuple[str, int]


class Limits(NamedTuple):
    """The account's entry in force."""

    permits: int
    tokens: int


class Booking(NamedTuple):
    """The most that one holder's process may be using.

    Attributes:
      sequence: Of its newest message.
      permits: Booked for it.
      carried: Of these, granted by a former home and so in the former extents too.
      confirmed: The holder has accepted an answer of this home and heeds no former one any more.
        Until then it may give permits back to a former home, which may grant them again; so
        `carried` falls with what the holder says it keeps.
      expires_at_ms: No call under it runs after this.
    """

    sequence: int
    permits: int
    carried: int
    confirmed: bool
    expires_at_ms: int


class Former(NamedTuple):
    """What homes of earlier epochs may have out, and until when."""

    permits: int = 0
    tokens: int = 0
    permits_until_ms: int = 0
    tokens_until_ms: int = 0
    term_ms: int = 0


class Home:
    """State of one account at its home, for one epoch of the claim."""

    def __init__(self, account: str, epoch: int) -> None:
        self.account = account
        self.epoch = epoch
        self.former = Former()
        self.extent: Extent | None = None
        self.extent_at_ms = 0
        self.bookings: dict[HolderKey, Booking] = {}
        self.waiting: dict[HolderKey, AccountAsked] = {}
        self.token_grants: deque[tuple[int, int]] = deque()
        self.permits_short = 0
        self.tokens_short = 0
        self.hold_ms = 0

    def open(self, extent: Extent, former: list[Extent], *, since_ms: int) -> None:
        """The first extent of this epoch has been read back: earlier homes can raise no more.

        Args:
          extent: Just read back.
          former: What earlier homes may have out.
          since_ms: When this home's claim had been read back, or any later time. Earlier homes
            lend nothing under a claim that has been superseded for `FRESH_MS`.
        """
        self.extent = extent
        term_ms = max((earlier.term_ms for earlier in former), default=0)
        self.former = Former(
            permits=sum(earlier.permits for earlier in former),
            tokens=sum(earlier.tokens for earlier in former),
            permits_until_ms=since_ms + FRESH_MS + MARGIN_MS + term_ms,
            tokens_until_ms=since_ms + FRESH_MS + MARGIN_MS + WINDOW_MS,
            term_ms=term_ms,
        )

    def settled(self, now_ms: int) -> bool:
        """Whether nothing granted by earlier homes is out any more."""
        former = self.former
        if not former.permits and not former.tokens:
            return self.extent is not None
        return now_ms > max(former.permits_until_ms, former.tokens_until_ms)

    def note(self, key: HolderKey, ask: AccountAsked, *, now_ms: int) -> bool:
        """Takes in what a holder says about itself; false if the message is out of date."""
        old = self.bookings.get(key)
        if (old and ask.sequence <= old.sequence) or ask.epoch > self.epoch:
            return False
        confirmed = ask.epoch == self.epoch or (old is not None and old.confirmed)
        if old is None:
            carried = 0 if confirmed else ask.held
        else:
            # The least it held before it confirmed: what a former home cannot have been told less.
            carried = old.carried if old.confirmed or confirmed else min(old.carried, ask.held)
        self.hold_ms = max(self.hold_ms, min(ask.hold_ms, MAX_HOLD_MS))
        self.bookings[key] = Booking(
            sequence=ask.sequence,
            permits=ask.held,
            carried=carried,
            confirmed=confirmed,
            expires_at_ms=max(self._expiry(now_ms), old.expires_at_ms if old else 0),
        )
        return True

    def answer(
        self, key: HolderKey, ask: AccountAsked, limits: Limits, *, now_ms: int
    ) -> AccountGranted | None:
        """Answers a noted message; None if it has to wait for a larger extent."""
        self.expire(now_ms)
        booking = self.bookings.get(key)
        if booking is None or booking.sequence != ask.sequence:
            self.waiting.pop(key, None)
            return None
        permits = max(0, min(ask.wanted, self._permits_free(key, limits, now_ms)))
        tokens = min(ask.tokens_wanted, self._tokens_free(limits, now_ms))
        # Tokens without a permit would go to waste and still count for a minute.
        tokens = tokens if tokens >= ask.tokens_needed and permits else 0
        if not self._covered(key, permits, tokens):
            self.waiting[key] = ask
            return None

        self.waiting.pop(key, None)
        self.bookings[key] = booking._replace(
            permits=max(ask.held, permits),
            expires_at_ms=max(booking.expires_at_ms, self._expiry(now_ms)),
        )
        if tokens:
            self.token_grants.append((now_ms, tokens))
        return AccountGranted(
            account=self.account,
            incarnation=ask.incarnation,
            sequence=ask.sequence,
            epoch=self.epoch,
            permits=permits,
            tokens=tokens,
            term_ms=self.extent.term_ms if self.extent else 0,
            retry_after_ms=self._retry_after_ms(ask, permits, tokens, now_ms),
        )

    def expire(self, now_ms: int) -> None:
        """Drops what has ended by itself."""
        while self.token_grants and self.token_grants[0][0] + WINDOW_MS < now_ms:
            self.token_grants.popleft()
        ended = [key for key, booking in self.bookings.items() if booking.expires_at_ms < now_ms]
        for key in ended:
            booking = self.bookings.pop(key)
            self.waiting.pop(key, None)
            # It stays out of the former extents, whose own end may be later than this one.
            carried = booking.carried if booking.confirmed else 0
            self.former = self.former._replace(permits=max(0, self.former.permits - carried))

    def distrust_clock(self, now_ms: int) -> None:
        """The clock has jumped: lets everything last as long as if granted now."""
        until_ms = now_ms + FRESH_MS + MARGIN_MS
        self.former = self.former._replace(
            permits_until_ms=max(self.former.permits_until_ms, until_ms + self.former.term_ms),
            tokens_until_ms=max(self.former.tokens_until_ms, until_ms + WINDOW_MS),
        )
        self.token_grants = deque((now_ms, tokens) for _, tokens in self.token_grants)
        for key, booking in self.bookings.items():
            expires_at_ms = max(booking.expires_at_ms, self._expiry(now_ms))
            self.bookings[key] = booking._replace(expires_at_ms=expires_at_ms)

    def idle(self) -> bool:
        """Whether nothing granted in this epoch is out."""
        return not self.token_grants and not any(b.permits for b in self.bookings.values())

    def booked(self) -> int:
        """Returns the permits booked in this epoch, carried ones included."""
        return sum(booking.permits for booking in self.bookings.values())

    def tokens_granted(self) -> int:
        """Returns the tokens granted in the present window."""
        return sum(tokens for _, tokens in self.token_grants)

    def _expiry(self, now_ms: int) -> int:
        term_ms = self.extent.term_ms if self.extent else 0
        return now_ms + max(term_ms, self.hold_ms + REUSE_MS) + MARGIN_MS

    def _permits_free(self, key: HolderKey, limits: Limits, now_ms: int) -> int:
        """Returns what this holder may have in all without the total passing the limit."""
        others = sum(other.permits for at, other in self.bookings.items() if at != key)
        return limits.permits - self._former_permits(now_ms) - others

    def _former_permits(self, now_ms: int) -> int:
        """Returns what former homes may have out beyond what is booked here."""
        if now_ms > self.former.permits_until_ms:
            return 0
        carried = sum(booking.carried for booking in self.bookings.values())
        return max(0, self.former.permits - carried)

    def _tokens_free(self, limits: Limits, now_ms: int) -> int:
        former = self.former.tokens if now_ms <= self.former.tokens_until_ms else 0
        return max(0, limits.tokens - former - self.tokens_granted())

    def _covered(self, key: HolderKey, permits: int, tokens: int) -> bool:
        """Whether the extent read back allows this grant; notes what it lacks."""
        others = sum(other.permits for at, other in self.bookings.items() if at != key)
        self.permits_short = others + max(permits, self.bookings[key].permits)
        self.tokens_short = self.tokens_granted() + tokens
        extent = self.extent
        if extent is None or extent.term_ms < self.hold_ms + REUSE_MS:
            return False
        return self.permits_short <= extent.permits and self.tokens_short <= extent.tokens

    def _retry_after_ms(self, ask: AccountAsked, permits: int, tokens: int, now_ms: int) -> int:
        if tokens < ask.tokens_needed and permits:
            oldest_ms = self.token_grants[0][0] if self.token_grants else now_ms
            return max(FULL_RETRY_MS, oldest_ms + WINDOW_MS - now_ms)
        return FULL_RETRY_MS if permits < ask.wanted else 0
