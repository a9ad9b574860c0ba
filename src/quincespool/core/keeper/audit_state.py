"""What the audits of engines' caches have under way."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import NamedTuple


class Asked(NamedTuple):
    """One `ProgramsAsked`: who was asked about what."""

    backend: str
    owner: str
    program_ids: frozenset[str]


@dataclass(slots=True, eq=False)
class AuditExchange:
    """One request to an engine; `program_id` is empty for a listing."""

    backend: str
    program_id: str
    status: int = 0
    body: bytearray = field(default_factory=bytearray)


class AuditState:
    """What is under way.

    Attributes:
      exchanges: By exchange id.
      asked: By ticket.
      releases: Programs whose release waits, by backend server, in order.
      cursors: The last program id asked for, by backend server; the next period goes on after it.
    """

    def __init__(self) -> None:
        self.exchanges: dict[int, AuditExchange] = {}
        self.asked: dict[int, Asked] = {}
        self.releases: dict[str, dict[str, None]] = {}
        self.cursors: dict[str, str] = {}
        self.ticket = 0

    def dump(self) -> dict[str, object]:
        """Returns the state for operators."""
        return {
            "exchanges": len(self.exchanges),
            "asked": len(self.asked),
            "releases_waiting": {name: len(ids) for name, ids in self.releases.items()},
        }

    def in_flight(self, backend: str, *, listing: bool) -> int:
        """Returns how many listings or releases are on their way to a backend server."""
        return sum(
            one.backend == backend and listing == (not one.program_id)
            for one in self.exchanges.values()
        )
