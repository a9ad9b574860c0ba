"""What operators and backend servers write into the platform's store, as the gateway reads it."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Mapping

HOST_NAME = "callers.example"
TOKENS_PER_EVENT = 10
RESUMABLE_PATH = "/stream/resumable/"


def make_configuration(
    version: int,
    *,
    plain_limit_ms: int = 1_000,
    limits: Mapping[str, object] | None = None,
    accounts: list[dict[str, object]] | None = None,
    stream_changes: Mapping[str, object] | None = None,
    has_resumable: bool = False,
) -> bytes:
    """Returns a configuration with a streaming route and a plain one of each kind.

    On request there is a further streaming route, `RESUMABLE_PATH`, whose turns keep no history and
    may go on at another engine.

    Callers need keys if there are accounts, each as operators write it.
    """
    stream: dict[str, object] = {
        "name": "stream",
        "hostname": HOST_NAME,
        "path_prefix": "/stream/",
        "kind": "streaming",
        "timeout_ms": 3_000,
        "priority": 1,
        "service": "model",
        "max_attempts": 2,
        "retain_context": True,
        "retention_s": 60.0,
        **(stream_changes or {}),
    }
    plain: list[dict[str, object]] = [
        {
            "name": kind,
            "hostname": HOST_NAME,
            "path_prefix": f"/{kind}/",
            "kind": kind,
            "timeout_ms": plain_limit_ms,
            "service": "plain",
            "max_attempts": 2,
        }
        for kind in ("idempotent", "non_idempotent")
    ]
    if has_resumable:
        resumable = {"name": "resumable", "path_prefix": RESUMABLE_PATH, "resumable": True}
        plain.append({**stream, **resumable, "retain_context": False})
    services = [
        {"name": "model", "engine": {"stream_stride": TOKENS_PER_EVENT}},
        {"name": "plain"},
    ]
    body = {
        "version": version,
        "routes": [stream, *plain],
        "services": services,
        "limits": limits or {},
    }
    if accounts is not None:
        body["tenants"] = accounts
    return msgspec.json.encode(body)


def make_backend_entry(
    service: str, address: str, *, zone: str, state: str = "ready", born_ms: int | None = None
) -> bytes:
    """Returns the entry of a backend server."""
    entry: dict[str, object] = {
        "service": service,
        "address": address,
        "zone": zone,
        "version": "v1",
        "slots": 8,
        "state": state,
        "cold_remaining_ms": 0,
        "sequence": 0,
    }
    if born_ms is not None:
        entry["born"] = born_ms
    return msgspec.json.encode(entry)
