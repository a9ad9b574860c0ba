"""Shows the system at work for both users, through real sockets: `python -m tests.support.demo`."""

from __future__ import annotations

import asyncio
import sys
import tempfile
import time
from pathlib import Path
from typing import TYPE_CHECKING
from urllib.parse import quote

import msgspec

from quincespool.verdict import Verdict
from tests.support.agent_program import AgentProgram
from tests.support.agent_program import expected_text
from tests.support.cluster import Cluster
from tests.support.oracle import effect_faults
from tests.support.standins.generation import ChatMessage

if TYPE_CHECKING:
    from tests.support.agent_program import Told

_DAEMONS = {"entry-1": "bole", "entry-2": "bole", "entry-3": "kality"}
_ENGINES = ("stock-engine", "assistant-engine")
_TOOL_PAUSE_MS = 200
_RELEASE_LIMIT_S = 15


class DemoError(Exception):
    """Something was not as the users were promised."""


def main() -> int:
    """Runs the demo and returns the exit code."""
    with tempfile.TemporaryDirectory() as folder, Cluster(Path(folder)) as cluster:
        try:
            _start(cluster)
            programs = asyncio.run(_run_programs(cluster.daemon_addresses))
            _show(cluster, programs)
            _check_effects(cluster, programs)
            _check_released(cluster)
        except Exception as error:
            logs = [f"--- {name}\n{p.logs()[-2000:]}" for name, p in cluster.processes.items()]
            _say("\n".join([*logs, f"The demo failed: {error!r}"]))
            return 1
    _say("All promises kept.")
    return 0


def _start(cluster: Cluster) -> None:
    cluster.start_stand_in("log", "log_service")
    for name in _ENGINES:
        cluster.start_stand_in(name, "model_engine", latency_scale=0.1)
    for name in ("inventory", "orders"):
        cluster.start_stand_in(name, "plain_service", delay_ms=_TOOL_PAUSE_MS)
    abay = _catalogue(
        cluster,
        owner="abay-stock-desk",
        names=("stock", "stock-engine", "inventory"),
        account="member-pharmacies",
        zone="bole",
        non_idempotent="/reorders",
    )
    harwick = _catalogue(
        cluster,
        owner="harwick-counter-desk",
        names=("plate", "assistant-engine", "orders"),
        account="plate-dealers",
        zone="kality",
        non_idempotent="/fleet-orders",
    )
    for user, entries in {"Abay": abay, "Harwick": harwick}.items():
        _say(f"{user}'s catalogue is record {cluster.publish(entries, versions={})} of the log.")
    cluster.start_daemons(_DAEMONS)
    cluster.wait_ready()
    _say(f"Daemons are ready: {_DAEMONS}")


def _catalogue(
    cluster: Cluster,
    *,
    owner: str,
    names: tuple[str, str, str],
    account: str,
    zone: str,
    non_idempotent: str,
) -> dict[str, object]:
    class_name, engine, service = names
    backend = {"kind": "backend", "owner": owner, "zone": zone, "slots": 8}
    return {
        f"class/{class_name}": {
            "kind": "class",
            "owner": owner,
            "budget_tokens": 20_000,
            "turn_limit": 40,
            "program_deadline_ms": 60_000,
            "call_limit_ms": 10_000,
            "idle_limit_ms": 60_000,
            "models": [f"{class_name}-assistant"],
            "services": [service],
            "accounts": [account],
        },
        f"service/{service}": {
            "kind": "service",
            "owner": owner,
            "non_idempotent": [non_idempotent],
            "time_limit_ms": 5_000,
        },
        f"account/{account}": {
            "kind": "account",
            "owner": owner,
            "concurrent_calls": 20,
            "tokens_per_minute": 100_000,
        },
        f"backend/{engine}": backend
        | {
            "address": cluster[engine].address,
            "backend_kind": "model",
            "serves": [f"{class_name}-assistant"],
        },
        f"backend/{service}": backend
        | {
            "address": cluster[service].address,
            "backend_kind": "service",
            "serves": [service],
        },
    }


async def _run_programs(daemons: list[str]) -> list[AgentProgram]:
    abay = AgentProgram("abay-1", class_name="stock", account="member-pharmacies", daemons=daemons)
    harwick = AgentProgram(
        "harwick-1", class_name="plate", account="plate-dealers", daemons=daemons
    )
    buyer = abay.sub_agent("buyer")
    await asyncio.gather(_run_abay(abay, buyer), _run_harwick(harwick))
    return [abay, buyer, harwick]


async def _run_abay(program: AgentProgram, buyer: AgentProgram) -> None:
    model = "stock-assistant"
    dialogue = _user([], "Is insulin in stock at Merkato?")
    dialogue = await _converse(program, model, dialogue, stream=True)
    levels = _need_run(await program.call_service("inventory", "/levels", {}, idempotent=True))
    dialogue = await _converse(program, model, _user(dialogue, levels.text))
    plan = await _converse(buyer, model, _user([], "Draft a reorder of 40 boxes."))
    dialogue = await _converse(program, model, _user(dialogue, plan[-1]["content"]))
    reorder = {"item": "insulin", "boxes": 40}
    _need_run(await program.call_service("inventory", "/reorders", reorder))
    await program.end()


async def _run_harwick(program: AgentProgram) -> None:
    paperwork = _user([], "Is this V5C enough to order a plate for a dealer's van?")
    dialogue = await _converse(program, "plate-assistant", paperwork)
    await _converse(
        program, "plate-assistant", _user(dialogue, "Then order 12 pairs."), stream=True
    )
    _need_run(await program.call_service("orders", "/fleet-orders", {"pairs": 12}))
    await program.end()


async def _converse(
    program: AgentProgram, model: str, dialogue: list[ChatMessage], *, stream: bool = False
) -> list[ChatMessage]:
    """Asks the model and returns the dialogue with its answer, which must be whole and our own."""
    told = _need_run(await program.ask(model, dialogue, stream=stream))
    if told.text != expected_text(told, dialogue):
        raise DemoError(f"not the whole answer to this request: {told}")
    return [*dialogue, ChatMessage(role="assistant", content=told.text)]


def _user(dialogue: list[ChatMessage], content: str) -> list[ChatMessage]:
    return [*dialogue, ChatMessage(role="user", content=content)]


def _need_run(told: Told) -> Told:
    if told.verdict != Verdict.RAN or told.status != 200:
        raise DemoError(f"no answer: {told}")
    return told


def _show(cluster: Cluster, programs: list[AgentProgram]) -> None:
    for told in [told for program in programs for told in program.told]:
        path = f"/v1/audit/{quote(told.outcome_id, safe='')}"
        audit = cluster.request(next(iter(_DAEMONS)), "GET", path)
        entry = audit["entry"]
        if not entry["owner"]:
            raise DemoError(f"nobody answers for {told.outcome_id}: {audit}")
        _say(
            f"{told.program_id} call {told.call_number} to {told.target}: {told.verdict}, outcome "
            f"{told.outcome_id}, allowed by {entry['name']} version {entry['version']} of "
            f"{entry['owner']}: {told.text[:60]}"
        )


def _check_effects(cluster: Cluster, programs: list[AgentProgram]) -> None:
    told = [told for program in programs for told in program.told]
    for service, path in {"inventory": "/reorders", "orders": "/fleet-orders"}.items():
        journal = cluster.counts(service)["journal"]
        here = [t for t in told if t.target.startswith(service)]
        orders = [entry for entry in journal if entry["path"] == path]
        _say(f"{service} took {len(orders)} order: {msgspec.json.encode(orders).decode()}")
        if faults := effect_faults(here, journal):
            raise DemoError("; ".join(faults))
        if len(orders) != 1:
            raise DemoError(f"{len(orders)} orders in place of one at {service}")


def _check_released(cluster: Cluster) -> None:
    """Waits until the engines hold nothing for the programs, which have all ended."""
    end_s = time.monotonic() + _RELEASE_LIMIT_S
    while any(held := [cluster.counts(name)["held_tokens"] for name in _ENGINES]):
        if time.monotonic() > end_s:
            raise DemoError(f"engines still hold {held}")
        time.sleep(0.05)
    _say("The engines hold nothing for programs that have ended.")


def _say(line: str) -> None:
    sys.stdout.write(line + "\n")


if __name__ == "__main__":
    sys.exit(main())
