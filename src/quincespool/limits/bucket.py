"""A token bucket: how many calls an account may run now, and when it may run more."""

from __future__ import annotations

from typing import NamedTuple


class Allowance(NamedTuple):
    """The limit of one account over all daemons.

    Attributes:
      rate_per_s: Calls a second.
      capacity_calls: Calls that may start at the same moment when the bucket is full.
    """

    rate_per_s: float
    capacity_calls: float


class Bucket(NamedTuple):
    """The state of one account's bucket.

    In any time t the bucket allows no more calls than its capacity plus `rate_per_s * t`. That
    holds also if the bucket is emptied or its level is lowered at any moment. A new limiter lowers
    the level because it doesn't know how many calls the previous one has allowed.

    Attributes:
      level_calls: Calls in the bucket; negative while calls that were allowed in advance wait.
      at_ms: Steady clock at which the level was computed.
    """

    level_calls: float
    at_ms: int

    def refilled(self, allowance: Allowance, now_ms: int) -> Bucket:
        """Returns the bucket refilled until now. A clock that goes back adds nothing."""
        gained = max(0, now_ms - self.at_ms) / 1000 * allowance.rate_per_s
        level = min(allowance.capacity_calls, self.level_calls + gained)
        return Bucket(level, max(now_ms, self.at_ms))

    def capped(self, most_calls: float) -> Bucket:
        """Returns the bucket with its level reduced to `most_calls` if it is higher."""
        return self._replace(level_calls=min(self.level_calls, most_calls))

    def with_calls(self, calls: float) -> Bucket:
        """Returns the bucket with the given number of calls added, or removed if negative."""
        return self._replace(level_calls=self.level_calls + calls)

    def wait_ms(self, calls: float, allowance: Allowance) -> int:
        """Returns the milliseconds until the bucket holds the given number of calls."""
        missing = calls - self.level_calls
        return max(0, round(missing / allowance.rate_per_s * 1000))
