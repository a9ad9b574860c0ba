"""Tests of the JSON lines."""

from __future__ import annotations

import json
import logging
from typing import TYPE_CHECKING

import pytest

from quincespool.logs import configure_logging
from quincespool.logs import write_line

if TYPE_CHECKING:
    from collections.abc import Iterator


@pytest.fixture(autouse=True)
def _root_logger() -> Iterator[None]:
    root = logging.getLogger()
    before = (root.handlers[:], root.level)
    yield
    root.handlers[:], root.level = before


def test_every_line_is_one_json_object(capsys: pytest.CaptureFixture[str]) -> None:
    configure_logging("info", "bole-1", "bole")
    write_line("warning", "stood still", {"gap_ms": 1700, "name": "x", "level": "forged"})
    write_line("debug", "not wanted")
    try:
        raise ValueError("odd")
    except ValueError:
        logging.getLogger("any").exception("failed on %s", "this")
    line, failure = [json.loads(line) for line in capsys.readouterr().err.splitlines()]
    assert line.pop("at_ms") > 0
    common = {"member_id": "bole-1", "zone": "bole"}
    own = {"level": "warning", "message": "stood still", "gap_ms": 1700, "name": "x"}
    assert line == {**common, **own}
    assert (failure["message"], failure["level"]) == ("failed on this", "error")
    assert "ValueError: odd" in failure["exc_info"]
