"""A new configuration allows larger heads; callers send them on the channels that they keep."""

from __future__ import annotations

import asyncio
from collections import Counter
from pathlib import Path
from typing import Any

from review import rig

DAEMONS = 4
ENGINES = 6
# As many clients as the site file has.
CALLERS = 43
OLD_HEAD_BYTES = 2_048
NEW_HEAD_BYTES = 16_384
CONFIG_APPLY_S = 2.0
# Well inside the new limit, beyond the old one.
CONTEXT_BYTES = 6_000
BEFORE_S = 6.0
AFTER_S = 8.0
PAUSE_S = 0.5
DENIALS = 5
REQUESTS_PER_DENIAL = 500


async def case(record: rig.Record) -> bool:
    """Returns whether all proper requests were let through once the new limits had to apply."""
    deployment = rig.Deployment(record)
    engines = [
        rig.Engine(f"i-{number}", "stock-app", zone=("bole", "kality")[number % 2], record=record)
        for number in range(ENGINES)
    ]
    callers = Callers(deployment, record)
    try:
        first = _config(1, NEW_HEAD_BYTES if not rig.has_trouble() else OLD_HEAD_BYTES)
        await deployment.start(DAEMONS, engines, first)
        tasks = [asyncio.create_task(callers.call(number)) for number in range(CALLERS)]
        await asyncio.sleep(BEFORE_S)
        if rig.has_trouble():
            deployment.configure(_config(2, NEW_HEAD_BYTES))
            record.write("configuration acknowledged", version=2)
        await asyncio.sleep(CONFIG_APPLY_S + 1.0)
        record.write("larger heads from now on")
        callers.grown = True
        await asyncio.sleep(AFTER_S)
        callers.stopped = True
        await asyncio.gather(*tasks)
    finally:
        await deployment.stop()
    return _judge(callers.statuses, callers.denied)


def _config(version: int, head_bytes: int) -> dict[str, Any]:
    config = rig.make_config(version)
    config["limits"]["max_header_bytes"] = head_bytes
    return config


class Callers:
    """Callers that each keep one channel, and what they were answered.

    Attributes:
      grown: Whether they send larger heads.
      stopped: Whether they end.
      statuses: Number of answers by status.
      denied: Ids of proper requests that the system itself ended with a 3xx or 4xx.
    """

    def __init__(self, deployment: rig.Deployment, record: rig.Record) -> None:
        self.grown = False
        self.stopped = False
        self.statuses: Counter[int] = Counter()
        self.denied: list[str] = []
        self._deployment = deployment
        self._record = record

    async def call(self, number: int) -> None:
        """Sends one request after the other."""
        caller = rig.Caller(self._deployment.daemons[number % DAEMONS].address, self._record)
        while not self.stopped:
            request_id = rig.new_id("l")
            headers = [("X-Context", "c" * CONTEXT_BYTES)] if self.grown else []
            answer = await caller.call(
                "/lookup/a", request_id, headers=headers, method="GET", deadline_ms=1_200
            )
            self.statuses[answer.status] += 1
            if headers and 300 <= answer.status < 500 and "server-stamp" not in answer.headers:
                self.denied.append(request_id)
                self._record.write("denied", id=request_id, status=answer.status)
            await asyncio.sleep(PAUSE_S)
        caller.close()


def _judge(statuses: Counter[int], denied: list[str]) -> bool:
    allowed = DENIALS + statuses.total() / REQUESTS_PER_DENIAL
    rig.say(
        f"{statuses.total()} requests, answers {dict(statuses)}; handled as only the old"
        f" configuration allows: {len(denied)}, allowed by DENIED: {allowed:.1f}, by CONFIG: 0"
    )
    return len(denied) <= allowed


if __name__ == "__main__":
    rig.run_case(case, Path(__file__).resolve().parent, limit_s=115)
