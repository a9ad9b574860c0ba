"""What the path through the daemons adds to a request, against calling the stand-in itself.

Direct calls and calls through the daemons take turns in one run, so both see the same machine.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import NamedTuple

from quincespool.bench import clusters
from quincespool.bench.caller import CHAT_PATH
from quincespool.bench.caller import LEVELS
from quincespool.bench.caller import REORDERS
from quincespool.bench.caller import Taken
from quincespool.bench.caller import call_headers
from quincespool.bench.caller import chat_body
from quincespool.bench.caller import timed_call
from quincespool.bench.figures import load_average
from quincespool.bench.figures import quantile
from quincespool.bench.figures import spread

if TYPE_CHECKING:
    from collections.abc import Sequence

DAEMONS = 3
ROUNDS = 60
STREAM_TOKENS = 32
COMMIT_INTERVALS_MS = (20, 250)
STREAMS = 4


class _Kind(NamedTuple):
    name: str
    direct_path: str
    path: str
    body: bytes
    idempotent: bool
    opens: bool


def measure() -> dict[str, object]:
    """Returns the latencies by interval of the committers; 250 ms is that of the planned size."""
    figures: dict[str, object] = {}
    for interval_ms in COMMIT_INTERVALS_MS:
        load_before = load_average()
        kinds = _measure_interval(interval_ms)
        loads = {"load_average": [load_before, load_average()]}
        figures[f"commit_interval_{interval_ms}_ms"] = kinds | loads
    return figures


def _measure_interval(interval_ms: int) -> dict[str, object]:
    rate = 1_000 * STREAMS // interval_ms
    with clusters.running(
        DAEMONS, services=1, engines=1, stream_count=STREAMS, log_appends_per_s=rate
    ) as (cluster, _):
        engine = cluster[f"{clusters.MODEL}-0"].address
        service = cluster[f"{clusters.SERVICE}-0"].address
        daemons = cluster.daemon_addresses
        return asyncio.run(_measure_kinds(engine, service, daemons))


async def _measure_kinds(engine: str, service: str, daemons: Sequence[str]) -> dict[str, object]:
    kinds = _kinds()
    turns = [
        _take_turns(kind, engine if kind.path == CHAT_PATH else service, daemons) for kind in kinds
    ]
    figures = await asyncio.gather(*turns)
    return {kind.name: taken for kind, taken in zip(kinds, figures, strict=True)}


async def _take_turns(kind: _Kind, direct: str, daemons: Sequence[str]) -> dict[str, object]:
    direct_taken: list[Taken] = []
    taken: list[Taken] = []
    for number in range(ROUNDS + 1):
        program_id = f"{kind.name}-{number}" if kind.opens else kind.name
        call_number = 1 if kind.opens else number + 1
        headers = call_headers(program_id, call_number, idempotent=kind.idempotent)
        straight = await timed_call(direct, kind.direct_path, headers, kind.body)
        through = await timed_call(daemons[number % len(daemons)], kind.path, headers, kind.body)
        # The first call of each program opens it; it counts only where that is what is measured.
        if kind.opens or number:
            direct_taken.append(straight)
            taken.append(through)
    return {
        "direct": _figures(direct_taken),
        "through": _figures(taken),
        "added": _figures([_added(*pair) for pair in zip(direct_taken, taken, strict=True)]),
    }


def _figures(taken: list[Taken]) -> dict[str, object]:
    return {
        field: spread(values) | {"p99": quantile(values, 0.99)}
        for field in ("first_ms", "whole_ms", "pause_ms")
        if (values := [getattr(one, field) for one in taken])
    }


def _added(direct: Taken, through: Taken) -> Taken:
    return Taken(
        first_ms=through.first_ms - direct.first_ms,
        whole_ms=through.whole_ms - direct.whole_ms,
        pause_ms=through.pause_ms - direct.pause_ms,
        pieces=through.pieces - direct.pieces,
    )


def _kinds() -> list[_Kind]:
    chat = chat_body(STREAM_TOKENS)
    return [
        _Kind("idempotent call", "/levels", LEVELS, b"{}", True, False),
        _Kind("non-idempotent call", "/reorders", REORDERS, b"{}", False, False),
        _Kind("first call", "/levels", LEVELS, b"{}", True, True),
        _Kind("streamed call", CHAT_PATH, CHAT_PATH, chat, True, False),
        _Kind("first streamed call", CHAT_PATH, CHAT_PATH, chat, True, True),
    ]
