"""Mappings that keep the entries which were put last."""

from __future__ import annotations

from typing import TypeVar

K = TypeVar("K")
V = TypeVar("V")


def put_newest(entries: dict[K, V], key: K, value: V, *, most: int) -> None:
    """Puts an entry last, and drops the first ones beyond `most`."""
    entries.pop(key, None)
    while len(entries) >= most:
        del entries[next(iter(entries))]
    entries[key] = value
