"""Tests of the process fixtures; the daemons' own tests use them with daemons."""

from __future__ import annotations

import signal
from typing import TYPE_CHECKING

import pytest

from tests.support.cluster import Cluster

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path


@pytest.fixture
def cluster(tmp_path: Path) -> Iterator[Cluster]:
    with Cluster(tmp_path) as running:
        yield running


def test_catalogue_edits_go_to_the_log_in_order(cluster: Cluster) -> None:
    cluster.start_stand_in("log", "log_service", append_rate_per_s=500)
    entry = {"kind": "account", "owner": "o", "concurrent_calls": 1, "tokens_per_minute": 1}
    assert cluster.publish({"account/a": entry}, versions={}) == 0
    assert cluster.publish({"account/a": None}, versions={"account/a": 0}) == 1
    page = cluster.request("log", "GET", "/streams/catalogue/records?from=0")
    changes = [change for record in page["records"] for change in record["body"]["changes"]]
    assert [change["base_version"] for change in changes] == [-1, 0]
    assert [change["entry"] for change in changes] == [entry, None]


def test_crashed_stand_in_comes_back_at_its_address_with_nothing_kept(cluster: Cluster) -> None:
    """A request that crashes its backend server ends the process with it."""
    cluster.start_stand_in("orders", "plain_service", crash_mode="exit")
    cluster.control("orders", crash_marker="poison")
    cluster.request("orders", "POST", "/orders", "fine")
    with pytest.raises(OSError, match=r"closed|reset"):
        cluster.request("orders", "POST", "/orders", "poison")
    assert cluster["orders"].wait() != 0
    cluster.restart_stand_in("orders")
    assert cluster.counts("orders")["journal"] == []


def test_all_processes_end_with_the_cluster_also_when_stopped(tmp_path: Path) -> None:
    """A test fails while one of its processes is stopped: neither may be left behind."""
    processes = []
    with pytest.raises(AssertionError), Cluster(tmp_path) as cluster:
        cluster.start_stand_in("log", "log_service")
        cluster.start_stand_in("hosts", "host_list")
        processes = list(cluster.processes.values())
        processes[0].signal(signal.SIGSTOP)
        raise AssertionError
    assert [process.running for process in processes] == [False, False]
