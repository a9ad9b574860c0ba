"""An account's limit over homes that follow one another: no window gets more than it may.

Time goes in ticks. A home lets a call through while its bucket holds one; all buckets refill, also
those of daemons that are not the home. When the home moves, the former one goes on for up to a tick
before it hears of it. A call that reached no backend server is given back to the present home.
A home starts low; after a window in its term, what was used before counts no more, and it goes on
as if its bucket had been full when the term began.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from specs.checking import Specification

if TYPE_CHECKING:
    from collections.abc import Iterator

    Steps = Iterator[tuple[str, "State"]]


class Guards(NamedTuple):
    """Parts of the protocol that a mutant leaves out.

    Attributes:
      starts_low: In a new term a home lowers its bucket: it does not know what others gave.
      waits_a_window: It takes its bucket for full at the term's beginning only after a window.
      keeps_term: Within its term a home's bucket only changes by calls and time.
      returns_not_run: Only a call that has not run is given back.
      former_yields: A former home that hears of the new one lets nothing through any more.
      refill_is_capped: A bucket holds no more than its capacity.
    """

    starts_low: bool = True
    waits_a_window: bool = True
    keeps_term: bool = True
    returns_not_run: bool = True
    former_yields: bool = True
    refill_is_capped: bool = True


class Bounds(NamedTuple):
    """How much may happen, and the figures of the account."""

    daemons: int = 2
    moves: int = 2
    ticks: int = 6
    returns: int = 1
    capacity: int = 3
    rate: int = 1
    first: int = 1
    window: int = 2


class Bucket(NamedTuple):
    """One daemon's bucket.

    Attributes:
      level: What it gives out.
      whole: What it would have, had it been full when the term began.
      term: In which it was opened; 0 before the first.
    """

    level: int
    whole: int = 0
    term: int = 0


class Tick(NamedTuple):
    """What happened in one tick."""

    ran: int = 0
    moves: int = 0


class State(NamedTuple):
    """Buckets by daemon, the home and its term, the last ticks, what may still happen.

    Attributes:
      since: Tick in which the term began; the first home has been it for long.
      former: The last home, while it has not heard of the new one; -1 if there is none.
    """

    buckets: tuple[Bucket, ...]
    home: int = 0
    term: int = 1
    since: int = -1_000
    former: int = -1
    past: tuple[Tick, ...] = (Tick(),)
    moves: int = 0
    returns: int = 0
    ticks: int = 0


ALL_GUARDS = Guards()
BOUNDS = Bounds()


class AccountLimits:
    """The steps under given guards and bounds."""

    def __init__(self, guards: Guards, bounds: Bounds) -> None:
        self._guards = guards
        self._bounds = bounds

    def successors(self, state: State) -> Steps:
        """Yields every step from a state."""
        yield from self._calls(state, state.home, self._open(state), "home")
        if state.former >= 0:
            yield from self._calls(state, state.former, state.buckets[state.former], "former home")
        if state.moves < self._bounds.moves:
            for daemon in range(self._bounds.daemons):
                yield f"home moves to {daemon}", self._moved(state, daemon)
        if state.ticks < self._bounds.ticks:
            yield "time passes", self._ticked(state)

    def within(self, state: State) -> bool:
        """Whether the last window got no more than the account may have."""
        bounds = self._bounds
        window = state.past[-bounds.window - 1 :]
        moves = sum(tick.moves for tick in window)
        # A former home that has not heard yet refills for one tick beside the new one.
        most = bounds.capacity + bounds.rate * bounds.window + moves * (bounds.first + bounds.rate)
        return sum(tick.ran for tick in window) <= most

    def _calls(self, state: State, daemon: int, opened: Bucket, name: str) -> Steps:
        if opened.level < 1:
            return
        taken = opened._replace(level=opened.level - 1, whole=opened.whole - 1)
        yield f"call at the {name} runs", _ran(_with(state, daemon, taken))
        if state.returns < self._bounds.returns:
            returned = _with(state, daemon, taken)._replace(returns=state.returns + 1)
            if not self._guards.returns_not_run:
                returned = _ran(returned)
            yield f"call at the {name} reaches nobody", self._given_back(returned)

    def _open(self, state: State) -> Bucket:
        """Returns the bucket of the home as its next call finds it."""
        bucket = state.buckets[state.home]
        if bucket.term != state.term:
            low = min(bucket.level, self._bounds.first)
            level = low if self._guards.starts_low else bucket.level
            bucket = Bucket(level, self._bounds.capacity, state.term)
        elif not self._guards.keeps_term:
            bucket = bucket._replace(level=max(bucket.level, self._bounds.first))
        past_window = state.ticks - state.since > self._bounds.window
        if past_window or not self._guards.waits_a_window:
            bucket = bucket._replace(level=bucket.whole)
        return bucket

    def _given_back(self, state: State) -> State:
        bucket = state.buckets[state.home]
        capacity = self._bounds.capacity
        level, whole = min(capacity, bucket.level + 1), min(capacity, bucket.whole + 1)
        return _with(state, state.home, bucket._replace(level=level, whole=whole))

    def _moved(self, state: State, daemon: int) -> State:
        past = state.past[:-1]
        last = state.past[-1]
        former = state.home if daemon != state.home else -1
        if former >= 0 and state.buckets[former].term != state.term:
            # It was never asked in its term: it has nothing to go on with.
            former = -1
        return state._replace(
            home=daemon,
            term=state.term + 1,
            since=state.ticks,
            former=former,
            past=(*past, last._replace(moves=last.moves + 1)),
            moves=state.moves + 1,
        )

    def _ticked(self, state: State) -> State:
        bounds = self._bounds
        most = bounds.capacity if self._guards.refill_is_capped else bounds.capacity + bounds.ticks
        buckets = tuple(
            bucket._replace(
                level=min(most, bucket.level + bounds.rate),
                whole=min(most, bucket.whole + bounds.rate),
            )
            for bucket in state.buckets
        )
        return state._replace(
            buckets=buckets,
            former=-1 if self._guards.former_yields else state.former,
            past=(*state.past, Tick())[-bounds.window - 1 :],
            ticks=state.ticks + 1,
        )


def make_account_limits(
    guards: Guards = ALL_GUARDS, bounds: Bounds = BOUNDS
) -> Specification[State]:
    """Returns the specification."""
    limits = AccountLimits(guards, bounds)
    return Specification(
        initial=State(buckets=(Bucket(bounds.capacity),) * bounds.daemons),
        successors=limits.successors,
        rules={"no window is over": limits.within},
        sights={
            "a window at its limit": lambda state: _is_full(state, bounds),
            "two homes at a time": lambda state: state.former >= 0 and state.past[-1].ran > 1,
            "a call is given back": lambda state: state.returns > 0,
        },
    )


def _is_full(state: State, bounds: Bounds) -> bool:
    ran = sum(tick.ran for tick in state.past)
    return state.moves == 0 and ran >= bounds.first + bounds.rate * bounds.window


def _with(state: State, daemon: int, bucket: Bucket) -> State:
    buckets = list(state.buckets)
    buckets[daemon] = bucket
    return state._replace(buckets=tuple(buckets))


def _ran(state: State) -> State:
    last = state.past[-1]
    return state._replace(past=(*state.past[:-1], last._replace(ran=last.ran + 1)))
