"""The files that operators hand to the `catalogue` commands."""

from __future__ import annotations

from pathlib import Path

import msgspec

from quincespool.cli.errors import usage_error
from quincespool.core.catalogue.reducer import check_entry


def read_entries(path: str) -> dict[str, dict[str, object] | None]:
    """Reads a file of full names to entries, null for an entry to remove.

    Raises:
      CommandError: with exit code 2, naming the entry and the key at fault.
    """
    try:
        entries = msgspec.convert(_read_json(path), type=dict[str, dict[str, object] | None])
    except msgspec.ValidationError as error:
        raise usage_error(f"{path}: must be one JSON object of entries: {error}") from error
    if not entries:
        raise usage_error(f'{path}: holds no entries; write {{"class/NAME": {{...}}}}')
    faults = [
        f"{name}: {fault}"
        for name, entry in entries.items()
        if entry is not None
        for fault in check_entry(name, entry)
    ]
    if faults:
        more = f" (and {len(faults) - 1} more)" if len(faults) > 1 else ""
        raise usage_error(f"{path}: {faults[0]}{more}")
    return entries


def read_base_versions(path: str) -> dict[str, int]:
    """Reads the versions from a file that `catalogue show --json` wrote.

    Raises:
      CommandError: with exit code 2, if it is none.
    """
    try:
        shown = msgspec.convert(_read_json(path), type=_Shown)
    except msgspec.ValidationError as error:
        raise usage_error(f"{path}: is not the output of `catalogue show --json`") from error
    return {name: entry.version for name, entry in shown.entries.items()}


class _ShownEntry(msgspec.Struct):
    version: int


class _Shown(msgspec.Struct):
    entries: dict[str, _ShownEntry]


def _read_json(path: str) -> object:
    try:
        return msgspec.json.decode(Path(path).read_bytes())
    except OSError as error:
        raise usage_error(f"{path}: cannot be read: {error.strerror}") from error
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise usage_error(f"{path}: is not JSON: {error}") from error
