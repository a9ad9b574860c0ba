"""Recent verdicts of accounts' limiters, and the calls that a daemon allows without one.

A limiter may freeze, slow down or be cut off; until the other daemons have detected that and there
is a new limiter, about a second passes. Refusing all calls in that time would harm accounts that
are far below their limit; allowing all of them would let an account at its limit exceed it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from quincespool.limits.account_limiter import Denial
from quincespool.limits.bucket import Allowance
from quincespool.limits.bucket import Bucket
from quincespool.newest_entries import put_newest

if TYPE_CHECKING:
    from quincespool.limits.account_limiter import Verdict

# Time for which an account counts as near its limit after a limiter's last verdict said so. Such an
# account stays near its limit for some seconds, and verdicts for it are frequent.
NEAR_LIMIT_MEMORY_MS = 5_000
# Calls of an account that one daemon allows at once without an answer. The calls of an account are
# spread over all daemons, so that most daemons need no more within a second.
CAPACITY_CALLS = 1.0
# Most accounts that one daemon remembers, the most recently updated ones; more than the largest
# planned installation has.
MAX_ACCOUNTS = 5_000


class _AccountState(NamedTuple):
    """The state of one account at this daemon.

    Attributes:
      bucket: Calls that this daemon may still allow without an answer.
      near_limit_at_ms: Steady clock of the last verdict, if that states that the account is near
        its limit; otherwise None.
      left_calls: Calls that the account had left according to the last verdict.
      limiter_id: The daemon that gave the last verdict.
      verdict_at_ms: Steady clock of the last verdict; None if there was none.
    """

    bucket: Bucket
    near_limit_at_ms: int | None = None
    left_calls: int = 0
    limiter_id: str = ""
    verdict_at_ms: int | None = None


class RecentPermits:
    """Recent verdicts that one daemon has received, and its share of each account's rate."""

    def __init__(self, *, window_ms: int) -> None:
        self._window_ms = window_ms
        self._accounts: dict[str, _AccountState] = {}

    def record_verdict(self, name: str, verdict: Verdict, limiter_id: str, now_ms: int) -> None:
        """Records the latest verdict of an account's limiter."""
        known = self._known(name, now_ms)
        if isinstance(verdict, Denial):
            known = known._replace(near_limit_at_ms=now_ms, left_calls=0)
        else:
            near_limit_at_ms = now_ms if verdict.is_near_limit else None
            known = known._replace(near_limit_at_ms=near_limit_at_ms, left_calls=verdict.left_calls)
        self._put(name, known._replace(limiter_id=limiter_id, verdict_at_ms=now_ms))

    def reported_calls(self, name: str, limiter_id: str, now_ms: int) -> int | None:
        """Returns the calls left to an account at the last verdict, to report to a limiter.

        Args:
          name: Name of the account.
          limiter_id: The limiter to report to.
          now_ms: Steady clock.

        Returns:
          None if there was no verdict within a window, or the same limiter gave it.
        """
        known = self._accounts.get(name)
        if known is None or known.verdict_at_ms is None or known.limiter_id == limiter_id:
            return None
        if now_ms - known.verdict_at_ms > self._window_ms:
            return None
        return known.left_calls

    def admit_without_answer(
        self, name: str, rate_per_s: float, *, daemons: int, now_ms: int
    ) -> bool:
        """Returns whether a call may run without an answer of its limiter; if so, counts it."""
        known = self._known(name, now_ms)
        if (
            known.near_limit_at_ms is not None
            and now_ms - known.near_limit_at_ms < NEAR_LIMIT_MEMORY_MS
        ):
            return False
        share = Allowance(rate_per_s / max(1, daemons), CAPACITY_CALLS)
        bucket = known.bucket.refilled(share, now_ms)
        is_allowed = bucket.level_calls >= 1.0
        self._put(name, known._replace(bucket=bucket.with_calls(-1.0) if is_allowed else bucket))
        return is_allowed

    def _known(self, name: str, now_ms: int) -> _AccountState:
        return self._accounts.get(name) or _AccountState(Bucket(CAPACITY_CALLS, now_ms))

    def _put(self, name: str, known: _AccountState) -> None:
        put_newest(self._accounts, name, known, most=MAX_ACCOUNTS)
