"""The state machine over the log's `catalogue` stream: which edits count, and what is in force.

Daemons and the command line apply the same records in the same order and so come to the same
verdicts. An edit is accepted if and only if every change names the version in force where the
record stands and every entry is valid; an entry's version is the offset of the accepted record.
"""

from __future__ import annotations

import zlib
from typing import Literal
from typing import NamedTuple
from typing import TypedDict
from typing import cast

import msgspec

from quincespool.core.catalogue.check import check_entry
from quincespool.core.entries import Entry
from quincespool.core.entries import VersionedEntry

NO_VERSION = -1
MAX_HISTORY = 32
MAX_VERDICTS = 2048
MAX_TEXT_LENGTH = 200
MAX_CHECKPOINT_BYTES = 256_000_000


class Change(TypedDict):
    """One change of an edit; `entry` null removes. The key may not be left out."""

    name: str
    base_version: int
    entry: dict[str, object] | None


class EditRecord(TypedDict):
    """Body of an edit in the stream."""

    kind: Literal["edit"]
    edit_id: str
    editor: str
    changes: list[Change]


class LostTo(NamedTuple):
    """What stood in the way of a change: the version in force and who made it."""

    name: str
    version: int
    editor: str
    owner: str


class EditResult(NamedTuple):
    """The verdict on one edit.

    Attributes:
      edit_id: As the editor chose it.
      accepted: Whether all its changes are in force from its record on.
      version: Offset of the record that decided it (of the first one, if it was repeated).
      editor: Who made it.
      names: Full names of the entries it changes.
      faults: Why it is invalid, if it is.
      lost_to: The newer versions that it was not made from, if any.
      repeated: Whether this record only repeats an earlier one.
    """

    edit_id: str
    accepted: bool
    version: int
    editor: str
    names: tuple[str, ...]
    faults: tuple[str, ...] = ()
    lost_to: tuple[LostTo, ...] = ()
    repeated: bool = False


class HistoryItem(NamedTuple):
    """One accepted version of a name; `owner` of a removal is the owner of what it removed."""

    version: int
    editor: str
    owner: str
    removed: bool


class _Slot(NamedTuple):
    """The newest state of one name; it outlives the entry's removal."""

    entry: dict[str, object] | None
    history: list[HistoryItem]


class _State(NamedTuple):
    """What a checkpoint holds, as a JSON array in this order."""

    next_offset: int
    version: int
    slots: dict[str, _Slot]
    verdicts: list[EditResult]


class CheckpointError(Exception):
    """A checkpoint cannot be read."""


class CatalogueFold:
    """The catalogue after a prefix of its stream."""

    def __init__(self) -> None:
        self.next_offset = 0
        self.version = NO_VERSION
        self._slots: dict[str, _Slot] = {}
        self._entries: dict[str, VersionedEntry] = {}
        self._verdicts: dict[str, EditResult] = {}

    def apply(self, offset: int, body: bytes) -> EditResult | None:
        """Applies the record at `offset`, at or after `next_offset`.

        Returns:
          The verdict if the record is an edit, None if it is anything else or malformed.
        """
        self.next_offset = offset + 1
        edit = _decode_edit(body)
        if edit is None:
            return None
        first = self._verdicts.get(edit["edit_id"])
        if first is not None:
            return first._replace(repeated=True)

        result = self._judge(offset, edit)
        if result.accepted:
            self._accept(offset, edit)
        self._remember(result)
        return result

    def find(self, name: str) -> VersionedEntry | None:
        """Returns the entry in force under a full name."""
        return self._entries.get(name)

    def entries(self) -> dict[str, VersionedEntry]:
        """Returns all entries in force by full name; do not change it."""
        return self._entries

    def version_of(self, name: str) -> int:
        """Returns the version that the next edit of `name` must be based on.

        That of its removal if it has been removed, -1 if the name has never been in force.
        """
        slot = self._slots.get(name)
        return slot.history[-1].version if slot else NO_VERSION

    def history(self, name: str) -> list[HistoryItem]:
        """Returns the newest `MAX_HISTORY` accepted versions of a name, oldest first."""
        slot = self._slots.get(name)
        return list(slot.history) if slot else []

    def verdict(self, edit_id: str) -> EditResult | None:
        """Returns the verdict on one of the newest `MAX_VERDICTS` edits."""
        return self._verdicts.get(edit_id)

    def to_checkpoint(self) -> bytes:
        """Returns the whole state: compressed JSON, about a tenth of its plain size."""
        state = _State(
            next_offset=self.next_offset,
            version=self.version,
            slots=self._slots,
            verdicts=list(self._verdicts.values()),
        )
        return zlib.compress(msgspec.json.encode(state), 3)

    @classmethod
    def from_checkpoint(cls, data: bytes) -> CatalogueFold:
        """Rebuilds the state that `to_checkpoint` gave.

        Raises:
          CheckpointError: if `data` is not one.
        """
        try:
            state = msgspec.json.decode(_decompress(data), type=_State)
        except (msgspec.DecodeError, zlib.error, RecursionError) as error:
            raise CheckpointError(str(error)) from error
        if any(not slot.history for slot in state.slots.values()):
            raise CheckpointError("a name has no history")
        fold = cls()
        fold.next_offset = state.next_offset
        fold.version = state.version
        fold._slots = dict(state.slots)
        fold._entries = {
            name: _versioned(name, slot) for name, slot in state.slots.items() if slot.entry
        }
        fold._verdicts = {result.edit_id: result for result in state.verdicts}
        return fold

    def _judge(self, offset: int, edit: EditRecord) -> EditResult:
        names = tuple(change["name"] for change in edit["changes"])
        faults = _check_edit(edit)
        lost_to = () if faults else tuple(self._conflicts(edit))
        if not faults and not lost_to:
            faults = self._empty_removals(edit)
        return EditResult(
            edit_id=edit["edit_id"],
            accepted=not faults and not lost_to,
            version=offset,
            editor=edit["editor"],
            names=() if faults else names,
            faults=tuple(faults),
            lost_to=lost_to,
        )

    def _conflicts(self, edit: EditRecord) -> list[LostTo]:
        found = []
        for change in edit["changes"]:
            name = change["name"]
            if change["base_version"] == self.version_of(name):
                continue
            slot = self._slots.get(name)
            newest = slot.history[-1] if slot else HistoryItem(NO_VERSION, "", "", removed=True)
            found.append(LostTo(name, newest.version, newest.editor, newest.owner))
        return found

    def _empty_removals(self, edit: EditRecord) -> list[str]:
        return [
            f"{change['name'][:MAX_TEXT_LENGTH]}: is not in force, so it cannot be removed"
            for change in edit["changes"]
            if change["entry"] is None and change["name"] not in self._entries
        ]

    def _accept(self, offset: int, edit: EditRecord) -> None:
        self.version = offset
        for change in edit["changes"]:
            name = change["name"]
            entry = change["entry"]
            old = self._slots.get(name)
            history = old.history if old else []
            owner = str(entry["owner"]) if entry else history[-1].owner
            item = HistoryItem(offset, edit["editor"], owner, removed=entry is None)
            slot = _Slot(entry, [*history[-(MAX_HISTORY - 1) :], item])
            self._slots[name] = slot
            self._entries.pop(name, None)
            if entry:
                self._entries[name] = _versioned(name, slot)

    def _remember(self, result: EditResult) -> None:
        # Forgetting a verdict changes nothing in force: a repeat names base versions that have
        # been superseded since, by the edit itself if it was accepted. Only its verdict differs.
        self._verdicts[result.edit_id] = result
        if len(self._verdicts) > MAX_VERDICTS:
            del self._verdicts[next(iter(self._verdicts))]


def _decode_edit(body: bytes) -> EditRecord | None:
    try:
        edit = msgspec.json.decode(body, type=EditRecord)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        # Anybody can append anything; one bad record that stopped the fold would freeze the
        # catalogue of every daemon for good, visible as a growing lag everywhere at once.
        return None
    if not 0 < len(edit["edit_id"]) <= MAX_TEXT_LENGTH:
        return None
    return edit


def _check_edit(edit: EditRecord) -> list[str]:
    faults = []
    if not 0 < len(edit["editor"].strip()) <= MAX_TEXT_LENGTH:
        faults.append(f"editor: must be 1 to {MAX_TEXT_LENGTH} characters")
    if not edit["changes"]:
        faults.append("changes: must not be empty")
    seen: set[str] = set()
    for change in edit["changes"]:
        name = change["name"]
        if name in seen:
            faults.append(f"{name}: changed twice in one edit")
        seen.add(name)
        if change["entry"] is None:
            continue
        faults += [f"{name}: {fault}" for fault in check_entry(name, change["entry"])]
    # Kept in memory and in checkpoints, so an edit of garbage must not make it large.
    return [fault[:MAX_TEXT_LENGTH] for fault in faults[:10]]


def _versioned(name: str, slot: _Slot) -> VersionedEntry:
    return VersionedEntry(name, slot.history[-1].version, cast("Entry", slot.entry))


def _decompress(data: bytes) -> bytes:
    reader = zlib.decompressobj()
    plain = reader.decompress(data, MAX_CHECKPOINT_BYTES)
    if not reader.eof:
        raise zlib.error("cut short or too large")
    return plain
