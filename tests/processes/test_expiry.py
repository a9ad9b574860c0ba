"""Records that expire: what still matters stands in checkpoints."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import Any

from quincespool.core.placement import partition_of
from quincespool.core.placement import stream_of
from quincespool.verdict import Verdict
from tests.processes.deployment import DAEMONS
from tests.processes.deployment import PARTITIONS
from tests.processes.deployment import STREAMS
from tests.processes.deployment import wait_for

if TYPE_CHECKING:
    from tests.processes.deployment import Deployment


def read(deployment: Deployment, stream: str) -> list[dict[str, Any]]:
    """Returns all records of a stream of which none has expired."""
    path = f"/streams/{stream}/records?limit=100000&wait_ms=0&from=0"
    return list(deployment.cluster.request("log", "GET", path)["records"])


def newest_checkpoint(deployment: Deployment, stream: str) -> int:
    """Returns what the newest checkpoint in one part stands for, -1 if there is none."""
    found = [
        int(entry["as_of"])
        for record in read(deployment, stream)
        for group in record["body"].get("groups", ())
        for entry in group["entries"]
        if entry["kind"] == "checkpoint" and entry["parts"] == 1
    ]
    return max(found, default=-1)


def test_order_is_known_after_its_records_expired_and_all_hosts_were_replaced(
    deployment: Deployment,
) -> None:
    """Symptom: a pharmacy's order is placed twice.

    Events: an order runs; its records expire; every host is replaced by one that knows nothing; the
    caller, whose connection had broken, sends the order again. Cause: a fold of what is left of the
    stream, without what its checkpoint states.
    """
    program = deployment.program()
    told = asyncio.run(program.order())
    assert told.verdict == Verdict.RAN
    stream = stream_of(partition_of(program.program_id, PARTITIONS), STREAMS)
    end = read(deployment, stream)[-1]["offset"] + 1
    wait_for(lambda: newest_checkpoint(deployment, stream) >= end, what="a checkpoint")
    as_of = newest_checkpoint(deployment, stream)
    deployment.control("log", expire_before={stream: as_of})
    for name in DAEMONS:
        deployment.kill(name)
    for name in DAEMONS:
        deployment.restart(name)
    deployment.cluster.wait_ready()
    deployment.wait_settled()
    again = asyncio.run(program.repeat_order(told))
    assert (again.verdict, again.text) == (Verdict.RAN, told.text)
    assert asyncio.run(program.order()).verdict == Verdict.RAN
    assert deployment.effects_of(program) == [1, 2]
    deployment.check([program])
