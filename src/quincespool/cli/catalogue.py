"""`quincespool catalogue`: publishes and shows the entries that drive the scheduler."""

from __future__ import annotations

import getpass
import uuid
from typing import TYPE_CHECKING

from quincespool.cli.catalogue_files import read_base_versions
from quincespool.cli.catalogue_files import read_entries
from quincespool.cli.catalogue_reader import CatalogueReader
from quincespool.cli.client import check_address
from quincespool.cli.command import command
from quincespool.cli.errors import CommandError
from quincespool.cli.errors import usage_error
from quincespool.cli.output import print_json
from quincespool.cli.output import print_tree
from quincespool.cli.publish import describe_loss
from quincespool.cli.publish import publish_edit

if TYPE_CHECKING:
    from quincespool.core.catalogue.fold import Change
    from quincespool.core.catalogue.fold import EditRecord
    from quincespool.core.catalogue.fold import EditResult

TIME_LIMIT_S = 30.0


@command("file", "log", "base", "editor", "edit_id")
def publish(
    file: str,
    *,
    log: str,
    base: str = "",
    editor: str = "",
    edit_id: str = "",
    time_limit_s: float = TIME_LIMIT_S,
) -> int:
    """Publishes the entries in a file as one edit: all of them are accepted, or none.

    The edit is accepted if every entry still has the version that the edit was made from. If
    another edit came first, this one is lost: the command says to whom and exits with 1.

    Examples:
      quincespool catalogue publish entries.json --log 10.0.0.1:7000
      quincespool catalogue show --json --log 10.0.0.1:7000 > base.json
      quincespool catalogue publish entries.json --base base.json --log 10.0.0.1:7000

    Args:
      file: JSON object of full names (class/stock) to entries; null removes an entry.
      log: IP:PORT of the log service.
      base: Output of `catalogue show --json` that the file was made from. Without it, the edit is
        based on what is in force now.
      editor: Who publishes; the login name if left out.
      edit_id: The id of an earlier edit whose verdict is not known: publish it only if need be.
      time_limit_s: How long to go on trying while the log service is out of service.
    """
    if not isinstance(time_limit_s, int | float):
        raise usage_error(f"--time_limit_s: {time_limit_s!r} is not a number of seconds")
    entries = read_entries(file)
    base_versions = read_base_versions(base) if base else None
    reader = _read(log)
    verdict = reader.fold.verdict(edit_id) if edit_id else None
    if verdict is None:
        changes = _changes(reader, entries, base_versions)
        if not changes:
            print("nothing to publish: all of this is in force already")
            return 0
        edit: EditRecord = {
            "kind": "edit",
            "edit_id": edit_id or uuid.uuid4().hex,
            "editor": editor or _login_name(),
            "changes": changes,
        }
        verdict = publish_edit(reader, edit, time_limit_s=time_limit_s)
    return _report(verdict)


@command("name", "log")
def show(name: str = "", *, log: str, json: bool = False) -> int:
    """Shows the entries in force with their versions.

    Examples:
      quincespool catalogue show --log 10.0.0.1:7000
      quincespool catalogue show class/stock --log 10.0.0.1:7000

    Args:
      name: Full name of one entry; all of them if left out.
      log: IP:PORT of the log service.
      json: Print JSON, as `publish --base` takes it.
    """
    reader = _read(log)
    found = {
        each: {"version": versioned.version, "entry": versioned.entry}
        for each, versioned in sorted(reader.fold.entries().items())
        if name in ("", each)
    }
    if name and not found:
        raise CommandError(f"{name} is not in the catalogue; `catalogue show` lists what is")
    if json:
        print_json({"as_of": reader.fold.next_offset, "entries": found})
    elif name:
        print_tree(found)
    else:
        for each, versioned in sorted(reader.fold.entries().items()):
            print(f"{each}  version {versioned.version}  owner {versioned.entry['owner']}")
    return 0


@command("file", "log")
def diff(file: str, *, log: str) -> int:
    """Shows what publishing a file would change now, without publishing it.

    Examples:
      quincespool catalogue diff entries.json --log 10.0.0.1:7000

    Args:
      file: JSON object of full names to entries, as for `publish`.
      log: IP:PORT of the log service.
    """
    entries = read_entries(file)
    reader = _read(log)
    changes = _changes(reader, entries, None)
    for change in changes:
        _print_change(reader, change)
    if not changes:
        print("no changes: all of this is in force already")
    return 0


@command("name", "log")
def history(name: str = "", *, log: str, json: bool = False) -> int:
    """Lists the accepted versions of an entry, or all edits that the log still keeps.

    Examples:
      quincespool catalogue history class/stock --log 10.0.0.1:7000
      quincespool catalogue history --log 10.0.0.1:7000

    Args:
      name: Full name of one entry; all edits, also those that were not accepted, if left out.
      log: IP:PORT of the log service.
      json: Print JSON.
    """
    reader = _read(log)
    items = reader.fold.history(name)
    if name and not items:
        raise CommandError(f"{name} has never been in the catalogue")
    if json:
        print_json(items if name else reader.edits)
        return 0
    for item in items:
        act = "removed" if item.removed else "set"
        print(f"version {item.version}  {act} by {item.editor}  owner {item.owner}")
    for edit in reader.edits if not name else ():
        print(f"offset {edit.version}  {_verdict_text(edit)}  by {edit.editor}  {edit.edit_id}")
    return 0


class CatalogueCommands:
    """Publishes and shows the entries that drive the scheduler.

    Examples:
      quincespool catalogue publish entries.json --log 10.0.0.1:7000
      quincespool catalogue show class/stock --log 10.0.0.1:7000
    """

    publish = staticmethod(publish)
    show = staticmethod(show)
    diff = staticmethod(diff)
    history = staticmethod(history)


def _read(log: str) -> CatalogueReader:
    reader = CatalogueReader(check_address(log, flag="log"))
    reader.advance()
    return reader


def _changes(
    reader: CatalogueReader,
    entries: dict[str, dict[str, object] | None],
    base_versions: dict[str, int] | None,
) -> list[Change]:
    """Returns the changes that make `entries` come into force."""
    changes: list[Change] = []
    for name, entry in entries.items():
        in_force = reader.fold.find(name)
        if entry == (in_force.entry if in_force else None):
            continue
        base_version = reader.fold.version_of(name)
        if base_versions is not None:
            base_version = base_versions.get(name, -1)
        changes.append({"name": name, "base_version": base_version, "entry": entry})
    return changes


def _login_name() -> str:
    try:
        return getpass.getuser()
    except (OSError, KeyError) as error:
        raise usage_error("this account has no login name; say who you are by --editor") from error


def _report(verdict: EditResult) -> int:
    if verdict.accepted:
        print(f"accepted as version {verdict.version}: {', '.join(verdict.names)}")
        return 0
    if verdict.faults:
        raise CommandError(f"refused: {'; '.join(verdict.faults)}")
    losses = "; ".join(describe_loss(lost_to) for lost_to in verdict.lost_to)
    raise CommandError(f"lost, nothing was changed: {losses}; look at it and publish again")


def _verdict_text(edit: EditResult) -> str:
    if edit.accepted:
        return f"accepted: {', '.join(edit.names)}"
    if edit.faults:
        return f"void: {'; '.join(edit.faults)}"
    return f"lost: {', '.join(lost_to.name for lost_to in edit.lost_to)}"


def _print_change(reader: CatalogueReader, change: Change) -> None:
    in_force = reader.fold.find(change["name"])
    old: dict[str, object] = {**in_force.entry} if in_force else {}
    new = change["entry"] or {}
    act = "add" if not old else "change" if new else "remove"
    print(f"{act} {change['name']} (from version {change['base_version']})")
    for key in sorted(old.keys() | new.keys()):
        if old.get(key) == new.get(key):
            continue
        if key in old:
            print(f"  - {key}: {old[key]}")
        if key in new:
            print(f"  + {key}: {new[key]}")
