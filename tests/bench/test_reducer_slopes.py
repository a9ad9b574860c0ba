"""Tests that the measured daemon does the work whose processor time is taken."""

from __future__ import annotations

from typing import Any
from typing import cast

import pytest

from quincespool.bench import fixtures
from quincespool.bench.one_daemon import OneDaemon
from quincespool.bench.reducer_slopes import CALLS
from quincespool.bench.reducer_slopes import CHUNKS
from quincespool.bench.reducer_slopes import fill_streams
from quincespool.bench.reducer_slopes import measure_size
from quincespool.bench.size import Size
from quincespool.core.ledger.stream_ledger import StreamLedger
from quincespool.core.placement import BACKEND_PREFIX
from quincespool.core.placement import PARTITION_PREFIX

SIZE = Size(daemons=15, backends=45, models=3, accounts=5, stream_programs=40)


@pytest.fixture(scope="module")
def figures() -> dict[str, Any]:
    return measure_size(SIZE)


@pytest.fixture
def daemon() -> OneDaemon:
    joined = OneDaemon(SIZE)
    joined.join()
    return joined


def test_joined_daemon_knows_and_holds_its_share(daemon: OneDaemon) -> None:
    assert len(daemon.state.members.alive()) == SIZE.daemons
    assert len(daemon.state.catalogue.backends()) == SIZE.backends
    assert daemon.held(PARTITION_PREFIX)
    assert daemon.held(BACKEND_PREFIX)
    assert daemon.state.ready


def test_all_programs_written_to_the_streams_count(daemon: OneDaemon) -> None:
    fill_streams(daemon)
    ledgers = [followed.ledger.state for followed in daemon.state.ledger.streams.values()]
    assert [len(ledger.programs) for ledger in ledgers] == [SIZE.stream_programs] * len(ledgers)
    calls = {record.last_call for ledger in ledgers for record in ledger.programs.values()}
    assert calls == {10}


def test_no_member_is_lost_while_time_passes(daemon: OneDaemon) -> None:
    """Others that did not answer pings would be declared dead, and the figures be of fewer."""
    daemon.advance(30_000)
    assert len(daemon.state.members.alive()) == SIZE.daemons


def test_program_entries_are_valid_to_the_ledger() -> None:
    ledger = StreamLedger(partition_count=1)
    claimed = fixtures.claim("entry-001", f"{PARTITION_PREFIX}0")
    ledger.apply(0, fixtures.batch("entry-001", 1, [claimed]))
    entries = fixtures.program_entries("program-1", epoch=0, calls=12, at_ms=fixtures.START_MS)
    assert ledger.apply(1, fixtures.batch("entry-001", 2, entries)).void == 0
    record = ledger.program("program-1")
    assert record is not None
    assert record.last_call == 12


def test_each_step_of_a_call_is_measured(figures: dict[str, Any]) -> None:
    serving = cast("dict[str, dict[str, float]]", figures["serving_us"])
    samples = {kind: times["samples"] for kind, times in serving.items()}
    assert samples["CallReceived"] == CALLS
    assert samples["ForwardCall"] >= CALLS
    assert samples["Dispatch"] == CALLS
    assert samples["ForwardText"] == CALLS * CHUNKS
    assert samples["ExchangeEnd"] >= CALLS
    assert all(times["least"] > 0 for times in serving.values())


def test_changes_are_measured(figures: dict[str, Any]) -> None:
    kinds = figures["changes_us"]
    assert {"Ping", "HostsRead", "catalogue read, records"} <= kinds.keys()
    assert figures["quiet_core_percent"] > 0
    assert figures["followed_programs"] >= SIZE.stream_programs
