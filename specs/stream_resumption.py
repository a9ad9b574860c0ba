"""One stream that is made of several runs at engines, as its caller gets it.

An engine sends each event in two halves. Its connection may break anywhere; it may then stop or go
on working for a while. Told behind which event to go on, an engine obeys, begins anew, or leaves an
event out. The owner of the turn hands out whole events, and may be lost: its caller then goes on at
the next owner behind the last event that it has.
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
      whole_events: A half of an event is held back until the other half is there.
      drop_known: Events that the caller has are passed over.
      refuse_gap: A run that goes on too far ahead is ended.
      close_first: The connection to the last engine is closed before another one gets the turn.
      count_handed_out: Events count for the budget as they are handed out, not as they come.
    """

    whole_events: bool = True
    drop_known: bool = True
    refuse_gap: bool = True
    close_first: bool = True
    count_handed_out: bool = True


class Bounds(NamedTuple):
    """How much may happen."""

    events: int = 3
    runs: int = 4


class Run(NamedTuple):
    """The run whose answer is read.

    Attributes:
      number: Of the event that the engine sends next.
      half: Whether it has sent its first half.
      fresh: Whether nothing of it was handed out yet.
    """

    number: int
    half: bool = False
    fresh: bool = True


class State(NamedTuple):
    """The caller, the owner and the engines.

    Attributes:
      got: What the caller has: numbers of events, `JOINED` for one of two runs.
      held_half: Whether the caller has a half event, for want of a guard.
      counted: Events counted for the budget.
      run: None between two runs.
      runs: Begun so far.
      lingering: Whether an engine that broke off is still at work.
      is_whole: Whether the answer has ended whole.
      seen: What has happened at least once.
    """

    got: tuple[int, ...] = ()
    held_half: bool = False
    counted: int = 0
    run: Run | None = None
    runs: int = 0
    lingering: bool = False
    is_whole: bool = False
    seen: frozenset[str] = frozenset()


JOINED = -1
ALL_GUARDS = Guards()
BOUNDS = Bounds()


class Streams:
    """The steps under given guards and bounds."""

    def __init__(self, guards: Guards, bounds: Bounds) -> None:
        self._guards = guards
        self._bounds = bounds

    def successors(self, state: State) -> Steps:
        """Yields every step from a state."""
        if state.is_whole:
            return
        if state.run is None:
            if state.runs < self._bounds.runs:
                yield from self._begin(state)
            return
        yield from self._send(state, state.run)
        for lingers in (False, True):
            yield "breaks off", self._break(state, lingers=lingers)
        yield "owner is lost", _see(self._break(state, lingers=False), "owner lost")

    def _begin(self, state: State) -> Steps:
        last = max(state.got, default=0)
        state = state._replace(runs=state.runs + 1)
        if state.got:
            state = _see(state, "resumed")
        starts = {"obeys": last + 1, "begins anew": 1, "leaves one out": last + 2}
        for name, number in starts.items():
            # A first run begins at the first event. A run that ends at once is believed: the last
            # one may have been broken off between its last event and its end.
            is_possible = number <= self._bounds.events or number == last + 1
            if is_possible and (state.got or number == 1):
                yield f"engine {name}", state._replace(run=Run(number))

    def _send(self, state: State, run: Run) -> Steps:
        if run.number > self._bounds.events:
            yield "ends", state._replace(run=None, is_whole=True)
        elif not run.half:
            state = state._replace(run=run._replace(half=True))
            yield "half an event", self._hand_out_half(state, run)
        else:
            yield "the other half", self._take_event(state, run)

    def _hand_out_half(self, state: State, run: Run) -> State:
        if self._guards.whole_events or run.number in state.got:
            return state
        return state._replace(held_half=True)

    def _take_event(self, state: State, run: Run) -> State:
        state = state._replace(run=Run(run.number + 1, fresh=run.fresh))
        if not self._guards.count_handed_out:
            state = state._replace(counted=state.counted + 1)
        last = max(state.got, default=0)
        if run.number <= last and self._guards.drop_known:
            return _see(state, "passed over")
        if run.number > last + 1 and run.fresh and self._guards.refuse_gap:
            return _see(self._break(state, lingers=False), "gap refused")
        return self._hand_out(state, run.number)

    def _hand_out(self, state: State, number: int) -> State:
        if self._guards.count_handed_out:
            state = state._replace(counted=state.counted + 1)
        run = state.run
        return state._replace(
            got=(*state.got, number),
            held_half=False,
            run=run._replace(fresh=False) if run is not None else None,
        )

    def _break(self, state: State, *, lingers: bool) -> State:
        if state.held_half:
            # What follows on the same answer is read as the rest of this event.
            state = state._replace(got=(*state.got, JOINED), held_half=False)
        # An engine drops a turn when its connection closes.
        lingering = lingers and not self._guards.close_first
        return state._replace(run=None, lingering=state.lingering or lingering)


def make_streams(guards: Guards = ALL_GUARDS, bounds: Bounds = BOUNDS) -> Specification[State]:
    """Returns the specification, or a mutant of it if a guard is off."""
    return Specification(
        initial=State(),
        successors=Streams(guards, bounds).successors,
        rules={
            "no event twice": lambda s: len(set(s.got)) == len(s.got),
            "no event missing": lambda s: _is_joined(s) or s.got == tuple(range(1, len(s.got) + 1)),
            "no event of two runs": lambda s: not _is_joined(s),
            "whole only with its last event": lambda s: (
                not s.is_whole or len(s.got) >= bounds.events
            ),
            "one engine at work": lambda s: not (s.lingering and s.run is not None),
            "counted once": lambda s: s.counted == len(s.got),
        },
        sights={
            "whole after two breaks": lambda s: s.is_whole and s.runs == 3,
            "an engine began anew": lambda s: "passed over" in s.seen and s.is_whole,
            "a gap was refused": lambda s: "gap refused" in s.seen and s.is_whole,
            "the next owner went on": lambda s: {"owner lost", "resumed"} <= s.seen and s.is_whole,
        },
    )


def _is_joined(state: State) -> bool:
    return JOINED in state.got


def _see(state: State, what: str) -> State:
    return state._replace(seen=state.seen | {what})
