"""Which daemon should hold what: pure functions of the members and the settings.

Nothing here decides correctness; claims in the log do. Placement only makes daemons agree, most of
the time, on who should claim a resource and whom to ask for it.
"""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

from quincespool.stable_hash import stable_hash

if TYPE_CHECKING:
    from quincespool.core.members import Member

PARTITION_PREFIX = "partition/"
BACKEND_PREFIX = "backend/"
STREAM_PREFIX = "programs-"


def partition_of(program_id: str, partition_count: int) -> str:
    """Returns the resource name of a program's partition; sub-agents share their root's."""
    root_id = program_id.split("/", 1)[0]
    return f"{PARTITION_PREFIX}{stable_hash(root_id) % partition_count}"


def backend_resource(backend: str) -> str:
    """Returns the resource name of a backend server."""
    return BACKEND_PREFIX + backend


def stream_name(number: int) -> str:
    """Returns the name of a stream of programs."""
    return f"{STREAM_PREFIX}{number}"


def stream_of(resource: str, stream_count: int) -> str:
    """Returns the stream in which a resource is claimed and its programs are recorded."""
    if resource.startswith(PARTITION_PREFIX):
        return stream_name(int(resource.removeprefix(PARTITION_PREFIX)) % stream_count)
    return stream_name(stable_hash(resource) % stream_count)


class _Rankings:
    """The order of one tuple of members for each stream, worked out once.

    At 740 members a sort takes half a millisecond, and every call and commit asks.
    """

    def __init__(self) -> None:
        self._members: tuple[Member, ...] = ()
        self._streams: dict[tuple[str, int], list[Member]] = {}
        self._holders: dict[tuple[str, int], str | None] = {}

    def stream(self, stream: str, members: tuple[Member, ...], stream_count: int) -> list[Member]:
        self._take(members)
        key = (stream, stream_count)
        if key not in self._streams:
            self._streams[key] = _rank(stream, members, stream_count)
        return self._streams[key]

    def holder(self, resource: str, members: tuple[Member, ...], stream_count: int) -> str | None:
        self._take(members)
        key = (resource, stream_count)
        if key not in self._holders:
            shared = self.stream(stream_of(resource, stream_count), members, stream_count)
            best = max(shared, key=lambda m: _score(resource, m), default=None)
            self._holders[key] = best.member_id if best else None
        return self._holders[key]

    def _take(self, members: tuple[Member, ...]) -> None:
        if members is not self._members:
            self._members = members
            self._streams = {}
            self._holders = {}


_RANKINGS = _Rankings()


def stream_members(stream: str, members: tuple[Member, ...], stream_count: int) -> list[Member]:
    """Returns the daemons that share a stream's resources, its committer first.

    Each stream has about `2 * members / streams` of them, at least two if there are as many, so
    that a daemon follows about two streams whatever the size of the deployment. The result is kept
    as long as it is asked for the same tuple; do not change it.
    """
    return _RANKINGS.stream(stream, members, stream_count)


def shared_streams(member_id: str, members: tuple[Member, ...], stream_count: int) -> list[str]:
    """Returns the streams whose resources a daemon shares."""
    names = map(stream_name, range(stream_count))
    return [
        name
        for name in names
        if any(m.member_id == member_id for m in stream_members(name, members, stream_count))
    ]


def desired_holder(resource: str, members: tuple[Member, ...], stream_count: int) -> str | None:
    """Returns the member id of the daemon that should hold a resource, None if there is none."""
    return _RANKINGS.holder(resource, members, stream_count)


def _rank(stream: str, members: tuple[Member, ...], stream_count: int) -> list[Member]:
    staying = [member for member in members if not member.draining]
    ranked = sorted(staying, key=lambda member: _score(stream, member), reverse=True)
    share = max(2, -(-2 * len(ranked) // stream_count))
    return ranked[:share]


def _score(name: str, member: Member) -> int:
    """Rendezvous hashing: a member that comes or goes moves only what it takes or leaves."""
    text = f"{name}|{member.member_id}".encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=8).digest(), "big")
