"""The home of an account: what it lets through."""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import invariant
from hypothesis.stateful import rule

from quincespool.limits.bucket import Allowance
from quincespool.limits.home import FIRST_CALLS
from quincespool.limits.home import LEAST_RETRY_MS
from quincespool.limits.home import MOST_WAIT_MS
from quincespool.limits.home import Ask
from quincespool.limits.home import Denial
from quincespool.limits.home import Grant
from quincespool.limits.home import LimitsHome
from quincespool.limits.order import make_first_come
from quincespool.limits.order import make_programs_first

ALLOWANCE = Allowance(rate_per_s=10, capacity_calls=20)
CALL = Ask("", may_begin=False)


def _drain(home: LimitsHome, *, term: int, now_ms: int) -> int:
    """Returns how many calls a home lets through at once."""
    count = 0
    while True:
        verdict = home.ask("a", CALL, ALLOWANCE, term=term, now_ms=now_ms)
        if isinstance(verdict, Denial):
            return count
        count += 1


def test_a_call_waits_a_little_and_then_is_told_when_a_place_is_free() -> None:
    home = LimitsHome(make_first_come)
    verdicts = [home.ask("a", CALL, ALLOWANCE, term=1, now_ms=0) for _ in range(8)]

    assert verdicts[4] == Grant(0, is_pressed=True)
    assert verdicts[5] == Grant(100, is_pressed=True)
    assert verdicts[6] == Grant(MOST_WAIT_MS, is_pressed=True)
    assert verdicts[7] == Denial(300)
    assert home.ask("a", CALL, ALLOWANCE, term=1, now_ms=300) == Grant(0, is_pressed=True)


def test_a_home_that_is_new_starts_low() -> None:
    """Symptom: an account passes its limit when its home changes.

    Events: an account uses its limit up; its home dies, and is another daemon's from then on.
    Cause: the new home knows nothing of what the last one has let through.
    """
    waiting = MOST_WAIT_MS / 1000 * ALLOWANCE.rate_per_s
    fresh = LimitsHome(make_first_come)
    assert _drain(fresh, term=1, now_ms=0) == FIRST_CALLS + waiting


def test_a_home_that_comes_back_starts_low() -> None:
    home = LimitsHome(make_first_come)
    assert home.ask("a", CALL, ALLOWANCE, term=1, now_ms=0) == Grant(0, is_pressed=True)
    # Meanwhile the bucket here is full again, but another daemon was the home.
    waiting = MOST_WAIT_MS / 1000 * ALLOWANCE.rate_per_s
    assert _drain(home, term=2, now_ms=60_000) == FIRST_CALLS + waiting


def test_a_call_that_reached_nobody_gives_its_place_back() -> None:
    home = LimitsHome(make_first_come)
    _drain(home, term=1, now_ms=0)
    home.give_back("a", ALLOWANCE)
    assert isinstance(home.ask("a", CALL, ALLOWANCE, term=1, now_ms=0), Grant)
    home.give_back("unknown", ALLOWANCE)


def test_a_new_program_does_not_wait() -> None:
    home = LimitsHome(make_programs_first)
    for _ in range(5):
        home.ask("a", CALL, ALLOWANCE, term=1, now_ms=0)
    begin = home.ask("a", Ask("p", may_begin=True), ALLOWANCE, term=1, now_ms=0)
    assert begin == Denial(LEAST_RETRY_MS)


class HomesMachine(RuleBasedStateMachine):
    """One account at several homes, one after the other, under calls, returns and lower limits.

    What the account gets in any window is at most its capacity, its rate and what each new home
    starts with.
    """

    def __init__(self) -> None:
        super().__init__()
        self.homes = [LimitsHome(make_programs_first) for _ in range(3)]
        self.at = 0
        self.term = 1
        self.now_ms = 0
        self.granted_ms: list[int] = []
        self.moved_ms: list[int] = []

    @rule(pause_ms=st.integers(0, 3_000))
    def wait(self, pause_ms: int) -> None:
        self.now_ms += pause_ms

    @rule(at=st.integers(0, 2))
    def move(self, at: int) -> None:
        self.at, self.term = at, self.term + 1
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
            # Calls that wait at the old home run after the move.
            since_ms = from_ms - MOST_WAIT_MS
            homes = sum(since_ms <= moved_ms for moved_ms in self.moved_ms)
            most = 20 + 10 * (window_ms + MOST_WAIT_MS) / 1000 + FIRST_CALLS * homes
            assert len(granted) - first <= most + 1e-6


HomesMachine.TestCase.settings = settings(max_examples=60, stateful_step_count=40, deadline=None)
test_homes_machine = HomesMachine.TestCase
