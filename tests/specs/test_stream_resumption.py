"""Streams that are made of several runs."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import pytest
from specs.stream_resumption import Guards
from specs.stream_resumption import make_streams

if TYPE_CHECKING:
    from collections.abc import Callable

    from specs.checking import Specification

    Prove = Callable[[Specification[Any]], None]
    Refute = Callable[[Specification[Any], str], list[str]]

MUTANTS = [
    ("whole_events", "no event of two runs"),
    ("drop_known", "no event twice"),
    ("refuse_gap", "no event missing"),
    ("close_first", "one engine at work"),
    ("count_handed_out", "counted once"),
]


def test_resumed_streams_hold(prove: Prove) -> None:
    prove(make_streams())


@pytest.mark.parametrize(("guard", "rule"), MUTANTS)
def test_resumed_streams_mutant(guard: str, rule: str, counterexample: Refute) -> None:
    assert counterexample(make_streams(Guards()._replace(**{guard: False})), rule)
