"""What was done to a deployment and when, by the steady clock."""

from __future__ import annotations

import contextlib
import time
from typing import TYPE_CHECKING
from typing import NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterator

# Until so long after its end a disturbance explains what goes wrong.
CONTACT_S = 3.0
CONFIG_APPLY_S = 2.0
# How long a process may take over a planned stop before it is killed.
GRACE_S = 4.0

PLANNED = frozenset({"stop", "reload", "configure"})
# The platform's own doings, without harm to what is under way.
HARMLESS = frozenset({"engine_leaves", "redeals"})


class Work(NamedTuple):
    """Something that was done, to a daemon or backend server or, if `where` is empty, to all."""

    kind: str
    where: str
    began_s: float
    ended_s: float


class Limits(NamedTuple):
    """The time limits of routes by path, from a configuration on."""

    from_s: float
    by_path: dict[str, int]


class Diary:
    """Everything that was done, once it has ended."""

    def __init__(self) -> None:
        self.done: list[Work] = []
        self.limits: list[Limits] = []

    @contextlib.contextmanager
    def during(self, kind: str, where: str = "") -> Iterator[None]:
        """Writes down what is done meanwhile."""
        began_s = time.monotonic()
        try:
            yield
        finally:
            self.done.append(Work(kind, where, began_s, time.monotonic()))

    def is_disturbed(self, from_s: float, to_s: float, *places: str) -> bool:
        """Whether unplanned work explains a failure, anywhere or at some places."""
        return any(
            work.kind not in PLANNED | HARMLESS
            and work.began_s <= to_s
            and work.ended_s + CONTACT_S >= from_s
            and (not places or work.where in ("", *places))
            for work in self.done
        )

    def is_stopped(self, from_s: float, to_s: float, daemon: str) -> bool:
        """Whether a daemon was in a planned stop, away, or just back."""
        return any(
            work.kind == "stop"
            and work.where == daemon
            and work.began_s <= to_s
            and work.ended_s + CONTACT_S >= from_s
            for work in self.done
        )

    def planned(self, daemon: str, sent_s: float, ended_s: float) -> list[Work]:
        """Returns the planned work that must not cut a request."""
        return [work for work in self.done if _concerns(work, daemon, sent_s, ended_s)]

    def limits_ms(self, path: str, from_s: float, to_s: float) -> list[int]:
        """Returns the limits of a route by all configurations that may have been in force."""
        known_s = from_s - CONFIG_APPLY_S
        current = [one for one in self.limits if one.from_s < known_s][-1:]
        newer = [one for one in self.limits if known_s <= one.from_s <= to_s]
        every = [one.by_path for one in current + newer]
        # A route that is not there yet has the limit of any.
        return [limits.get(path, max(limits.values())) for limits in every]


def _concerns(work: Work, daemon: str, sent_s: float, ended_s: float) -> bool:
    if ended_s < work.began_s:
        return False
    if work.kind == "stop":
        return work.where == daemon and ended_s <= work.began_s + GRACE_S + 1
    if work.kind == "reload":
        return work.where == daemon and sent_s <= work.ended_s + CONFIG_APPLY_S
    return work.kind == "configure" and ended_s <= work.ended_s + CONFIG_APPLY_S + 1
