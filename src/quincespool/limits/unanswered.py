"""What a daemon lets through for an account whose home does not answer.

Answers homes that freeze, slow down or are cut off, until the others have noticed and there is a
new one, about a second. All calls refused meanwhile would cost accounts that are far below their
limit; all let through, an account that is at its limit would pass it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from quincespool.limits.bucket import Allowance
from quincespool.limits.bucket import Bucket
from quincespool.limits.home import Denial

if TYPE_CHECKING:
    from quincespool.limits.home import Verdict

# For so long the last answer of a home tells whether the account is pressed. A pressed one stays so
# for some seconds, and is asked for often.
PRESSED_MEMORY_MS = 5_000
# What one daemon lets through at once. Calls of an account come to all daemons alike, so that most
# of them need no more within a second.
CAPACITY_CALLS = 1.0
MAX_ACCOUNTS = 5_000


class _Known(NamedTuple):
    bucket: Bucket
    pressed_ms: int | None


class UnansweredCalls:
    """One daemon's part of each account's rate, for the time without a home."""

    def __init__(self) -> None:
        self._accounts: dict[str, _Known] = {}

    def note(self, name: str, verdict: Verdict, now_ms: int) -> None:
        """Takes in what the home has answered last."""
        known = self._accounts.get(name) or _Known(Bucket(CAPACITY_CALLS, now_ms), None)
        is_pressed = isinstance(verdict, Denial) or verdict.is_pressed
        self._keep(name, known._replace(pressed_ms=now_ms if is_pressed else None))

    def lets_through(self, name: str, rate_per_s: float, *, daemons: int, now_ms: int) -> bool:
        """Whether a call may run although its home has not answered."""
        known = self._accounts.get(name) or _Known(Bucket(CAPACITY_CALLS, now_ms), None)
        if known.pressed_ms is not None and now_ms - known.pressed_ms < PRESSED_MEMORY_MS:
            return False
        part = Allowance(rate_per_s / max(1, daemons), CAPACITY_CALLS)
        bucket = known.bucket.refilled(part, now_ms)
        goes = bucket.level_calls >= 1.0
        self._keep(name, known._replace(bucket=bucket.with_calls(-1.0) if goes else bucket))
        return goes

    def _keep(self, name: str, known: _Known) -> None:
        self._accounts.pop(name, None)
        while len(self._accounts) >= MAX_ACCOUNTS:
            del self._accounts[next(iter(self._accounts))]
        self._accounts[name] = known
