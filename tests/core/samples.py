"""A small deployment's catalogue, and calls of its programs."""

from __future__ import annotations

import json
from typing import Any

from quincespool.core.call import Call
from quincespool.core.call import CallKind


def abay_catalogue() -> dict[str, Any]:
    """A small deployment: one class, two engines, one service on two backend servers."""
    entries: dict[str, Any] = {
        "class/stock": {
            "kind": "class",
            "owner": "buyers",
            "budget_tokens": 10_000,
            "turn_limit": 50,
            "program_deadline_ms": 600_000,
            "call_limit_ms": 20_000,
            "idle_limit_ms": 120_000,
            "models": ["stock"],
            "services": ["inventory"],
            "accounts": ["abay"],
            "policy": "least_loaded",
        },
        "service/inventory": {
            "kind": "service",
            "owner": "warehouse",
            "non_idempotent": ["/reorder"],
            "time_limit_ms": 5_000,
        },
        "account/abay": {
            "kind": "account",
            "owner": "finance",
            "concurrent_calls": 100,
            "tokens_per_minute": 1_000_000,
        },
    }
    for number in range(2):
        for kind, serves in (("model", "stock"), ("service", "inventory")):
            entries[f"backend/{kind}-{number}"] = {
                "kind": "backend",
                "owner": "platform",
                "address": f"127.0.0.1:{(4000 if kind == 'model' else 5000) + number}",
                "zone": f"zone-{number}",
                "backend_kind": kind,
                "serves": [serves],
                "slots": 8,
            }
    return entries


def model_call(program_id: str, number: int, *, text: str = "stock?", **changes: Any) -> Call:
    """A call to a model."""
    body = {"model": "stock", "messages": [{"role": "user", "content": text}], "max_tokens": 50}
    call = Call(
        program_id=program_id,
        call_number=number,
        class_name="stock",
        account="abay",
        kind=CallKind.MODEL,
        target="stock",
        path="/v1/chat/completions",
        body=json.dumps(body).encode(),
        max_tokens=50,
    )
    return call._replace(**changes)


def reorder_call(program_id: str, number: int, *, text: str = "", **changes: Any) -> Call:
    """A non-idempotent call to a plain service."""
    call = Call(
        program_id=program_id,
        call_number=number,
        class_name="stock",
        account="abay",
        kind=CallKind.SERVICE,
        target="inventory",
        path="/reorder",
        body=json.dumps({"item": text or f"{program_id}#{number}"}).encode(),
    )
    return call._replace(**changes)
