"""A backend server that starts again under its id, as a daemon sees it through the store.

Each process is a life; its entries bear the life's number. They land in the store in any order,
late and twice, and another writer may put something else under the key. A daemon reads them one
after the other. It sends a call to whatever process listens at the address, which may be a life
that it has not read of yet.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from specs.checking import Specification

if TYPE_CHECKING:
    from collections.abc import Iterator

    Steps = Iterator[tuple[str, "State"]]

# What another writer has put under the key.
FOREIGN = -1


class Guards(NamedTuple):
    """Parts of the protocol that a mutant leaves out.

    Attributes:
      later_life_wins: An entry of an earlier life than one read before is passed over.
      births_outlast_entries: What was the latest life is remembered when the entry is dropped.
      drop_on_foreign: What can't be read drops the entry that stood there.
      break_off: A new life ends the calls under way at the last one.
      send_once: A call that ended without an answer is not sent again.
      forget_cache: What the last life had cached is not preferred.
    """

    later_life_wins: bool = True
    births_outlast_entries: bool = True
    drop_on_foreign: bool = True
    break_off: bool = True
    send_once: bool = True
    forget_cache: bool = True


class Bounds(NamedTuple):
    """How much may happen."""

    lives: int = 3
    entries: int = 4


class Call(NamedTuple):
    """One call that must not run twice, or the one that follows it.

    Attributes:
      stage: `new`, `sent`, `answered` or `ended`, which means that it may have run.
      life: The process that it was sent to.
      runs: How many processes it was sent to.
    """

    stage: str = "new"
    life: int = FOREIGN
    runs: int = 0


class State(NamedTuple):
    """The backend server, the store and the daemon.

    Attributes:
      life: Of the process that runs now.
      entries: Under the key, oldest first: lives, or `FOREIGN`.
      read: How many of them the daemon has read.
      believed: The life in use at the daemon, None if it knows of none.
      latest: The latest life that it remembers to have read of, None if none.
      cached: The life that the daemon believes to hold a program's cache, None if none.
      call: A call of that program.
      seen: What has happened at least once.
    """

    life: int = 0
    entries: tuple[int, ...] = ()
    read: int = 0
    believed: int | None = None
    latest: int | None = None
    cached: int | None = None
    call: Call = Call()
    seen: frozenset[str] = frozenset()


ALL_GUARDS = Guards()
BOUNDS = Bounds()


class Lives:
    """The steps under given guards and bounds."""

    def __init__(self, guards: Guards, bounds: Bounds) -> None:
        self._guards = guards
        self._bounds = bounds

    def successors(self, state: State) -> Steps:
        """Yields every step from a state."""
        if state.life + 1 < self._bounds.lives:
            yield "starts again", state._replace(life=state.life + 1)
        if len(state.entries) < self._bounds.entries:
            for entry in (FOREIGN, *range(state.life + 1)):
                yield f"entry {entry} lands", state._replace(entries=(*state.entries, entry))
        if state.read < len(state.entries):
            yield "daemon reads", self._read_one(state)
        yield from self._call_steps(state)

    def _read_one(self, state: State) -> State:
        entry = state.entries[state.read]
        state = state._replace(read=state.read + 1)
        if entry == FOREIGN:
            return self._drop(state) if self._guards.drop_on_foreign else state
        latest = state.latest
        if latest is not None and entry < latest and self._guards.later_life_wins:
            return _see(state, "passed over")
        is_new_life = latest is not None and entry != latest
        if is_new_life:
            state = self._begin_life(state, entry)
        return state._replace(believed=entry, latest=entry)

    def _drop(self, state: State) -> State:
        latest = state.latest if self._guards.births_outlast_entries else None
        return _see(state._replace(believed=None, latest=latest), "dropped")

    def _begin_life(self, state: State, entry: int) -> State:
        if self._guards.break_off and state.call.stage == "sent" and state.call.life < entry:
            state = _see(state._replace(call=state.call._replace(stage="ended")), "broken off")
        return state

    def _call_steps(self, state: State) -> Steps:
        call = state.call
        may_send = call.stage == "new" or (call.stage == "ended" and not self._guards.send_once)
        if may_send and state.believed is not None and call.runs < 2:
            yield "call is sent", self._send(state)
        if call.stage == "sent":
            if call.life == state.life:
                answered = state._replace(call=call._replace(stage="answered"))
                yield "call is answered", answered._replace(cached=state.believed)
            yield "caller leaves", state._replace(call=call._replace(stage="ended"))
        if call.stage == "answered" and call.runs == 1:
            yield "next call of the program", state._replace(call=Call())

    def _send(self, state: State) -> State:
        preferred = state.cached is not None and (
            state.cached == state.believed or not self._guards.forget_cache
        )
        if preferred and state.cached != state.believed:
            state = _see(state, "sent for a cache that is gone")
        call = state.call._replace(stage="sent", life=state.life, runs=state.call.runs + 1)
        return state._replace(call=call)


def make_lives(guards: Guards = ALL_GUARDS, bounds: Bounds = BOUNDS) -> Specification[State]:
    """Returns the specification, or a mutant of it if a guard is off."""
    return Specification(
        initial=State(),
        successors=Lives(guards, bounds).successors,
        rules={
            "no earlier life comes back": lambda s: (
                s.believed is None or s.believed == _latest_read(s)
            ),
            "a foreign entry names nobody": lambda s: (
                s.read == 0 or s.entries[s.read - 1] != FOREIGN or s.believed is None
            ),
            "nothing waits for a life that is over": lambda s: (
                s.call.stage != "sent" or s.believed is None or s.call.life >= s.believed
            ),
            "runs once": lambda s: s.call.runs <= 1,
            "no cache of an earlier life is preferred": lambda s: (
                "sent for a cache that is gone" not in s.seen
            ),
        },
        sights={
            "a call is broken off by a new life": lambda s: "broken off" in s.seen,
            "a late entry is passed over": lambda s: "passed over" in s.seen,
            "in use again after a foreign entry": lambda s: (
                "dropped" in s.seen and s.believed is not None and s.call.stage == "answered"
            ),
            "a call reaches a life not read of yet": lambda s: (
                s.call.stage == "answered" and s.believed is not None and s.call.life > s.believed
            ),
        },
    )


def _latest_read(state: State) -> int | None:
    lives = [entry for entry in state.entries[: state.read] if entry != FOREIGN]
    return max(lives, default=None)


def _see(state: State, what: str) -> State:
    return state._replace(seen=state.seen | {what})
