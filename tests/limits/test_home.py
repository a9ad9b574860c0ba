"""The home of an account: what it lets through."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import invariant
from hypothesis.stateful import rule

from quincespool.limits.bucket import Allowance
from quincespool.limits.home import FIRST_CALLS
from quincespool.limits.home import HANDOVER_MS
from quincespool.limits.home import LEAST_RETRY_MS
from quincespool.limits.home import MOST_WAIT_MS
from quincespool.limits.home import Ask
from quincespool.limits.home import Denial
from quincespool.limits.home import Grant
from quincespool.limits.home import LimitsHome
from quincespool.limits.home import Term
from quincespool.limits.order import make_first_come
from quincespool.limits.order import make_programs_first

if TYPE_CHECKING:
    from collections.abc import Callable

    from quincespool.limits.order import Order

ALLOWANCE = Allowance(rate_per_s=10, capacity_calls=20)
CALL = Ask("")
FIRST_TERM = Term(1, 0)
WINDOW_MS = 5_000
SETTLED_MS = WINDOW_MS + HANDOVER_MS + 100


def _home(make_order: Callable[[], Order] = make_first_come) -> LimitsHome:
    return LimitsHome(make_order, window_ms=WINDOW_MS)


def _waited(home: LimitsHome, *, now_ms: int) -> int | None:
    """Returns how long the next call waits, None if it is refused."""
    verdict = home.ask("a", CALL, ALLOWANCE, term=FIRST_TERM, now_ms=now_ms)
    return verdict.wait_ms if isinstance(verdict, Grant) else None


def _drain(home: LimitsHome, *, term: Term, now_ms: int) -> int:
    """Returns how many calls a home lets through at once."""
    count = 0
    while True:
        verdict = home.ask("a", CALL, ALLOWANCE, term=term, now_ms=now_ms)
        if isinstance(verdict, Denial):
            return count
        count += 1


def test_a_call_waits_a_little_and_then_is_told_when_a_place_is_free() -> None:
    home = _home()
    assert [_waited(home, now_ms=0) for _ in range(4)] == [0, 0, 100, MOST_WAIT_MS]
    assert home.ask("a", CALL, ALLOWANCE, term=FIRST_TERM, now_ms=0) == Denial(300)
    assert _waited(home, now_ms=300) == 0


def test_a_home_that_is_new_starts_low() -> None:
    """Symptom: an account passes its limit when its home changes.

    Events: an account uses its limit up; its home dies, and is another daemon's from then on.
    Cause: the new home knows nothing of what the last one has let through.
    """
    waiting = MOST_WAIT_MS / 1000 * ALLOWANCE.rate_per_s
    fresh = _home()
    assert _drain(fresh, term=FIRST_TERM, now_ms=0) == FIRST_CALLS + waiting


def test_a_home_that_comes_back_starts_low() -> None:
    home = _home()
    assert _waited(home, now_ms=0) == 0
    # Meanwhile the bucket here is full again, but another daemon was the home.
    waiting = MOST_WAIT_MS / 1000 * ALLOWANCE.rate_per_s
    assert _drain(home, term=Term(2, 60_000), now_ms=60_000) == FIRST_CALLS + waiting


def test_a_home_that_is_new_goes_by_what_others_were_told() -> None:
    """Symptom: after a host's death, accounts far below their limits are refused for a window.

    Events: their home dies; the daemons that they use were told by it what was left.
    Cause: the new home took every account for one at its limit.
    """
    home = _home()
    told = CALL._replace(told_calls=12)
    verdict = home.ask("a", told, ALLOWANCE, term=FIRST_TERM, now_ms=0)
    assert verdict == Grant(0, left_calls=11, is_pressed=False)

    # What was told earlier was more; only the least holds.
    home.ask("a", CALL._replace(told_calls=20), ALLOWANCE, term=FIRST_TERM, now_ms=0)
    low = home.ask("a", CALL._replace(told_calls=5), ALLOWANCE, term=FIRST_TERM, now_ms=0)
    assert low == Grant(0, left_calls=2, is_pressed=True)


def test_a_home_that_was_not_asked_for_a_window_starts_full() -> None:
    """Symptom: calls of an account that has just come are refused though it has used nothing.

    Events: a daemon is the home for minutes; the account's first calls come close together.
    Cause: its term was taken to begin with the first call.
    """
    home = _home()
    first = home.ask("a", CALL, ALLOWANCE, term=FIRST_TERM, now_ms=SETTLED_MS)
    assert first == Grant(0, left_calls=19, is_pressed=False)


def test_after_a_window_what_was_used_before_counts_no_more() -> None:
    home = _home()
    for now_ms in range(0, SETTLED_MS, 100):
        home.ask("a", CALL, ALLOWANCE, term=FIRST_TERM, now_ms=now_ms)
    # Calls at the rate, of a bucket that was full when the term began.
    verdict = home.ask("a", CALL, ALLOWANCE, term=FIRST_TERM, now_ms=SETTLED_MS)
    assert verdict == Grant(0, left_calls=19, is_pressed=False)


def test_a_call_that_reached_nobody_gives_its_place_back() -> None:
    home = _home()
    _drain(home, term=FIRST_TERM, now_ms=0)
    home.give_back("a", ALLOWANCE)
    assert isinstance(home.ask("a", CALL, ALLOWANCE, term=FIRST_TERM, now_ms=0), Grant)
    home.give_back("unknown", ALLOWANCE)


def test_a_new_program_does_not_wait() -> None:
    home = _home(make_programs_first)
    for _ in range(2):
        home.ask("a", CALL, ALLOWANCE, term=FIRST_TERM, now_ms=0)
    begin = home.ask("a", Ask("p", may_begin=True), ALLOWANCE, term=FIRST_TERM, now_ms=0)
    assert begin == Denial(LEAST_RETRY_MS)


class HomesMachine(RuleBasedStateMachine):
    """One account at several homes, one after the other, under calls, returns and lower limits.

    What the account gets in any window is at most its capacity, its rate and what each new home
    starts with, as long as nobody tells a home what another one had left.
    """

    def __init__(self) -> None:
        super().__init__()
        self.homes = [_home(make_programs_first) for _ in range(3)]
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
        self.at, self.term = at, Term(self.term.number + 1, self.now_ms)
        self.moved_ms.append(self.now_ms)

    @rule(
        program=st.sampled_from(["", "p", "q", "r"]), begins=st.booleans(), count=st.integers(1, 9)
    )
    def call(self, program: str, begins: bool, count: int) -> None:
        for _ in range(count):
            ask = Ask(program, may_begin=begins and bool(program))
            home = self.homes[self.at]
            verdict = home.ask("a", ask, ALLOWANCE, term=self.term, now_ms=self.now_ms)
            if isinstance(verdict, Grant):
                self.granted_ms.append(self.now_ms + verdict.wait_ms)

    @invariant()
    def no_window_is_over(self) -> None:
        granted = sorted(self.granted_ms)
        for first, from_ms in enumerate(granted):
            window_ms = granted[-1] - from_ms
            if window_ms > WINDOW_MS:
                continue
            # Calls that wait at the old home run after the move.
            since_ms = from_ms - MOST_WAIT_MS
            homes = sum(since_ms <= moved_ms for moved_ms in self.moved_ms)
            most = 20 + 10 * (window_ms + MOST_WAIT_MS) / 1000 + FIRST_CALLS * homes
            assert len(granted) - first <= most + 1e-6


HomesMachine.TestCase.settings = settings(max_examples=60, stateful_step_count=40, deadline=None)
test_homes_machine = HomesMachine.TestCase
