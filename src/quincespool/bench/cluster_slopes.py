"""Idle daemons: processor time, memory and control traffic against their number.

Then the time from publishing an edit of the catalogue until each daemon has it in force.
"""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING
from typing import Any

from quincespool.bench import clusters
from quincespool.bench.caller import send
from quincespool.bench.figures import load_average
from quincespool.bench.figures import spread
from quincespool.bench.processes import read_usage

if TYPE_CHECKING:
    from collections.abc import Callable

    from tests.support.cluster import Cluster

    from quincespool.bench.processes import Usage

DAEMONS = (5, 25, 100)
SETTLE_S = 40
WINDOW_S = 12
EDITS = 5
POLL_S = 0.1
SPREAD_LIMIT_S = 60


def measure(daemons: tuple[int, ...] = DAEMONS) -> dict[str, object]:
    """Returns the figures of a daemon for each number of daemons."""
    return {str(count): _measure_one(count) for count in daemons}


def _measure_one(count: int) -> dict[str, object]:
    with clusters.running(count) as (cluster, unclaimed):
        time.sleep(SETTLE_S)
        load_before = load_average()
        before = [read_usage(address) for address in cluster.daemon_addresses]
        time.sleep(WINDOW_S)
        after = [read_usage(address) for address in cluster.daemon_addresses]
        figures: dict[str, object] = {
            "core_percent": _rates(before, after, lambda usage: 100 * usage.processor_s),
            "resident_mb": spread(usage.resident_bytes / 1e6 for usage in after),
            "datagram_bytes_per_s": _rates(before, after, lambda usage: usage.datagram_bytes),
            "link_bytes_per_s": _rates(before, after, lambda usage: usage.link_bytes),
            "log_bytes_per_s": _rates(before, after, lambda usage: usage.log_bytes),
            "control_bytes_per_s": _rates(before, after, lambda usage: usage.control_bytes),
            "log_reads_per_s": _rates(before, after, lambda usage: usage.log_reads),
            "unclaimed_resources": unclaimed,
            "load_average": [load_before, load_average()],
        }
        figures["edit_in_force_ms"] = asyncio.run(_edits_in_force(cluster))
    return figures


def _rates(before: list[Usage], after: list[Usage], value: Callable[[Usage], float]) -> Any:
    pairs = zip(before, after, strict=True)
    return spread((value(new) - value(old)) / (new.at_s - old.at_s) for old, new in pairs)


async def _edits_in_force(cluster: Cluster) -> dict[str, object]:
    """Returns the time until an edit is in force at a daemon, and at the last one."""
    at_each: list[float] = []
    at_last: list[float] = []
    name = f"account/{clusters.ACCOUNT}"
    version = 0
    for number in range(EDITS):
        started_s = time.monotonic()
        entry = clusters.account_entry(1_000 + number)
        version = cluster.publish({name: entry}, versions={name: version})
        waits = [_in_force_ms(one, version, started_s) for one in cluster.daemon_addresses]
        taken = await asyncio.gather(*waits)
        at_each += taken
        at_last.append(max(taken))
        await asyncio.sleep(1)
    return {"each": spread(at_each), "last": spread(at_last), "poll_ms": 1_000 * POLL_S}


async def _in_force_ms(address: str, version: int, started_s: float) -> float:
    async with asyncio.timeout(SPREAD_LIMIT_S):
        while True:
            reply = await send(address, "GET", "/v1/dump")
            if reply.json()["catalogue"]["version"] >= version:
                return 1_000 * (time.monotonic() - started_s)
            await asyncio.sleep(POLL_S)
