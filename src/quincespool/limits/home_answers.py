"""What a daemon knows of accounts from their homes, and lets through where none answers.

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
from quincespool.newest_entries import put_newest

if TYPE_CHECKING:
    from quincespool.limits.home import Verdict

# For so long the last answer of a home tells whether the account is pressed. A pressed one stays so
# for some seconds, and is asked for often.
PRESSED_MEMORY_MS = 5_000
# What one daemon lets through at once. Calls of an account come to all daemons alike, so that most
# of them need no more within a second.
CAPACITY_CALLS = 1.0
# Accounts that one daemon remembers, those told of last; more than the largest plan has.
MAX_ACCOUNTS = 5_000


class _Known(NamedTuple):
    """What is known of one account.

    Attributes:
      bucket: What this daemon may still let through without an answer.
      pressed_ms: When a home said last that the account is pressed; None if it has said otherwise.
      left_calls: What the account had left when a home told last.
      home_id: Which one told.
      told_ms: When; None if none has.
    """

    bucket: Bucket
    pressed_ms: int | None = None
    left_calls: int = 0
    home_id: str = ""
    told_ms: int | None = None


class HomeAnswers:
    """What homes have told one daemon, and its part of each account's rate while none answers."""

    def __init__(self, *, window_ms: int) -> None:
        self._window_ms = window_ms
        self._accounts: dict[str, _Known] = {}

    def note(self, name: str, verdict: Verdict, home_id: str, now_ms: int) -> None:
        """Takes in what the home has answered last."""
        known = self._known(name, now_ms)
        if isinstance(verdict, Denial):
            known = known._replace(pressed_ms=now_ms, left_calls=0)
        else:
            pressed_ms = now_ms if verdict.is_pressed else None
            known = known._replace(pressed_ms=pressed_ms, left_calls=verdict.left_calls)
        self._keep(name, known._replace(home_id=home_id, told_ms=now_ms))

    def told_calls(self, name: str, home_id: str, now_ms: int) -> int | None:
        """Returns what an account had left when its home last told, for another home to know.

        None if none has told within a window, or it was the one that is asked now.
        """
        known = self._accounts.get(name)
        if known is None or known.told_ms is None or known.home_id == home_id:
            return None
        if now_ms - known.told_ms > self._window_ms:
            return None
        return known.left_calls

    def lets_through(self, name: str, rate_per_s: float, *, daemons: int, now_ms: int) -> bool:
        """Whether a call may run although its home has not answered."""
        known = self._known(name, now_ms)
        if known.pressed_ms is not None and now_ms - known.pressed_ms < PRESSED_MEMORY_MS:
            return False
        part = Allowance(rate_per_s / max(1, daemons), CAPACITY_CALLS)
        bucket = known.bucket.refilled(part, now_ms)
        goes = bucket.level_calls >= 1.0
        self._keep(name, known._replace(bucket=bucket.with_calls(-1.0) if goes else bucket))
        return goes

    def _known(self, name: str, now_ms: int) -> _Known:
        return self._accounts.get(name) or _Known(Bucket(CAPACITY_CALLS, now_ms))

    def _keep(self, name: str, known: _Known) -> None:
        put_newest(self._accounts, name, known, most=MAX_ACCOUNTS)
