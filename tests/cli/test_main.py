"""Tests of the command line as a whole: usage, help and exit codes."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

if TYPE_CHECKING:
    from tests.cli.conftest import Cli
    from tests.cli.conftest import OperatorPaths


@pytest.mark.parametrize(
    ("line", "names"),
    [
        ("bogus", "bogus"),
        ("drain", "daemon"),
        ("drain --daemon nonsense", "--daemon"),
        ("where --daemon 127.0.0.1:1 --wrong 3", "--wrong"),
        ("check", "settings"),
        ("end or?der --daemon 127.0.0.1:1", "or?der"),
        ("catalogue show --log 1.2.3.4", "--log"),
    ],
)
def test_wrong_usage_is_one_line_that_names_the_fault(cli: Cli, line: str, names: str) -> None:
    result = cli(*line.split())
    assert (result.code, result.out, result.err.count("\n")) == (2, "", 1)
    assert names in result.err


@pytest.mark.parametrize(
    "command",
    ["", "serve", "check", "where", "dump", "audit", "drain", "end", "catalogue publish"],
)
def test_help_has_examples(cli: Cli, command: str) -> None:
    result = cli(*command.split(), "--help")
    assert result.code == 0
    assert f"quincespool {command}" in result.out.split("Examples:")[1]
    assert "fire" not in result.out.lower()


def test_a_line_with_a_typo_does_nothing(cli: Cli, daemon: OperatorPaths) -> None:
    """A mistyped command acts all the same.

    Symptom: a daemon drains although the command said "wrong usage". Events: an operator types one
    word too many. Cause: fire calls a function as soon as it has the arguments it needs.
    """
    assert cli("drain", "--daemon", daemon.address, "extra").code == 2
    assert daemon.asked == []


def test_a_daemon_that_is_not_there_is_one_line(cli: Cli) -> None:
    result = cli("dump", "--daemon", "127.0.0.1:1")
    assert (result.code, result.err.count("\n")) == (1, 1)
    assert "127.0.0.1:1" in result.err
