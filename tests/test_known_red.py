"""Tests of the plugin that lets known failures pass."""

from __future__ import annotations

import pytest

pytest_plugins = ["pytester"]

RED = "test_suite.py::test_red | pytest, no seed | why | #1"


@pytest.fixture
def suite(pytester: pytest.Pytester) -> pytest.Pytester:
    pytester.makepyfile(
        test_suite="def test_red(): assert False\n\ndef test_red_too(): assert False\n"
    )
    pytester.makeini("[pytest]\ntestpaths = .\naddopts = -ra\n")
    return pytester


def run(suite: pytest.Pytester, *lines: str) -> pytest.RunResult:
    (suite.path / "KNOWN-RED.txt").write_text("\n".join(lines) + "\n", encoding="utf-8")
    return suite.runpytest("-p", "tests.known_red")


def test_a_listed_failure_is_printed_and_passes(suite: pytest.Pytester) -> None:
    too = "test_suite.py::test_red_too | pytest, seed 3 | because | #2"
    result = run(suite, RED, too)
    assert result.ret == pytest.ExitCode.OK
    result.assert_outcomes(xfailed=2)
    result.stdout.fnmatch_lines(["XFAIL test_suite.py::test_red - why (#1)*"])


def test_only_the_listed_test_may_fail(suite: pytest.Pytester) -> None:
    """A new failure goes unnoticed.

    Symptom: CI is green although a test fails. Events: a test is listed, another one whose id
    starts with the listed id breaks. Cause: ids were compared by their beginning.
    """
    result = run(suite, RED)
    assert result.ret == pytest.ExitCode.TESTS_FAILED
    result.assert_outcomes(xfailed=1, failed=1)


@pytest.mark.parametrize(
    "lines",
    [
        ["test_suite.py::test_gone | pytest, no seed | why | #1"],
        ["test_suite.py::test_red"],
        ["test_suite.py::test_red | why | #1"],
        [RED] * 2,
        [RED] * 4,
    ],
)
def test_a_wrong_list_is_refused(suite: pytest.Pytester, lines: list[str]) -> None:
    assert run(suite, *lines).ret == pytest.ExitCode.USAGE_ERROR
