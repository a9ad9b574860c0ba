"""A token bucket: what an account may still have run, and when it may have more."""

from __future__ import annotations

from typing import NamedTuple


class Allowance(NamedTuple):
    """What one account may have run, at all daemons together.

    Attributes:
      rate_per_s: Calls a second.
      capacity_calls: Calls that may run at once after a pause.
    """

    rate_per_s: float
    capacity_calls: float


class Bucket(NamedTuple):
    """The state of one account's bucket.

    In any time t it gives out no more than its capacity and `rate_per_s * t`: also if it is emptied
    or its level lowered at any moment, as at a new home that does not know what the last one gave.

    Attributes:
      level_calls: Below zero while calls wait that were let through ahead of time.
      at_ms: Steady clock of that level.
    """

    level_calls: float
    at_ms: int

    def refilled(self, allowance: Allowance, now_ms: int) -> Bucket:
        """Returns the bucket as of now. A clock that goes back adds nothing."""
        gained = max(0, now_ms - self.at_ms) / 1000 * allowance.rate_per_s
        level = min(allowance.capacity_calls, self.level_calls + gained)
        return Bucket(level, max(now_ms, self.at_ms))

    def lowered(self, most_calls: float) -> Bucket:
        """Returns the bucket with no more than so many calls in it."""
        return self._replace(level_calls=min(self.level_calls, most_calls))

    def with_calls(self, calls: float) -> Bucket:
        """Returns the bucket with so many calls more, or fewer if negative."""
        return self._replace(level_calls=self.level_calls + calls)

    def wait_ms(self, calls: float, allowance: Allowance) -> int:
        """Returns after how long so many calls are in it."""
        missing = calls - self.level_calls
        return max(0, round(missing / allowance.rate_per_s * 1000))
