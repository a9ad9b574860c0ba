"""Real daemons and stand-ins on loopback for the slopes; uses the repository's test support."""

from __future__ import annotations

import contextlib
import tempfile
import time
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

from quincespool.bench.size import Size

if TYPE_CHECKING:
    from collections.abc import Iterator

    from tests.support.cluster import Cluster

START_LIMIT_S = 90
SETTLE_LIMIT_S = 25
CLASS = "bench"
ACCOUNT = "bench"
SERVICE = "inventory"
MODEL = "assistant"
ZONES = 3


class Running(NamedTuple):
    """A cluster, and how many resources no daemon of it knows to hold."""

    cluster: Cluster
    unclaimed: int


def daemon_names(count: int) -> list[str]:
    """Returns the names of a cluster's daemons."""
    return [f"entry-{number:03}" for number in range(count)]


@contextlib.contextmanager
def running(
    daemons: int, *, services: int = 0, engines: int = 0, **settings: object
) -> Iterator[Running]:
    """Runs a cluster whose daemons all know one another.

    Args:
      daemons: How many.
      services: Stand-ins of one plain service.
      engines: Stand-ins of one model.
      **settings: Of every daemon; the log is divided as `Size` says where they don't.
    """
    from tests.support.cluster import Cluster  # noqa: PLC0415

    size = Size(daemons=daemons, backends=0, models=0, accounts=0, stream_programs=0)
    common: dict[str, object] = {
        "log_level": "error",
        "stream_count": size.streams,
        "partition_count": size.partitions,
        "log_appends_per_s": 4 * size.streams,
    }
    with (
        tempfile.TemporaryDirectory() as folder,
        Cluster(Path(folder), settings=common | settings) as cluster,
    ):
        cluster.start_stand_in("log", "log_service")
        entries = _entries()
        for number in range(services):
            name = f"{SERVICE}-{number}"
            address = cluster.start_stand_in(name, "plain_service")
            entries[f"backend/{name}"] = _backend(address, "service", SERVICE)
        for number in range(engines):
            name = f"{MODEL}-{number}"
            address = cluster.start_stand_in(name, "model_engine", latency_scale=0.1)
            entries[f"backend/{name}"] = _backend(address, "model", MODEL)
        cluster.publish(entries, versions={})
        names = daemon_names(daemons)
        cluster.start_daemons({name: f"zone-{at % ZONES}" for at, name in enumerate(names)})
        cluster.wait_ready(limit_s=START_LIMIT_S)
        claimed = size.partitions + services + engines
        yield Running(cluster, _wait_settled(cluster, names, claimed=claimed))


def account_entry(concurrent_calls: int) -> dict[str, Any]:
    """Returns the entry of the account that all programs run under."""
    return {
        "kind": "account",
        "owner": "finance",
        "concurrent_calls": concurrent_calls,
        "tokens_per_minute": 1_000_000_000,
    }


def dump(cluster: Cluster, name: str) -> dict[str, Any]:
    """Returns a daemon's dump."""
    found: dict[str, Any] = cluster.request(name, "GET", "/v1/dump")
    return found


def _wait_settled(cluster: Cluster, names: list[str], *, claimed: int) -> int:
    """Waits until all daemons hold all others alive, and every resource is held by one that knows.

    Returns:
      How many resources nobody knows to hold although the time is over.

    Raises:
      RuntimeError: if some daemons have not heard of one another by then.
    """
    end_s = time.monotonic() + SETTLE_LIMIT_S
    while True:
        dumps = [dump(cluster, name) for name in names]
        known = all(
            sum(member["state"] == "alive" for member in one["members"]) == len(names)
            for one in dumps
        )
        held = sum(len(one["holds"]) for one in dumps)
        if known and held == claimed:
            return 0
        if time.monotonic() > end_s and not known:
            raise RuntimeError("some daemons have not heard of all others")
        if time.monotonic() > end_s:
            return claimed - held
        time.sleep(0.5)


def _backend(address: str, kind: str, serves: str) -> dict[str, Any]:
    return {
        "kind": "backend",
        "owner": "platform",
        "address": address,
        "zone": "zone-0",
        "backend_kind": kind,
        "serves": [serves],
        "slots": 64,
    }


def _entries() -> dict[str, object]:
    return {
        f"class/{CLASS}": {
            "kind": "class",
            "owner": "counter-desk",
            "budget_tokens": 1_000_000_000,
            "turn_limit": 100_000,
            "program_deadline_ms": 3_600_000,
            "call_limit_ms": 20_000,
            "idle_limit_ms": 3_600_000,
            "models": [MODEL],
            "services": [SERVICE],
            "accounts": [ACCOUNT],
        },
        f"service/{SERVICE}": {
            "kind": "service",
            "owner": "warehouse",
            "non_idempotent": ["/reorders"],
            "time_limit_ms": 10_000,
        },
        f"account/{ACCOUNT}": account_entry(100_000),
    }
