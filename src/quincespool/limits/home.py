"""The home of accounts: the one daemon at a time that lets an account's calls through.

A reducer without clock or socket. In any time t an account gets no more than its capacity, its rate
times t, and what each home that it had in that time began with.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from quincespool.limits.bucket import Bucket
from quincespool.newest_entries import put_newest
from quincespool.policy.program_shapes import ProgramKind

if TYPE_CHECKING:
    from collections.abc import Callable

    from quincespool.limits.bucket import Allowance
    from quincespool.limits.order import Order

# What a new home gives out while nobody has told it what the last one had left. Two such homes in
# one window stay within what operators allow beyond the limit.
FIRST_CALLS = 2.0
# A call of a program under way is let through so much ahead of time, and waits; refused, it would
# come back no sooner, and the program would have used up one of its few tries. New programs don't
# wait: they are told when to come back.
MOST_WAIT_MS = 200
# Calls that a former home has let through run for so long into the next term: those that wait, and
# those that it let through before it heard of the new one.
HANDOVER_MS = 500
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
      kind: What the program is expected to be like; read when it begins.
      may_begin: Whether the call may be the first of its program.
      told_calls: What the account's bucket held when another home last told the daemon that asks,
        within a window; None if none has.
    """

    program_id: str
    kind: ProgramKind = ProgramKind()
    may_begin: bool = False
    told_calls: int | None = None


class Term(NamedTuple):
    """The time for which a daemon is an account's home without a break.

    In another term others may have let calls through meanwhile.

    Attributes:
      number: Differs from that of any other term of this daemon.
      since_ms: Steady clock of its beginning, or of any later moment.
    """

    number: int
    since_ms: int


class Grant(NamedTuple):
    """The call may run after a pause.

    Attributes:
      left_calls: What the account's bucket holds now.
      is_pressed: Whether the account has used most of what it may.
    """

    wait_ms: int
    left_calls: int
    is_pressed: bool


class Denial(NamedTuple):
    """The limit is full; a place is free after so long."""

    retry_after_ms: int


Verdict = Grant | Denial


class _Account(NamedTuple):
    """One account at its home.

    Attributes:
      bucket: What it may have as far as this home knows. In the first window of a term that is what
        others told at most.
      whole: What it might have if it had used nothing before the term; after a window, which what
        was used before has left, that is so.
      told_calls: The least that others told in this term; None if nobody has yet.
    """

    bucket: Bucket
    whole: Bucket
    term: Term
    told_calls: int | None
    order: Order


class LimitsHome:
    """The accounts that this daemon is or was the home of."""

    def __init__(self, make_order: Callable[[], Order], *, window_ms: int) -> None:
        """Makes a home.

        Args:
          make_order: Makes the order in which an account's calls go.
          window_ms: Over which operators look at limits.
        """
        self._make_order = make_order
        self._window_ms = window_ms
        self._accounts: dict[str, _Account] = {}

    def ask(self, name: str, ask: Ask, allowance: Allowance, *, term: Term, now_ms: int) -> Verdict:
        """Decides on one call.

        Args:
          name: The account.
          ask: The call.
          allowance: The account's, with a rate above 0.
          term: In which this daemon is the account's home.
          now_ms: Steady clock.
        """
        account = self._open(name, allowance, term=term, now_ms=now_ms)
        if ask.told_calls is not None and self._is_early(account.term, now_ms):
            account = _told(account, ask.told_calls, allowance)
            self._accounts[name] = account
        bucket, order = account.bucket, account.order
        if ask.may_begin and not order.is_under_way(ask.program_id, now_ms):
            order.note_arrival(ask.program_id, ask.kind, now_ms)
            missing = order.missing_calls(ask.kind, bucket, allowance, now_ms)
            missing = max(missing, 1.0 - bucket.level_calls)
            if missing > 0:
                order.note_refused(ask.kind, now_ms)
                return _denial(missing / allowance.rate_per_s * 1000)
            wait_ms = 0
        else:
            wait_ms = bucket.wait_ms(1.0, allowance)
            if wait_ms > MOST_WAIT_MS:
                return _denial(wait_ms)
        if ask.program_id:
            order.note(ask.program_id, ask.kind, now_ms)
        account = _with_calls(account, -1.0)
        self._accounts[name] = account
        left_calls = account.bucket.level_calls
        is_pressed = left_calls < PRESSED_SHARE * allowance.capacity_calls
        return Grant(wait_ms, max(0, int(left_calls)), is_pressed)

    def give_back(self, name: str, allowance: Allowance) -> None:
        """Takes a call back that was let through and has reached no backend server."""
        account = self._accounts.get(name)
        if account is not None:
            account = _with_calls(account, 1.0)
            self._accounts[name] = account._replace(
                bucket=account.bucket.lowered(allowance.capacity_calls),
                whole=account.whole.lowered(allowance.capacity_calls),
            )

    def levels(self) -> dict[str, float]:
        """Returns the level of each account's bucket as of its last call, for people to read."""
        return {name: round(one.bucket.level_calls, 1) for name, one in self._accounts.items()}

    def _open(self, name: str, allowance: Allowance, *, term: Term, now_ms: int) -> _Account:
        known = self._accounts.get(name)
        if known is None or known.term.number != term.number:
            known = self._begin_term(known, allowance, term=term, now_ms=now_ms)
        whole = known.whole.refilled(allowance, now_ms)
        bucket = known.bucket.refilled(allowance, now_ms)
        if not self._is_early(known.term, now_ms):
            # What others have let through before the term is no longer in any window.
            bucket = whole
        account = known._replace(bucket=bucket, whole=whole)
        put_newest(self._accounts, name, account, most=MAX_ACCOUNTS)
        return account

    def _is_early(self, term: Term, now_ms: int) -> bool:
        """Whether a window reaches back to calls that others have let through."""
        return now_ms - term.since_ms <= self._window_ms + HANDOVER_MS

    def _begin_term(
        self, known: _Account | None, allowance: Allowance, *, term: Term, now_ms: int
    ) -> _Account:
        level = min(FIRST_CALLS, allowance.capacity_calls)
        if known is not None:
            level = min(level, known.bucket.refilled(allowance, now_ms).level_calls)
        return _Account(
            bucket=Bucket(level, now_ms),
            whole=Bucket(allowance.capacity_calls, now_ms),
            term=term,
            told_calls=None,
            order=known.order if known is not None else self._make_order(),
        )


def _told(account: _Account, told_calls: int, allowance: Allowance) -> _Account:
    """Returns the account with what another daemon was told by the last home.

    The least that anybody was told holds: what was told earlier was more, and is no longer so. An
    account that is at its limit is asked for by many daemons, all of which were told so lately.
    """
    before = FIRST_CALLS if account.told_calls is None else account.told_calls
    if account.told_calls is not None and told_calls >= account.told_calls:
        return account
    bucket = account.bucket.with_calls(told_calls - before).lowered(allowance.capacity_calls)
    return account._replace(bucket=bucket, told_calls=told_calls)


def _with_calls(account: _Account, calls: float) -> _Account:
    return account._replace(
        bucket=account.bucket.with_calls(calls), whole=account.whole.with_calls(calls)
    )


def _denial(after_ms: float) -> Denial:
    return Denial(min(MOST_RETRY_MS, max(LEAST_RETRY_MS, round(after_ms))))
