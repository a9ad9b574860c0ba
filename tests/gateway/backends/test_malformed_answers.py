"""Answers of backend servers that are none in the protocol."""

from __future__ import annotations

import pytest

from tests.gateway.backends.troubled_cluster import STAMP
from tests.gateway.backends.troubled_cluster import ask_status
from tests.gateway.backends.troubled_cluster import cluster_before
from tests.support.standins.raw_backend import RawBackend


@pytest.mark.parametrize("kind", ["idempotent", "non_idempotent", "stream"])
@pytest.mark.parametrize("status", [b"000", b"099", b"600", b"999"])
async def test_a_status_that_is_none_is_not_an_answer(kind: str, status: bytes) -> None:
    """Guards against callers that are given an answer whose status no protocol knows."""
    start = b"HTTP/1.1 " + status + b" X\r\ncontent-length: 2\r\n" + STAMP + b"\r\nhi"
    async with cluster_before(RawBackend(start)) as cluster:
        assert await ask_status(cluster, kind) == 502
