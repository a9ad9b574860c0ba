"""Tests of the JSON lines."""

from __future__ import annotations

import json
import logging
from typing import TYPE_CHECKING

import pytest

from quincespool.logs import configure_logging
from quincespool.logs import write_line

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator
    from typing import Any


@pytest.fixture
def lines(capsys: pytest.CaptureFixture[str]) -> Iterator[Callable[[], list[dict[str, Any]]]]:
    root = logging.getLogger()
    before = (root.handlers[:], root.level)
    yield lambda: [json.loads(line) for line in capsys.readouterr().err.splitlines()]
    root.handlers[:], root.level = before


def test_a_line_has_the_common_fields_and_its_own(
    lines: Callable[[], list[dict[str, Any]]],
) -> None:
    configure_logging("info", "bole-1", "bole")
    write_line("warning", "stood still", {"gap_ms": 1700, "name": "x", "level": "forged"})
    write_line("debug", "not wanted")
    (line,) = lines()
    assert line.pop("at_ms") > 0
    assert line == {
        "level": "warning",
        "message": "stood still",
        "member_id": "bole-1",
        "zone": "bole",
        "gap_ms": 1700,
        "name": "x",
    }


def test_a_traceback_stays_on_its_line(lines: Callable[[], list[dict[str, Any]]]) -> None:
    configure_logging("info", "bole-1", "bole")
    try:
        raise ValueError("odd")
    except ValueError:
        logging.getLogger("any").exception("failed on %s", "this")
    (line,) = lines()
    assert (line["message"], line["level"]) == ("failed on this", "error")
    assert "ValueError: odd" in line["exc_info"]
