"""Requests that crash the backend servers that run them, recognised by content.

Such a request is sent again with other ids, to any daemon, and crashes one backend server after
another. The daemon that detects a crash announces it to all daemons.
"""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from quincespool.gateway.model import Call

# Number of crashes after which a request is refused. One or two backend servers may have crashed
# for another reason while they ran the request.
CRASHES_TO_REFUSE = 3
# Time after its last crash at which a request is allowed again: the backend servers' software may
# have been fixed.
CRASH_MEMORY_MS = 120_000
MAX_REMEMBERED_REQUESTS = 2_000


def fingerprint(call: Call) -> str:
    """Returns a digest of the request's content, which does not depend on the request's id."""
    digest = hashlib.blake2b(digest_size=12)
    for part in (call.method, call.host, call.target):
        digest.update(part.encode() + b"\0")
    digest.update(call.body)
    return digest.hexdigest()


class CrashHistory:
    """The crashes of backend servers, by fingerprint of the request that they ran."""

    def __init__(self) -> None:
        self._crashes: dict[str, dict[str, int]] = {}

    def record_crash(self, request_digest: str, incarnation: str, now_ms: int) -> int:
        """Records a crash; returns how many processes have crashed while they ran this request."""
        while len(self._crashes) >= MAX_REMEMBERED_REQUESTS and request_digest not in self._crashes:
            del self._crashes[next(iter(self._crashes))]
        crashed_at_ms = self._crashes.setdefault(request_digest, {})
        crashed_at_ms[incarnation] = now_ms
        return len(crashed_at_ms)

    def clear(self, request_digest: str) -> None:
        """Forgets the crashes of a request that a backend server has answered: it is harmless."""
        self._crashes.pop(request_digest, None)

    def is_refused(self, request_digest: str, now_ms: int) -> bool:
        """Returns whether this request must not be sent to another backend server."""
        crashed_at_ms = self._crashes.get(request_digest)
        if crashed_at_ms is None:
            return False
        if now_ms - max(crashed_at_ms.values()) > CRASH_MEMORY_MS:
            del self._crashes[request_digest]
            return False
        return len(crashed_at_ms) >= CRASHES_TO_REFUSE
