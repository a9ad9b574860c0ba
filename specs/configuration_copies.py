"""Configurations that daemons read from the store or hand one another, under cuts and restarts.

The operators write versions into the store. A daemon reads the newest one if the store serves it,
else it takes a copy of another daemon that has a newer one. Copies may come late. A daemon that
restarts knows none, and refuses calls until it has one.
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
      newer_only: A daemon takes no version that is not newer than its own.
      asks_peers: A daemon that the store turns away asks the others.
      waits_for_one: A daemon without a configuration serves nothing.
    """

    newer_only: bool = True
    asks_peers: bool = True
    waits_for_one: bool = True


class Bounds(NamedTuple):
    """How much may happen."""

    daemons: int = 3
    versions: int = 3
    restarts: int = 1
    cuts: int = 2


class Copy(NamedTuple):
    """A copy on its way."""

    to: int
    version: int


class State(NamedTuple):
    """The store's version, each daemon's, whom the store turns away, copies on their way.

    Attributes:
      seen: The newest version of each daemon's life, which it must not fall behind.
    """

    stored: int
    known: tuple[int, ...]
    seen: tuple[int, ...]
    turned_away: frozenset[int] = frozenset()
    copies: frozenset[Copy] = frozenset()
    restarts: int = 0
    cuts: int = 0
    served_unconfigured: bool = False


ALL_GUARDS = Guards()
BOUNDS = Bounds()


class ConfigurationCopies:
    """The steps under given guards and bounds."""

    def __init__(self, guards: Guards, bounds: Bounds) -> None:
        self._guards = guards
        self._bounds = bounds

    def successors(self, state: State) -> Steps:
        """Yields every step from a state."""
        if state.stored < self._bounds.versions:
            yield "operators write a version", state._replace(stored=state.stored + 1)
        for copy in state.copies:
            arrived = state._replace(copies=state.copies - {copy})
            yield f"{copy.to} takes a copy", self._adopted(arrived, copy.to, copy.version)
        for daemon in range(self._bounds.daemons):
            yield from self._steps(state, daemon)

    def _steps(self, state: State, daemon: int) -> Steps:
        if daemon in state.turned_away:
            back = state._replace(turned_away=state.turned_away - {daemon})
            yield f"store takes {daemon} again", back
        else:
            yield f"{daemon} reads", self._adopted(state, daemon, state.stored)
            if state.cuts < self._bounds.cuts:
                turned_away = state.turned_away | {daemon}
                yield (
                    f"store turns {daemon} away",
                    state._replace(turned_away=turned_away, cuts=state.cuts + 1),
                )
        if state.restarts < self._bounds.restarts:
            yield f"{daemon} restarts", self._restarted(state, daemon)
        if state.known[daemon] == 0 and not self._guards.waits_for_one:
            yield f"{daemon} serves unconfigured", state._replace(served_unconfigured=True)
        for peer in range(self._bounds.daemons):
            if self._asks(state, daemon, peer):
                yield f"{peer} copies to {daemon}", _sent(state, daemon, state.known[peer])

    def _asks(self, state: State, daemon: int, peer: int) -> bool:
        newer = state.known[peer] > state.known[daemon]
        return newer and daemon in state.turned_away and self._guards.asks_peers

    def _adopted(self, state: State, daemon: int, version: int) -> State:
        known = state.known[daemon]
        if version == known or (version < known and self._guards.newer_only):
            return state
        seen = max(state.seen[daemon], version)
        return state._replace(
            known=_set(state.known, daemon, version), seen=_set(state.seen, daemon, seen)
        )

    def _restarted(self, state: State, daemon: int) -> State:
        lost = frozenset(copy for copy in state.copies if copy.to != daemon)
        return state._replace(
            known=_set(state.known, daemon, 0),
            seen=_set(state.seen, daemon, 0),
            copies=lost,
            restarts=state.restarts + 1,
        )


def make_configuration_copies(
    guards: Guards = ALL_GUARDS, bounds: Bounds = BOUNDS
) -> Specification[State]:
    """Returns the specification."""
    copies = ConfigurationCopies(guards, bounds)
    return Specification(
        initial=State(stored=1, known=(0,) * bounds.daemons, seen=(0,) * bounds.daemons),
        successors=copies.successors,
        rules={
            "never goes back in one life": lambda state: state.known == state.seen,
            "nothing is served without one": lambda state: not state.served_unconfigured,
            "a way to the newest": lambda state: _has_way(copies, state),
        },
        sights={
            "a copy comes after a newer one": lambda state: any(
                copy.version < state.known[copy.to] for copy in state.copies
            ),
            "turned away and up to date": lambda state: any(
                state.known[daemon] == state.stored > 1 for daemon in state.turned_away
            ),
        },
    )


def _has_way(copies: ConfigurationCopies, state: State) -> bool:
    """Whether a daemon that is turned away can get what another one has."""
    newest = max(state.known)
    behind = [one for one in state.turned_away if state.known[one] < newest]
    steps = [label for label, _ in copies.successors(state)]
    return all(any(label.endswith(f"copies to {one}") for label in steps) for one in behind)


def _sent(state: State, daemon: int, version: int) -> State:
    return state._replace(copies=state.copies | {Copy(daemon, version)})


def _set(values: tuple[int, ...], index: int, value: int) -> tuple[int, ...]:
    return (*values[:index], value, *values[index + 1 :])
