"""Mappings that keep the entries which were put last."""

from __future__ import annotations

from quincespool.newest_entries import put_newest


def test_the_entries_put_longest_ago_are_dropped() -> None:
    entries: dict[str, int] = {}
    for number, key in enumerate("abcad"):
        put_newest(entries, key, number, most=3)
    assert list(entries.items()) == [("c", 2), ("a", 3), ("d", 4)]
