"""Fixtures of the process tests."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from tests.processes.deployment import Deployment

if TYPE_CHECKING:
    from collections.abc import Iterator


@pytest.fixture(scope="session")
def running(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Deployment]:
    """A deployment that all tests share; each uses programs of its own."""
    settings: dict[str, object] = {"checkpoint_every_ms": 2_000}
    deployment = Deployment(tmp_path_factory.mktemp("deployment"), settings=settings)
    with deployment.cluster:
        deployment.start()
        yield deployment


@pytest.fixture
def deployment(running: Deployment) -> Iterator[Deployment]:
    """The deployment, whole before and after each test."""
    yield running
    running.heal()
