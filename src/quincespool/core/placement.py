"""Which daemon should hold what: pure functions of the members and the settings.

Nothing here decides correctness; claims in the log do. Placement only makes daemons agree, most of
the time, on who should claim a resource and whom to ask for it.
"""

from __future__ import annotations

import hashlib
from functools import lru_cache
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from quincespool.core.members import Member

PARTITION_PREFIX = "partition/"
BACKEND_PREFIX = "backend/"
STREAM_PREFIX = "programs-"


@lru_cache(maxsize=65536)
def stable_hash(text: str) -> int:
    """Returns the same 64-bit number for the same text in every process."""
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest(), "big")


def partition_of(program_id: str, partition_count: int) -> str:
    """Returns the resource name of a program's partition; sub-agents share their root's."""
    root_id = program_id.split("/", 1)[0]
    return f"{PARTITION_PREFIX}{stable_hash(root_id) % partition_count}"


def backend_resource(backend: str) -> str:
    """Returns the resource name of a backend server."""
    return BACKEND_PREFIX + backend


def stream_of(resource: str, stream_count: int) -> str:
    """Returns the stream in which a resource is claimed and its programs are recorded."""
    if resource.startswith(PARTITION_PREFIX):
        return f"{STREAM_PREFIX}{int(resource.removeprefix(PARTITION_PREFIX)) % stream_count}"
    return f"{STREAM_PREFIX}{stable_hash(resource) % stream_count}"


def stream_members(stream: str, members: Iterable[Member], stream_count: int) -> list[Member]:
    """Returns the daemons that share a stream's resources, its committer first.

    Each stream has about `2 * members / streams` of them, at least two if there are as many, so
    that a daemon follows about two streams whatever the size of the deployment.
    """
    staying = [member for member in members if not member.draining]
    ranked = sorted(staying, key=lambda m: stable_hash(f"{stream}|{m.member_id}"), reverse=True)
    share = max(2, -(-2 * len(ranked) // stream_count))
    return ranked[:share]


def desired_holder(resource: str, members: Iterable[Member], stream_count: int) -> str | None:
    """Returns the member id of the daemon that should hold a resource, None if there is none."""
    candidates = stream_members(stream_of(resource, stream_count), members, stream_count)
    if not candidates:
        return None
    best = max(candidates, key=lambda m: stable_hash(f"{resource}|{m.member_id}"))
    return best.member_id
