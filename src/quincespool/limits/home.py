"""The home of accounts: the one daemon at a time that lets an account's calls through.

A reducer without clock or socket. In any time t an account gets no more than its capacity, its rate
times t, and `FIRST_CALLS` for each home that it had in that time.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from quincespool.limits.bucket import Bucket

if TYPE_CHECKING:
    from collections.abc import Callable

    from quincespool.limits.bucket import Allowance
    from quincespool.limits.order import Order

# What a new home gives out before it has seen the limit refill: it does not know what the last one
# gave. A program's first turn and its tools; a window with four new homes stays within twenty.
FIRST_CALLS = 5.0
# A call of a program under way is let through so much ahead of time, and waits; refused, it would
# come back no sooner, and the program would have used up one of its few tries. New programs don't
# wait: they are told when to come back.
MOST_WAIT_MS = 200
# Callers come back no sooner: a refusal costs both sides a round trip.
LEAST_RETRY_MS = 100
MOST_RETRY_MS = 10_000
# Accounts that one daemon remembers, those asked for last; more than the largest plan has.
MAX_ACCOUNTS = 5_000
# Part of the capacity below which an account counts as pressed.
PRESSED_SHARE = 0.5


class Ask(NamedTuple):
    """A call that wants to run.

    Attributes:
      program_id: Empty for a call that belongs to no program.
      may_begin: Whether the call may be the first of its program.
    """

    program_id: str
    may_begin: bool


class Grant(NamedTuple):
    """The call may run after a pause.

    Attributes:
      is_pressed: Whether the account has used most of what it may.
    """

    wait_ms: int
    is_pressed: bool


class Denial(NamedTuple):
    """The limit is full; a place is free after so long."""

    retry_after_ms: int


Verdict = Grant | Denial


class _Account(NamedTuple):
    bucket: Bucket
    term: int
    order: Order


class LimitsHome:
    """The accounts that this daemon is or was the home of."""

    def __init__(self, make_order: Callable[[], Order]) -> None:
        self._make_order = make_order
        self._accounts: dict[str, _Account] = {}

    def ask(self, name: str, ask: Ask, allowance: Allowance, *, term: int, now_ms: int) -> Verdict:
        """Decides on one call.

        Args:
          name: The account.
          ask: The call.
          allowance: The account's, with a rate above 0.
          term: Tells the time for which this daemon is the account's home without a break. In
            another one, others may have let calls through meanwhile.
          now_ms: Steady clock.
        """
        account = self._open(name, allowance, term=term, now_ms=now_ms)
        bucket, order = account.bucket, account.order
        if ask.may_begin and not order.is_under_way(ask.program_id, now_ms):
            missing = order.missing_calls(bucket, allowance, now_ms)
            missing = max(missing, 1.0 - bucket.level_calls)
            if missing > 0:
                return _denial(missing / allowance.rate_per_s * 1000)
            wait_ms = 0
        else:
            wait_ms = bucket.wait_ms(1.0, allowance)
            if wait_ms > MOST_WAIT_MS:
                return _denial(wait_ms)
        if ask.program_id:
            order.note(ask.program_id, now_ms)
        bucket = bucket.with_calls(-1.0)
        self._accounts[name] = account._replace(bucket=bucket)
        return Grant(wait_ms, bucket.level_calls < PRESSED_SHARE * allowance.capacity_calls)

    def give_back(self, name: str, allowance: Allowance) -> None:
        """Takes a call back that was let through and has reached no backend server."""
        account = self._accounts.get(name)
        if account is not None:
            bucket = account.bucket.with_calls(1.0).lowered(allowance.capacity_calls)
            self._accounts[name] = account._replace(bucket=bucket)

    def levels(self) -> dict[str, float]:
        """Returns the level of each account's bucket as of its last call, for people to read."""
        return {name: round(one.bucket.level_calls, 1) for name, one in self._accounts.items()}

    def _open(self, name: str, allowance: Allowance, *, term: int, now_ms: int) -> _Account:
        known = self._accounts.pop(name, None)
        if known is None:
            while len(self._accounts) >= MAX_ACCOUNTS:
                del self._accounts[next(iter(self._accounts))]
            first_calls = min(FIRST_CALLS, allowance.capacity_calls)
            known = _Account(Bucket(first_calls, now_ms), term, self._make_order())
        bucket = known.bucket.refilled(allowance, now_ms)
        if known.term != term:
            bucket = bucket.lowered(FIRST_CALLS)
        account = known._replace(bucket=bucket, term=term)
        self._accounts[name] = account
        return account


def _denial(after_ms: float) -> Denial:
    return Denial(min(MOST_RETRY_MS, max(LEAST_RETRY_MS, round(after_ms))))
