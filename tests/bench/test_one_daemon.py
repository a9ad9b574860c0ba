"""Processor times of one daemon's steps."""

from __future__ import annotations

from itertools import chain
from itertools import count
from typing import TYPE_CHECKING

from quincespool.bench import fixtures
from quincespool.bench.one_daemon import OneDaemon
from quincespool.bench.size import Size
from quincespool.core import events as ev
from quincespool.core.messages import Ping

if TYPE_CHECKING:
    import pytest

SIZE = Size(daemons=3, backends=3, models=1, accounts=1, stream_programs=1)
STEP_NS = 5_000


def test_a_step_whose_time_the_kernel_did_not_count_has_no_reading(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a least time of 0 where the host interrupted a step."""
    daemon = OneDaemon(SIZE)
    daemon.join()
    daemon.forget_times()
    other = fixtures.update(daemon.others[0])
    readings_ns = chain([0, 0], count(0, STEP_NS))
    monkeypatch.setattr("time.process_time_ns", lambda: next(readings_ns))
    for number in range(2):
        ping = Ping(number, other.member_id, (other,))
        daemon.give(ev.DatagramReceived(other.host, other.peer_port, ping))
    figures = daemon.times_us()["Ping"]
    assert figures == {"least": 5.0, "median": 5.0, "most": 5.0, "samples": 2}
