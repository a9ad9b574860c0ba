"""Default views of calls and backend servers, which each test varies."""

from __future__ import annotations

from typing import Protocol

import pytest

from quincespool.policy.program_aware import ProgramAware
from quincespool.policy.protocol import BackendView
from quincespool.policy.protocol import CallView


class MakeBackend(Protocol):
    def __call__(self, name: str, **fields: object) -> BackendView: ...


class MakeCall(Protocol):
    def __call__(self, **fields: object) -> CallView: ...


@pytest.fixture
def make_backend() -> MakeBackend:
    def make(name: str, **fields: object) -> BackendView:
        idle = BackendView(
            name=name,
            zone="bole",
            slots=8,
            running=0,
            waiting=0,
            waiting_tokens=0,
            reported_running=0,
            summary_age_ms=0,
            cached_tokens=0,
        )
        return idle._replace(**fields)  # type: ignore[arg-type]

    return make


@pytest.fixture
def make_call() -> MakeCall:
    def make(**fields: object) -> CallView:
        first = CallView(
            program_id="p",
            call_number=1,
            prompt_tokens=4000,
            max_tokens=500,
            attained_ms=0,
            program_age_ms=0,
            deadline_left_ms=90_000,
            priority=0,
            sub_agent=False,
        )
        return first._replace(**fields)  # type: ignore[arg-type]

    return make


@pytest.fixture
def program_aware() -> ProgramAware:
    return ProgramAware(latency_weight=1.0, cache_weight=1.0, seed=0)
