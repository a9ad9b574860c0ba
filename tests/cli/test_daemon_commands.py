"""Tests of the commands that ask one daemon."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

import pytest

if TYPE_CHECKING:
    from tests.cli.conftest import Cli
    from tests.cli.conftest import OperatorPaths

REFUSAL = {
    "error": {"message": "the log is out", "code": "log_out", "verdict": "not_run", "type": "x"}
}
PLACE = {"address": "127.0.0.1:9", "member": "a", "zone": "bole", "good_for_ms": 5000}
AUDIT = {
    "outcome": "p/1",
    "entry": {"name": "class/stock", "version": 7, "owner": "buyers"},
    "steps": [{"offset": 12, "kind": "opened"}],
}


CASES = [
    ("where", "GET /v1/where", PLACE, "127.0.0.1:9 (a in bole), good for 5000 ms"),
    ("where --program 1_0/x", "GET /v1/where?program=1_0/x", PLACE, "good for 5000 ms"),
    ("dump", "GET /v1/dump", {"ready": True, "members": ["a"]}, "members:\n  - a"),
    ("audit p:1", "GET /v1/audit/p%3A1", AUDIT, "steps:\n  - offset: 12\n    kind: opened\n"),
    ("drain", "POST /v1/drain", {}, "is draining"),
    ("end 1_0/x", "POST /v1/programs/1_0/x/end", {}, "1_0/x has ended"),
]


@pytest.mark.parametrize("case", CASES, ids=lambda case: str(case[0]))
def test_a_command_asks_and_prints(
    cli: Cli, daemon: OperatorPaths, case: tuple[str, str, object, str]
) -> None:
    line, asked, answer, shown = case
    daemon.answers[asked] = (200, answer)
    result = cli(*line.split(), "--daemon", daemon.address)
    assert (result.code, result.err, daemon.asked) == (0, "", [asked])
    assert shown in result.out
    if asked.startswith("GET"):
        printed = cli(*line.split(), "--daemon", daemon.address, "--json").out
        assert json.loads(printed) == answer


def test_a_refusal_gives_reason_and_verdict(cli: Cli, daemon: OperatorPaths) -> None:
    daemon.answers["POST /v1/programs/p1/end"] = (503, REFUSAL)
    result = cli("end", "p1", "--daemon", daemon.address)
    assert result.code == 1
    assert "the log is out (log_out), not_run" in result.err


def test_an_answer_of_another_shape_is_one_line(cli: Cli, daemon: OperatorPaths) -> None:
    daemon.answers["GET /v1/where"] = (200, {"address": 5})
    result = cli("where", "--daemon", daemon.address)
    assert (result.code, result.err.count("\n")) == (1, 1)
