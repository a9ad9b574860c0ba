"""From the logs of daemons to causes."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from quincespool.cli.main import run
from quincespool.explain.log_lines import read_lines
from quincespool.explain.story import tell
from quincespool.explain.timeline import make_timeline

if TYPE_CHECKING:
    from pathlib import Path

    import pytest


def _line(at_ms: int, member_id: str, message: str, **fields: object) -> str:
    record = {"at_ms": at_ms, "member_id": member_id, "message": message, **fields}
    return msgspec.json.encode(record).decode()


LOG = [
    _line(100, "a", "store lost", status="503"),
    _line(1_500, "b", "store lost", status="503"),
    _line(2_000, "a", "sent", call_id="c1", backend_id="e1"),
    "collected 12.5 a " + _line(2_100, "a", "turn ended", call_id="c1", took_ms=90, record_ms=7),
    _line(2_110, "b", "call answered", call_id="c1", served_by="a", outcome="whole"),
    _line(4_000, "b", "call answered", call_id="c2", program_id="p", outcome="no_owner"),
    "no line of a daemon",
    '{"at_ms": "soon", "message": "odd"}',
    '{"at_ms": 5, "message"',
]


def test_what_is_no_line_of_a_daemon_is_passed_over() -> None:
    lines = list(read_lines(LOG))
    assert [line.at_ms for line in lines] == [100, 1_500, 2_000, 2_100, 2_110, 4_000]
    assert lines[3].number("took_ms") == 90
    assert lines[0].text("call_id") == ""


def test_a_story_has_what_may_explain_it() -> None:
    story = tell(list(read_lines(LOG)), call_id="c1")
    assert [(line.member_id, line.message) for line in story] == [
        ("b", "store lost"),
        ("a", "sent"),
        ("a", "turn ended"),
        ("b", "call answered"),
    ]
    assert [line.text("outcome") for line in tell(list(read_lines(LOG)), program_id="p")] == [
        "no_owner"
    ]
    assert tell(list(read_lines(LOG)), call_id="unknown") == []


def test_a_timeline_counts_outcomes_and_durations() -> None:
    spans = make_timeline(list(read_lines(LOG)), step_ms=1_000)
    assert [span.from_ms for span in spans] == [100, 1_100, 2_100, 3_100]
    assert spans[0].around == {"store lost": 1}
    assert spans[2].outcomes == {"whole": 1}
    assert spans[2].took_ms == (90, 90)
    assert spans[3].outcomes == {"no_owner": 1}
    assert make_timeline([], step_ms=10) == []


def test_the_command_tells_draws_and_complains(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    log = tmp_path / "a.log"
    log.write_text("\n".join(LOG))
    assert run(["explain", str(log), "--call", "c1"]) == 0
    assert "turn ended" in capsys.readouterr().out
    picture = tmp_path / "day.png"
    assert run(["explain", str(log), "--step_ms", "500", "--picture", str(picture)]) == 0
    assert "no_owner:1" in capsys.readouterr().out
    assert picture.read_bytes().startswith(b"\x89PNG")

    assert run(["explain", str(log), "--call", "unknown"]) == 1
    assert run(["explain", str(tmp_path / "none.log")]) == 1
    assert run(["explain"]) == 2
    assert run(["explain", str(log), "--step_ms", "0"]) == 2
