"""Limits the calls of accounts; one daemon at a time is the limiter of an account.

The code uses no clock or socket. In any time t, an account gets no more calls than the sum of its
capacity, its rate times t, and the initial calls of each limiter that it had in that time.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from quincespool.limits.bucket import Bucket
from quincespool.newest_entries import put_newest
from quincespool.policy.program_shapes import ProgramKind

if TYPE_CHECKING:
    from collections.abc import Callable

    from quincespool.limits.admission_order import AdmissionOrder
    from quincespool.limits.bucket import Allowance

# Calls that a new limiter allows while no daemon has reported how many calls the previous limiter
# had left. Two such limiters in one window stay within what operators allow beyond the limit.
INITIAL_CALLS = 2.0
# A call of a program in progress is allowed at most this long in advance, and waits for that time.
# If it were refused, it would be retried no sooner, and the program would use up one of its few
# attempts. New programs don't wait: they are refused with the time after which to retry.
MAX_WAIT_MS = 200
# Calls that a previous limiter has allowed still start for this long in the next term: those that
# wait, and those allowed before the previous limiter learned of the new one.
HANDOVER_MS = 500
# Minimum time after which callers are told to retry: a refusal costs both sides a round trip.
MIN_RETRY_MS = 100
MAX_RETRY_MS = 10_000
# Most accounts that one daemon remembers, the most recently requested ones; more than the largest
# planned installation has.
MAX_ACCOUNTS = 5_000
# Part of the capacity below which an account is near its limit.
NEAR_LIMIT_SHARE = 0.5


class PermitRequest(NamedTuple):
    """A request to allow one call.

    Attributes:
      program_id: Empty for a call that belongs to no program.
      kind: The kind of the program, from which the number of its calls is estimated.
      may_begin: Whether the call may be the first of its program.
      reported_calls: The level of the account's bucket that another limiter last reported to the
        requesting daemon, within a window; None without such a report.
    """

    program_id: str
    kind: ProgramKind = ProgramKind()
    may_begin: bool = False
    reported_calls: int | None = None


class LimiterTerm(NamedTuple):
    """A time for which a daemon is an account's limiter without interruption.

    Between two terms of a daemon, other daemons may have allowed calls.

    Attributes:
      number: Unique among the terms of this daemon.
      since_ms: Steady clock at the beginning of the term, or at any later moment of it.
    """

    number: int
    since_ms: int


class Grant(NamedTuple):
    """The call may run after a pause.

    Attributes:
      wait_ms: The pause in milliseconds; 0 for none.
      left_calls: Calls that the account's bucket holds now.
      is_near_limit: Whether the account has used half of its bucket or more.
    """

    wait_ms: int
    left_calls: int
    is_near_limit: bool


class Denial(NamedTuple):
    """The account is at its limit; the call may be retried after `retry_after_ms` milliseconds."""

    retry_after_ms: int


Verdict = Grant | Denial


class _Account(NamedTuple):
    """One account at its limiter.

    Attributes:
      bucket: The calls that the account may make as far as this limiter knows. In the first window
        of a term, at most as many as other daemons have reported.
      own_bucket: The calls that the account might make if it had made none before the term. This
        bucket is in force after the first window, when all calls of earlier terms are outside any
        window.
      term: The current term.
      least_reported_calls: The lowest level that other daemons have reported in this term; None
        before the first report.
      order: The object that decides which programs may begin.
    """

    bucket: Bucket
    own_bucket: Bucket
    term: LimiterTerm
    least_reported_calls: int | None
    order: AdmissionOrder


class AccountLimiter:
    """The accounts of which this daemon is or was the limiter."""

    def __init__(self, make_order: Callable[[], AdmissionOrder], *, window_ms: int) -> None:
        """Creates a limiter without accounts.

        Args:
          make_order: Creates the admission order of one account.
          window_ms: Length of the window over which operators check limits.
        """
        self._make_order = make_order
        self._window_ms = window_ms
        self._accounts: dict[str, _Account] = {}

    def request(
        self,
        name: str,
        request: PermitRequest,
        allowance: Allowance,
        *,
        term: LimiterTerm,
        now_ms: int,
    ) -> Verdict:
        """Decides on one call.

        Args:
          name: Name of the account.
          request: The call.
          allowance: The account's limit, with a rate above 0.
          term: The term in which this daemon is the account's limiter.
          now_ms: Steady clock.
        """
        account = self._refilled_account(name, allowance, term=term, now_ms=now_ms)
        if request.reported_calls is not None and self._is_early(account.term, now_ms):
            account = _with_reported_calls(account, request.reported_calls, allowance)
            self._accounts[name] = account
        bucket, order = account.bucket, account.order
        if request.may_begin and not order.is_in_progress(request.program_id, now_ms):
            order.record_arrival(request.program_id, request.kind, now_ms)
            missing = order.missing_calls(request.kind, bucket, allowance, now_ms)
            missing = max(missing, 1.0 - bucket.level_calls)
            if missing > 0:
                order.record_refusal(request.kind, now_ms)
                return _denial(missing / allowance.rate_per_s * 1000)
            wait_ms = 0
        else:
            wait_ms = bucket.wait_ms(1.0, allowance)
            if wait_ms > MAX_WAIT_MS:
                return _denial(wait_ms)
        if request.program_id:
            order.record_call(request.program_id, request.kind, now_ms)
        account = _with_calls(account, -1.0)
        self._accounts[name] = account
        left_calls = account.bucket.level_calls
        is_near_limit = left_calls < NEAR_LIMIT_SHARE * allowance.capacity_calls
        return Grant(wait_ms, max(0, int(left_calls)), is_near_limit)

    def return_call(self, name: str, allowance: Allowance) -> None:
        """Puts a call that was allowed, but that no backend server has run, back in the bucket."""
        account = self._accounts.get(name)
        if account is not None:
            account = _with_calls(account, 1.0)
            self._accounts[name] = account._replace(
                bucket=account.bucket.capped(allowance.capacity_calls),
                own_bucket=account.own_bucket.capped(allowance.capacity_calls),
            )

    def levels(self) -> dict[str, float]:
        """Returns the level of each account's bucket as of its last call, for dumps."""
        return {name: round(one.bucket.level_calls, 1) for name, one in self._accounts.items()}

    def _refilled_account(
        self, name: str, allowance: Allowance, *, term: LimiterTerm, now_ms: int
    ) -> _Account:
        known = self._accounts.get(name)
        if known is None or known.term.number != term.number:
            known = self._begin_term(known, allowance, term=term, now_ms=now_ms)
        own_bucket = known.own_bucket.refilled(allowance, now_ms)
        bucket = known.bucket.refilled(allowance, now_ms)
        if not self._is_early(known.term, now_ms):
            # The calls that other daemons allowed before the term are no longer in any window.
            bucket = own_bucket
        account = known._replace(bucket=bucket, own_bucket=own_bucket)
        put_newest(self._accounts, name, account, most=MAX_ACCOUNTS)
        return account

    def _is_early(self, term: LimiterTerm, now_ms: int) -> bool:
        """Returns whether the window may include other daemons' calls from before the term."""
        return now_ms - term.since_ms <= self._window_ms + HANDOVER_MS

    def _begin_term(
        self, known: _Account | None, allowance: Allowance, *, term: LimiterTerm, now_ms: int
    ) -> _Account:
        level = min(INITIAL_CALLS, allowance.capacity_calls)
        if known is not None:
            level = min(level, known.bucket.refilled(allowance, now_ms).level_calls)
        return _Account(
            bucket=Bucket(level, now_ms),
            own_bucket=Bucket(allowance.capacity_calls, now_ms),
            term=term,
            least_reported_calls=None,
            order=known.order if known is not None else self._make_order(),
        )


def _with_reported_calls(account: _Account, reported_calls: int, allowance: Allowance) -> _Account:
    """Applies a level that the previous limiter reported to a daemon; returns the account.

    The lowest reported level counts: higher ones were reported earlier and are out of date. Many
    daemons send requests for an account at its limit, and all of them have received a recent level.
    """
    before = INITIAL_CALLS if account.least_reported_calls is None else account.least_reported_calls
    if account.least_reported_calls is not None and reported_calls >= account.least_reported_calls:
        return account
    bucket = account.bucket.with_calls(reported_calls - before).capped(allowance.capacity_calls)
    return account._replace(bucket=bucket, least_reported_calls=reported_calls)


def _with_calls(account: _Account, calls: float) -> _Account:
    return account._replace(
        bucket=account.bucket.with_calls(calls), own_bucket=account.own_bucket.with_calls(calls)
    )


def _denial(after_ms: float) -> Denial:
    return Denial(min(MAX_RETRY_MS, max(MIN_RETRY_MS, round(after_ms))))
