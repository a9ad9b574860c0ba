"""Under load: appends to the log, processor time and bytes a request, against load and daemons."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

from quincespool.bench import clusters
from quincespool.bench.caller import CHAT_PATH
from quincespool.bench.caller import LEVELS
from quincespool.bench.caller import call_headers
from quincespool.bench.caller import chat_body
from quincespool.bench.caller import timed_call
from quincespool.bench.figures import load_average
from quincespool.bench.processes import read_usage

if TYPE_CHECKING:
    from tests.support.cluster import Cluster

    from quincespool.bench.processes import Usage

APPENDS_PER_S = 40
STREAMS = 4
WINDOW_S = 6
WARM_UP_S = 1
CALLS_PER_PROGRAM = 10
CASES = {
    "idle, 3 daemons": (3, 0, 0),
    "20 calls/s, 3 daemons": (3, 20, 0),
    "60 calls/s, 3 daemons": (3, 60, 0),
    "120 calls/s, 3 daemons": (3, 120, 0),
    "60 calls/s, 6 daemons": (6, 60, 0),
    "60 calls/s, 12 daemons": (12, 60, 0),
    "20 streams/s of 4 tokens, 3 daemons": (3, 20, 4),
    "20 streams/s of up to 128 tokens, 3 daemons": (3, 20, 128),
}


class _Sums(NamedTuple):
    processor_s: float
    link_bytes: float
    link_messages: float
    log_bytes: float
    appends: float
    appended_bytes: float
    at_s: float


class _Load:
    """Calls at a steady rate, spread over programs and daemons."""

    def __init__(self, daemons: list[str], *, rate_per_s: int, tokens: int) -> None:
        self.answered = 0
        self.failed = 0
        self.pieces = 0
        self._daemons = daemons
        self._rate_per_s = rate_per_s
        self._path = CHAT_PATH if tokens else LEVELS
        self._body = chat_body(tokens) if tokens else b"{}"

    async def run(self, for_s: float) -> None:
        """Starts programs one after another; each makes its calls one by one."""
        programs = round(self._rate_per_s * for_s / CALLS_PER_PROGRAM)
        async with asyncio.TaskGroup() as group:
            for number in range(programs):
                group.create_task(self._run_program(number))
                await asyncio.sleep(CALLS_PER_PROGRAM / self._rate_per_s)

    async def _run_program(self, number: int) -> None:
        address = self._daemons[number % len(self._daemons)]
        for call_number in range(1, CALLS_PER_PROGRAM + 1):
            headers = call_headers(f"program-{number}", call_number, idempotent=True)
            try:
                taken = await timed_call(address, self._path, headers, self._body)
            except RuntimeError:
                self.failed += 1
                return
            self.answered += 1
            self.pieces += taken.pieces


def measure() -> dict[str, object]:
    """Returns the figures of each case."""
    return {name: _measure_case(*case) for name, case in CASES.items()}


def _measure_case(daemons: int, rate_per_s: int, tokens: int) -> dict[str, object]:
    with clusters.running(
        daemons,
        services=1,
        engines=1,
        stream_count=STREAMS,
        log_appends_per_s=APPENDS_PER_S,
    ) as (cluster, _):
        time.sleep(WARM_UP_S)
        before = _sums(cluster)
        load = _Load(cluster.daemon_addresses, rate_per_s=rate_per_s, tokens=tokens)
        if rate_per_s:
            asyncio.run(load.run(WINDOW_S))
        else:
            time.sleep(WINDOW_S)
        return _compare(before, _sums(cluster), load)


def _sums(cluster: Cluster) -> _Sums:
    usages: list[Usage] = [read_usage(address) for address in cluster.daemon_addresses]
    counts: dict[str, dict[str, float]] = cluster.counts("log")
    programs = [name for name in counts["appends"] if name.startswith("programs-")]
    return _Sums(
        processor_s=sum(usage.processor_s for usage in usages),
        link_bytes=sum(usage.link_bytes for usage in usages) / 2,
        link_messages=sum(usage.link_messages for usage in usages),
        log_bytes=sum(usage.log_bytes for usage in usages),
        appends=sum(counts["appends"][name] for name in programs),
        appended_bytes=sum(counts["bytes_in"][name] for name in programs),
        at_s=time.monotonic(),
    )


def _compare(before: _Sums, after: _Sums, load: _Load) -> dict[str, Any]:
    grown = _Sums(*(new - old for old, new in zip(before, after, strict=True)))
    figures: dict[str, Any] = {
        "seconds": round(grown.at_s, 2),
        "answered": load.answered,
        "failed": load.failed,
        "core_percent_all_daemons": round(100 * grown.processor_s / grown.at_s, 2),
        "appends_per_s": round(grown.appends / grown.at_s, 2),
        "load_average": load_average(),
    }
    if load.answered:
        figures |= {
            "pieces_per_call": round(load.pieces / load.answered, 2),
            "processor_us_per_call": round(1e6 * grown.processor_s / load.answered, 1),
            "appended_bytes_per_call": round(grown.appended_bytes / load.answered, 1),
            "link_bytes_per_call": round(grown.link_bytes / load.answered, 1),
            "link_messages_per_call": round(grown.link_messages / load.answered, 2),
            "log_bytes_per_call": round(grown.log_bytes / load.answered, 1),
        }
    return figures
