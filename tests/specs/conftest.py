"""Fixtures that run a specification, and a summary of the state counts."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import pytest
from specs.checking import explore
from specs.checking import refute

if TYPE_CHECKING:
    from collections.abc import Callable

    from specs.checking import Specification

    Record = Callable[[str, object], None]


@pytest.fixture
def prove(record_property: Record) -> Callable[[Specification[Any]], None]:
    """Asserts that all rules hold in all reachable states and that every sight is reachable."""

    def run(specification: Specification[Any]) -> None:
        result = explore(specification)
        record_property("states", result.states)
        assert result.exhaustive
        assert result.refuted == {}
        assert result.unseen == []

    return run


@pytest.fixture
def counterexample(record_property: Record) -> Callable[[Specification[Any], str], list[str]]:
    """Asserts that a rule does not hold; returns the steps of a shortest counterexample."""

    def run(specification: Specification[Any], rule: str) -> list[str]:
        result = refute(specification, rule)
        record_property("states", result.states)
        assert rule in result.refuted, f"holds in {result.states} states"
        record_property("counterexample_steps", len(result.refuted[rule]))
        return result.refuted[rule]

    return run


def pytest_terminal_summary(terminalreporter: Any) -> None:
    """Prints what each run of the model checker covered."""
    reports = [r for r in terminalreporter.stats.get("passed", []) if r.user_properties]
    if reports:
        terminalreporter.section("model checker")
    for report in reports:
        found = ", ".join(f"{name} {value}" for name, value in report.user_properties)
        terminalreporter.line(f"{report.nodeid.split('::')[-1]}: {found}")
