"""Looks entries of the catalogue up by kind, kept up to date change by change."""

from __future__ import annotations

from bisect import bisect_left
from bisect import insort
from typing import TYPE_CHECKING
from typing import cast

if TYPE_CHECKING:
    from collections.abc import Mapping

    from quincespool.core.entries import BackendEntry
    from quincespool.core.entries import VersionedEntry

BACKEND_KIND = "backend/"


class CatalogueIndex:
    """The backend servers by name and by what they serve."""

    def __init__(self, entries: Mapping[str, VersionedEntry]) -> None:
        self.backends: dict[str, BackendEntry] = {}
        self._serving: dict[str, list[str]] = {}
        for name, versioned in entries.items():
            self.update(name, versioned)

    def update(self, full_name: str, versioned: VersionedEntry | None) -> None:
        """Takes over the present state of one name, None if it is not in force any more."""
        if not full_name.startswith(BACKEND_KIND):
            return
        name = full_name.removeprefix(BACKEND_KIND)
        old = self.backends.pop(name, None)
        for target in set(old["serves"]) if old else ():
            self._remove(target, name)
        if versioned is None:
            return
        entry = cast("BackendEntry", versioned.entry)
        self.backends[name] = entry
        for target in set(entry["serves"]):
            insort(self._serving.setdefault(target, []), name)

    def backends_for(self, target: str) -> list[str]:
        """Returns the sorted names of the backend servers that serve a model or service."""
        return list(self._serving.get(target, ()))

    def _remove(self, target: str, name: str) -> None:
        names = self._serving[target]
        del names[bisect_left(names, name)]
        if not names:
            del self._serving[target]
