"""Which calls an account's limiter allows."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import invariant
from hypothesis.stateful import rule

from quincespool.limits.account_limiter import HANDOVER_MS
from quincespool.limits.account_limiter import INITIAL_CALLS
from quincespool.limits.account_limiter import MAX_WAIT_MS
from quincespool.limits.account_limiter import MIN_RETRY_MS
from quincespool.limits.account_limiter import AccountLimiter
from quincespool.limits.account_limiter import Denial
from quincespool.limits.account_limiter import Grant
from quincespool.limits.account_limiter import LimiterTerm
from quincespool.limits.account_limiter import PermitRequest
from quincespool.limits.admission_order import make_first_come_first_served
from quincespool.limits.admission_order import make_started_programs_first
from quincespool.limits.bucket import Allowance

if TYPE_CHECKING:
    from collections.abc import Callable

    from quincespool.limits.admission_order import AdmissionOrder

ALLOWANCE = Allowance(rate_per_s=10, capacity_calls=20)
CALL = PermitRequest("")
FIRST_TERM = LimiterTerm(1, 0)
WINDOW_MS = 5_000
SETTLED_MS = WINDOW_MS + HANDOVER_MS + 100


def _make_limiter(
    make_order: Callable[[], AdmissionOrder] = make_first_come_first_served,
) -> AccountLimiter:
    return AccountLimiter(make_order, window_ms=WINDOW_MS)


def _waited(limiter: AccountLimiter, *, now_ms: int) -> int | None:
    """Returns how long the next call waits, None if it is refused."""
    verdict = limiter.request("a", CALL, ALLOWANCE, term=FIRST_TERM, now_ms=now_ms)
    return verdict.wait_ms if isinstance(verdict, Grant) else None


def _drain(limiter: AccountLimiter, *, term: LimiterTerm, now_ms: int) -> int:
    """Returns how many calls a limiter allows at one moment."""
    count = 0
    while True:
        verdict = limiter.request("a", CALL, ALLOWANCE, term=term, now_ms=now_ms)
        if isinstance(verdict, Denial):
            return count
        count += 1


def test_a_call_waits_for_a_short_time_or_is_refused_with_a_retry_time() -> None:
    limiter = _make_limiter()
    assert [_waited(limiter, now_ms=0) for _ in range(4)] == [0, 0, 100, MAX_WAIT_MS]
    assert limiter.request("a", CALL, ALLOWANCE, term=FIRST_TERM, now_ms=0) == Denial(300)
    assert _waited(limiter, now_ms=300) == 0


def test_a_new_limiter_starts_with_the_initial_calls() -> None:
    """An account must not exceed its limit when its limiter changes.

    An account uses up its limit; its limiter crashes, and another daemon becomes the limiter. The
    new limiter doesn't know how many calls the previous one has allowed.
    """
    waiting = MAX_WAIT_MS / 1000 * ALLOWANCE.rate_per_s
    fresh = _make_limiter()
    assert _drain(fresh, term=FIRST_TERM, now_ms=0) == INITIAL_CALLS + waiting


def test_a_daemon_that_is_the_limiter_again_starts_with_the_initial_calls() -> None:
    limiter = _make_limiter()
    assert _waited(limiter, now_ms=0) == 0
    # The bucket of this daemon is full again, but another daemon was the limiter meanwhile.
    waiting = MAX_WAIT_MS / 1000 * ALLOWANCE.rate_per_s
    assert _drain(limiter, term=LimiterTerm(2, 60_000), now_ms=60_000) == INITIAL_CALLS + waiting


def test_a_new_limiter_uses_the_levels_that_others_report() -> None:
    """Accounts far below their limits must not be refused for a window after a host has crashed.

    The limiter crashes; the daemons that the accounts use know from its verdicts how many calls are
    left. The fault occurs if the new limiter treats every account as being at its limit.
    """
    limiter = _make_limiter()
    reported = CALL._replace(reported_calls=12)
    verdict = limiter.request("a", reported, ALLOWANCE, term=FIRST_TERM, now_ms=0)
    assert verdict == Grant(0, left_calls=11, is_near_limit=False)

    # Higher levels were reported earlier; only the lowest one counts.
    limiter.request("a", CALL._replace(reported_calls=20), ALLOWANCE, term=FIRST_TERM, now_ms=0)
    low = limiter.request(
        "a", CALL._replace(reported_calls=5), ALLOWANCE, term=FIRST_TERM, now_ms=0
    )
    assert low == Grant(0, left_calls=2, is_near_limit=True)


def test_a_limiter_without_requests_for_a_window_starts_full() -> None:
    """The first calls of a new account must not be refused.

    A daemon is the limiter for minutes; then the account's first calls arrive close together. The
    fault occurs if the term is taken to begin with the first call.
    """
    limiter = _make_limiter()
    first = limiter.request("a", CALL, ALLOWANCE, term=FIRST_TERM, now_ms=SETTLED_MS)
    assert first == Grant(0, left_calls=19, is_near_limit=False)


def test_after_a_window_calls_of_earlier_terms_no_longer_count() -> None:
    limiter = _make_limiter()
    for now_ms in range(0, SETTLED_MS, 100):
        limiter.request("a", CALL, ALLOWANCE, term=FIRST_TERM, now_ms=now_ms)
    # The calls came at the account's rate, to a bucket that was full when the term began.
    verdict = limiter.request("a", CALL, ALLOWANCE, term=FIRST_TERM, now_ms=SETTLED_MS)
    assert verdict == Grant(0, left_calls=19, is_near_limit=False)


def test_a_call_that_reached_no_backend_server_is_returned() -> None:
    limiter = _make_limiter()
    _drain(limiter, term=FIRST_TERM, now_ms=0)
    limiter.return_call("a", ALLOWANCE)
    assert isinstance(limiter.request("a", CALL, ALLOWANCE, term=FIRST_TERM, now_ms=0), Grant)
    limiter.return_call("unknown", ALLOWANCE)


def test_a_new_program_does_not_wait() -> None:
    limiter = _make_limiter(make_started_programs_first)
    for _ in range(2):
        limiter.request("a", CALL, ALLOWANCE, term=FIRST_TERM, now_ms=0)
    begin = limiter.request(
        "a", PermitRequest("p", may_begin=True), ALLOWANCE, term=FIRST_TERM, now_ms=0
    )
    assert begin == Denial(MIN_RETRY_MS)


class LimiterMachine(RuleBasedStateMachine):
    """One account at several limiters, one after another, under calls, returns and lower limits.

    In any window the account gets at most its capacity, its rate, and the initial calls of each new
    limiter, as long as nobody reports to a limiter what another one had left.
    """

    def __init__(self) -> None:
        super().__init__()
        self.limiters = [_make_limiter(make_started_programs_first) for _ in range(3)]
        self.at = 0
        self.term = FIRST_TERM
        self.now_ms = 0
        self.granted_ms: list[int] = []
        self.moved_ms: list[int] = []

    @rule(pause_ms=st.integers(0, 3_000))
    def wait(self, pause_ms: int) -> None:
        self.now_ms += pause_ms

    @rule(at=st.integers(0, 2))
    def move(self, at: int) -> None:
        self.at, self.term = at, LimiterTerm(self.term.number + 1, self.now_ms)
        self.moved_ms.append(self.now_ms)

    @rule(
        program=st.sampled_from(["", "p", "q", "r"]), begins=st.booleans(), count=st.integers(1, 9)
    )
    def call(self, program: str, begins: bool, count: int) -> None:
        for _ in range(count):
            request = PermitRequest(program, may_begin=begins and bool(program))
            limiter = self.limiters[self.at]
            verdict = limiter.request("a", request, ALLOWANCE, term=self.term, now_ms=self.now_ms)
            if isinstance(verdict, Grant):
                self.granted_ms.append(self.now_ms + verdict.wait_ms)

    @invariant()
    def no_window_is_over(self) -> None:
        granted = sorted(self.granted_ms)
        for first, from_ms in enumerate(granted):
            window_ms = granted[-1] - from_ms
            if window_ms > WINDOW_MS:
                continue
            # Calls that the previous limiter has allowed in advance run after the limiter changes.
            since_ms = from_ms - MAX_WAIT_MS
            limiters = sum(since_ms <= moved_ms for moved_ms in self.moved_ms)
            most = 20 + 10 * (window_ms + MAX_WAIT_MS) / 1000 + INITIAL_CALLS * limiters
            assert len(granted) - first <= most + 1e-6


LimiterMachine.TestCase.settings = settings(max_examples=60, stateful_step_count=40, deadline=None)
test_limiter_machine = LimiterMachine.TestCase
