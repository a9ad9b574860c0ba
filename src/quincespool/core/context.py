"""What a part may see of the rest of its daemon while it handles an event.

Each part is a module with a state class, a factory `make_...`, and

    def reduce(state: ..., context: Context, event: Event) -> Effects

which changes its own state in place, reads the other parts only through this context, tells them
things only by the effect `Raise`, and uses no clock, socket or randomness.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple
from typing import Protocol
from typing import TypedDict

if TYPE_CHECKING:
    from quincespool.core.entries import AccountEntry
    from quincespool.core.entries import BackendEntry
    from quincespool.core.entries import ClassEntry
    from quincespool.core.entries import ServiceEntry
    from quincespool.core.entries import VersionedEntry
    from quincespool.core.members import Member
    from quincespool.core.timers import Timers


class Described(TypedDict):
    """An accepted version of an entry, for auditors."""

    name: str
    version: int
    owner: str
    editor: str


class CatalogueView(Protocol):
    """The accepted catalogue. Names are given without their kind prefix."""

    @property
    def ready(self) -> bool:
        """Whether a catalogue has been read at all."""

    @property
    def version(self) -> int:
        """Offset of the newest accepted edit, -1 for none."""

    def find(self, name: str) -> VersionedEntry | None:
        """Returns the entry with the full name `KIND/NAME`."""

    def class_entry(self, name: str) -> ClassEntry | None:
        """Returns a class entry."""

    def service_entry(self, name: str) -> ServiceEntry | None:
        """Returns a service entry."""

    def account_entry(self, name: str) -> AccountEntry | None:
        """Returns an account entry."""

    def backends(self) -> dict[str, BackendEntry]:
        """Returns all backend entries by name; do not change it."""

    def backends_for(self, target: str) -> list[str]:
        """Returns the sorted names of the backend servers that serve a model or service."""

    def describe(self, name: str, version: int) -> Described | None:
        """Returns who owned an entry in a version, and who published it."""


class MembersView(Protocol):
    """Who is alive, by this daemon's own judgement."""

    @property
    def self_id(self) -> str:
        """This daemon's member id."""

    @property
    def incarnation(self) -> int:
        """This daemon's incarnation."""

    @property
    def settled(self) -> bool:
        """Whether absence from `alive()` means anything yet (just started, just woken)."""

    def alive(self) -> tuple[Member, ...]:
        """Returns the members believed alive, sorted by id, this one included."""

    def find(self, member_id: str) -> Member | None:
        """Returns a member believed alive."""

    def backend_leaving(self, address: str) -> bool:
        """Whether the platform's host list says that this address is leaving."""


class ClaimsView(Protocol):
    """Claims in the log, as far as this daemon follows the streams."""

    def epoch_held(self, resource: str) -> int | None:
        """Returns the epoch if this incarnation holds the resource by a fresh enough ledger."""

    def holder(self, resource: str) -> str | None:
        """Returns who holds a resource by this daemon's ledger, None if free or not followed."""


class Context(NamedTuple):
    """What a part sees besides its own state. `now_ms` is wall-clock milliseconds."""

    now_ms: int
    catalogue: CatalogueView
    members: MembersView
    claims: ClaimsView
    timers: Timers
