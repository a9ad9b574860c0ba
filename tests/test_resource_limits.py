"""The limits that daemons derive from the memory and descriptors of their hosts."""

from __future__ import annotations

import pytest

from quincespool.net.held_memory import MAX_LARGE_SHARE
from quincespool.net.held_memory import MAX_RESERVED_SHARE
from quincespool.net.incoming_request import request_cost_bytes
from quincespool.resource_limits import BASE_BYTES
from quincespool.resource_limits import CONNECTION_BYTES
from quincespool.resource_limits import FILE_DESCRIPTORS
from quincespool.resource_limits import make_resource_limits

SMALLEST_MEMORY_MB = 88
PAGES_HEADERS = 60


@pytest.mark.parametrize("memory_mb", [SMALLEST_MEMORY_MB, 128, 552])
@pytest.mark.parametrize("max_descriptors", [1_638, 10_250])
def test_all_shares_together_fit_the_host(memory_mb: int, max_descriptors: int) -> None:
    limits = make_resource_limits(memory_mb=memory_mb, max_descriptors=max_descriptors)

    connections = limits.caller_connections + limits.side_connections + limits.incoming_links
    held_bytes = limits.held_bytes + limits.history_bytes + connections * CONNECTION_BYTES
    assert held_bytes < memory_mb * 1_000_000 - BASE_BYTES
    # Each call under way may take a connection to a backend server besides, and daemons link both
    # ways.
    outgoing = limits.caller_connections + limits.relayed_calls + limits.incoming_links
    assert connections + outgoing <= max_descriptors - FILE_DESCRIPTORS


def test_ordinary_calls_fit_the_smallest_host_by_the_hundred() -> None:
    """Guards against a default that callers meet who keep the limits of the pages."""
    limits = make_resource_limits(memory_mb=SMALLEST_MEMORY_MB, max_descriptors=1_638)
    ordinary_bytes = request_cost_bytes(PAGES_HEADERS // 4, 13_000)

    assert limits.held_bytes * MAX_RESERVED_SHARE > 100 * ordinary_bytes
    assert limits.held_bytes * MAX_LARGE_SHARE > request_cost_bytes(PAGES_HEADERS, 1_000_000)
    assert limits.calls_per_service > 100
