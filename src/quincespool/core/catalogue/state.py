"""The catalogue as one daemon holds it: what is in force here, and how far it has been read."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple
from typing import TypedDict
from typing import cast

from quincespool.core.catalogue.checkpoint import CheckpointCollector
from quincespool.core.catalogue.checkpoint import load_state
from quincespool.core.catalogue.fold import NO_VERSION
from quincespool.core.catalogue.fold import CatalogueFold
from quincespool.core.catalogue.index import CatalogueIndex

if TYPE_CHECKING:
    from quincespool.core.catalogue.checkpoint import CheckpointWrite
    from quincespool.core.catalogue.checkpoint import Completed
    from quincespool.core.catalogue.fold import EditResult
    from quincespool.core.entries import AccountEntry
    from quincespool.core.entries import BackendEntry
    from quincespool.core.entries import ClassEntry
    from quincespool.core.entries import ServiceEntry
    from quincespool.core.entries import VersionedEntry
    from quincespool.core.events import LogRecord

# A host that has not heard from the log for so long asks its peers as well.
ASK_AFTER_LAG_MS = 5_000
# The promise: an accepted configuration is in force everywhere within this time.
STALE_AFTER_LAG_MS = 15_000


class Described(TypedDict):
    """An accepted version of an entry, for auditors."""

    name: str
    version: int
    owner: str
    editor: str


class Gap(NamedTuple):
    """Records read although the ones before `start` have expired unread.

    They cannot be applied until a checkpoint bridges the gap.
    """

    start: int
    records: list[LogRecord]

    @property
    def next_offset(self) -> int:
        """The offset to read next."""
        return self.start + len(self.records)


class PendingWrite(NamedTuple):
    """A checkpoint under way, one part in flight at a time.

    Attributes:
      write: The parts.
      part: The part in flight, -1 for none yet.
      append_id: Its append.
      retry_at_ms: When to append it again if it has not been read back by then.
    """

    write: CheckpointWrite
    part: int
    append_id: int
    retry_at_ms: int


class CatalogueState:
    """Slice of the daemon's state; a `CatalogueView` to the other parts."""

    def __init__(self, member_id: str) -> None:
        self.member_id = member_id
        self.fold = CatalogueFold()
        self.gap: Gap | None = None
        self.collector = CheckpointCollector()
        self.log_unreachable = False
        self.last_end_read_ms: int | None = None
        self.publish_at_ms: int | None = None
        self.ask_round = 0
        self.asked_at_ms: int | None = None
        self.write: PendingWrite | None = None
        self.next_append = 0
        self.last_checkpoint_as_of = 0
        self.last_checkpoint_at_ms: int | None = None
        self._index: CatalogueIndex | None = None
        self._checkpoint: tuple[int, bytes] | None = None

    @property
    def ready(self) -> bool:
        """Whether a catalogue is in force here.

        A newcomer that replays the log goes through old configurations; it shows none of them
        before it has reached the end, else an accepted edit would seem to revert at this host.
        """
        return self._index is not None

    @property
    def version(self) -> int:
        """Offset of the newest accepted edit in force here, -1 for none."""
        return self.fold.version if self.ready else NO_VERSION

    @property
    def next_offset(self) -> int:
        """The offset of the stream to read next."""
        return self.gap.next_offset if self.gap else self.fold.next_offset

    def find(self, name: str) -> VersionedEntry | None:
        """Returns the entry with the full name `KIND/NAME`."""
        return self.fold.find(name) if self.ready else None

    def class_entry(self, name: str) -> ClassEntry | None:
        """Returns a class entry."""
        found = self.find(f"class/{name}")
        return cast("ClassEntry", found.entry) if found else None

    def service_entry(self, name: str) -> ServiceEntry | None:
        """Returns a service entry."""
        found = self.find(f"service/{name}")
        return cast("ServiceEntry", found.entry) if found else None

    def account_entry(self, name: str) -> AccountEntry | None:
        """Returns an account entry."""
        found = self.find(f"account/{name}")
        return cast("AccountEntry", found.entry) if found else None

    def backends(self) -> dict[str, BackendEntry]:
        """Returns all backend entries by name; do not change it."""
        return self._index.backends if self._index else {}

    def backends_for(self, target: str) -> list[str]:
        """Returns the sorted names of the backend servers that serve a model or service."""
        return self._index.backends_for(target) if self._index else []

    def owner_of(self, name: str) -> str:
        """Returns the owner of the newest version of a name, empty if it was never in force."""
        history = self.fold.history(name) if self.ready else []
        return history[-1].owner if history else ""

    def describe(self, name: str, version: int) -> Described | None:
        """Returns who owned and who edited a version, None if it is unknown or too old."""
        for item in self.fold.history(name) if self.ready else ():
            if item.version == version:
                return Described(name=name, version=version, owner=item.owner, editor=item.editor)
        return None

    def lag_ms(self, now_ms: int) -> int:
        """Returns the time since the stream was last read to its end, -1 if it never was."""
        if self.last_end_read_ms is None:
            return -1
        return max(0, now_ms - self.last_end_read_ms)

    def needs_peers(self, now_ms: int) -> bool:
        """Whether the log alone does not keep this host up to date."""
        lag_ms = self.lag_ms(now_ms)
        return not self.ready or self.gap is not None or not 0 <= lag_ms <= ASK_AFTER_LAG_MS

    def dump(self, now_ms: int) -> dict[str, object]:
        """Returns the state for operators."""
        lag_ms = self.lag_ms(now_ms)
        return {
            "ready": self.ready,
            "version": self.version,
            "next_offset": self.next_offset,
            "lag_ms": lag_ms,
            "stale": self.ready and not 0 <= lag_ms <= STALE_AFTER_LAG_MS,
            "log_unreachable": self.log_unreachable,
            "waiting_for_checkpoint": self.gap is not None,
            "entries": len(self.fold.entries()) if self.ready else 0,
            "backends": len(self.backends()),
            "last_checkpoint_as_of": self.last_checkpoint_as_of,
            "writing_checkpoint": self.write is not None,
        }

    def apply(self, record: LogRecord) -> EditResult | None:
        """Applies the next record while there is no gap."""
        result = self.fold.apply(record.offset, record.body)
        if result and result.accepted and not result.repeated and self._index:
            for name in result.names:
                self._index.update(name, self.fold.find(name))
        return result

    def open_gap(self, earliest_offset: int) -> None:
        """The records from `next_offset` to `earliest_offset` are lost to this reader."""
        self.gap = Gap(start=earliest_offset, records=[])
        self.collector.clear()
        self.write = None

    def bridge_gap(self, completed: Completed) -> set[str] | None:
        """Puts a checkpoint and the records read since in place of what was held.

        Returns:
          The names that changed for the other parts, None if the checkpoint does not fit.
        """
        gap = self.gap
        if gap is None or completed.key.as_of < max(gap.start, self.fold.next_offset):
            return None
        fold = load_state(completed.state, next_offset=completed.key.as_of)
        if fold is None:
            return None
        for record in gap.records:
            if record.offset >= fold.next_offset:
                fold.apply(record.offset, record.body)
        return self.replace(fold)

    def replace(self, fold: CatalogueFold) -> set[str]:
        """Goes on from a newer state; returns the names that changed for the other parts."""
        old = self.fold.entries()
        new = fold.entries()
        self.fold = fold
        self.gap = None
        self.collector.clear()
        if not self.ready:
            return set()
        self._index = CatalogueIndex(new)
        return {name for name in old.keys() | new.keys() if old.get(name) != new.get(name)}

    def publish(self) -> set[str]:
        """Brings what is held into force here; returns the names that this adds."""
        self.publish_at_ms = None
        self._index = CatalogueIndex(self.fold.entries())
        return set(self.fold.entries())

    def checkpoint(self) -> tuple[int, bytes]:
        """Returns `(as_of, state)` of what is held, made anew only when that has moved.

        A rack of newcomers asks within a second; compressing anew for each would stall the loop.
        """
        if self._checkpoint is None or self._checkpoint[0] != self.fold.next_offset:
            self._checkpoint = (self.fold.next_offset, self.fold.to_checkpoint())
        return self._checkpoint
