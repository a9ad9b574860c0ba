"""A random walk of an account through limiters and limits: no window exceeds its limit.

`QUINCESPOOL_WALK_STEPS=1000000 python -m pytest tests/limits/test_limiter_walk.py` walks longer.
"""

from __future__ import annotations

import os
import random
from collections import deque
from typing import NamedTuple

import pytest

from quincespool.limits.account_limiter import INITIAL_CALLS
from quincespool.limits.account_limiter import MAX_WAIT_MS
from quincespool.limits.account_limiter import AccountLimiter
from quincespool.limits.account_limiter import Grant
from quincespool.limits.account_limiter import LimiterTerm
from quincespool.limits.account_limiter import PermitRequest
from quincespool.limits.admission_order import make_started_programs_first
from quincespool.limits.bucket import Allowance

STEPS = int(os.environ.get("QUINCESPOOL_WALK_STEPS", "20000"))
WINDOW_MS = 5_000
DAEMONS = 5
# Limits of small and large accounts, as operators set them.
ALLOWANCES = [Allowance(1.3, 11), Allowance(12, 22), Allowance(30, 40), Allowance(183, 193)]


class _Call(NamedTuple):
    runs_ms: int
    at: int


class _Walk:
    """A random walk of one account. Returned calls have not run and don't count."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.limiters = [
            AccountLimiter(make_started_programs_first, window_ms=WINDOW_MS) for _ in range(DAEMONS)
        ]
        self.at, self.term, self.now_ms = 0, LimiterTerm(1, 0), 0
        self.allowance = self.rng.choice(ALLOWANCES)
        self.allowed: deque[tuple[int, Allowance]] = deque([(0, self.allowance)])
        self.moved_ms: deque[int] = deque([0])
        self.ran: deque[_Call] = deque()
        self.granted = 0

    def step(self) -> None:
        kind = self.rng.random()
        if kind < 0.30:
            self.now_ms += int(self.rng.expovariate(1 / 120))
        elif kind < 0.31:
            self.now_ms += self.rng.randrange(20_000)
        elif kind < 0.315:
            self._move()
        elif kind < 0.317:
            self.allowance = self.rng.choice(ALLOWANCES)
            self.allowed.append((self.now_ms, self.allowance))
        else:
            self._call()
        self._check()

    def _move(self) -> None:
        self.at = self.rng.randrange(DAEMONS)
        self.term = LimiterTerm(self.term.number + 1, self.now_ms)
        self.moved_ms.append(self.now_ms)

    def _call(self) -> None:
        program = self.rng.choice(["", "p", "q", f"p{self.rng.randrange(50)}"])
        request = PermitRequest(program, may_begin=bool(program) and self.rng.random() < 0.3)
        limiter = self.limiters[self.at]
        verdict = limiter.request("a", request, self.allowance, term=self.term, now_ms=self.now_ms)
        if not isinstance(verdict, Grant):
            assert verdict.retry_after_ms > 0
            return
        if self.rng.random() < 0.05:
            self.limiters[self.at].return_call("a", self.allowance)
            return
        self.granted += 1
        self.ran.append(_Call(self.now_ms + verdict.wait_ms, self.at))

    def _check(self) -> None:
        since_ms = self.now_ms - WINDOW_MS
        while self.ran and self.ran[0].runs_ms < since_ms:
            self.ran.popleft()
        while self.moved_ms and self.moved_ms[0] < since_ms - MAX_WAIT_MS:
            self.moved_ms.popleft()
        # The limit that was in force at the beginning of the window is kept.
        while len(self.allowed) > 1 and self.allowed[1][0] < since_ms - MAX_WAIT_MS:
            self.allowed.popleft()
        in_force = [allowance for _, allowance in self.allowed]
        capacity = max(one.capacity_calls for one in in_force)
        rate_per_s = max(one.rate_per_s for one in in_force)
        most = capacity + rate_per_s * (WINDOW_MS + 2 * MAX_WAIT_MS) / 1000
        most += INITIAL_CALLS * len(self.moved_ms)
        assert len(self.ran) <= most + 1e-6


@pytest.mark.parametrize("seed", [1, 2, 3, 4])
def test_no_window_exceeds_its_limit(seed: int) -> None:
    walk = _Walk(seed)
    for _ in range(STEPS // 4):
        walk.step()
    assert walk.granted > STEPS // 100
