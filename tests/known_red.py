"""Pytest plugin: the tests listed in KNOWN-RED.txt may fail, and only these.

Each line there is `TEST-ID | COMMAND AND SEED | WHAT WAS SEEN | ISSUE`. Such a test still runs, and
the summary prints it with what was seen, as `XFAIL` if it fails and as `XPASS` if its line can go.
The list is short, as its tests are mended first; no fault is left out of it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

import pytest

if TYPE_CHECKING:
    from pathlib import Path

FILE_NAME = "KNOWN-RED.txt"


class KnownRed(NamedTuple):
    """One line of the list."""

    test_id: str
    command: str
    seen: str
    issue: str


def read_known_red(path: Path) -> list[KnownRed]:
    """Returns the list, empty if there is no file.

    Raises:
      pytest.UsageError: if a line is malformed or a test is listed twice.
    """
    if not path.exists():
        return []
    lines = [line for line in path.read_text(encoding="utf-8").splitlines() if line.strip()]
    listed = [_parse(line) for line in lines]
    if len({one.test_id for one in listed}) < len(listed):
        raise pytest.UsageError(f"{FILE_NAME}: a test is listed twice")
    return listed


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Marks the listed tests, and no others, as expected to fail."""
    items_by_id = {item.nodeid: item for item in items}
    for known in read_known_red(config.rootpath / FILE_NAME):
        item = items_by_id.get(known.test_id)
        if item is not None:
            reason = f"{known.seen} ({known.issue})"
            item.add_marker(pytest.mark.xfail(reason=reason, strict=False))
        elif config.args_source is pytest.Config.ArgsSource.TESTPATHS:
            # A line whose test is gone or renamed would let nobody notice that it fails no more.
            raise pytest.UsageError(f"{FILE_NAME}: there is no test {known.test_id}")


def _parse(line: str) -> KnownRed:
    fields = [field.strip() for field in line.split("|")]
    if len(fields) != len(KnownRed._fields) or not all(fields):
        raise pytest.UsageError(f"{FILE_NAME}: not 'TEST-ID | COMMAND | SEEN | ISSUE': {line}")
    return KnownRed(*fields)
