"""Requests that crash the backend servers that run them, recognised by content.

Such a request comes again under other ids, at any daemon, and takes one backend server after the
other down. Whoever sees a crash tells all daemons.
"""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from quincespool.gateway.model import Call

# Backend servers that a request has crashed before no other gets it. One or two may have crashed
# for a reason of their own while the request was there.
CRASHES_TO_REFUSE = 3
# After this time a request gets another chance: the backend servers' software may be mended.
REMEMBER_MS = 120_000
MAX_REMEMBERED = 2_000


def fingerprint(call: Call) -> str:
    """Returns what the same request has in common under other ids."""
    digest = hashlib.blake2b(digest_size=12)
    for part in (call.method, call.host, call.target):
        digest.update(part.encode() + b"\0")
    digest.update(call.body)
    return digest.hexdigest()


class CrashWatch:
    """Crashes by fingerprint of the request that was there."""

    def __init__(self) -> None:
        self._crashes: dict[str, dict[str, int]] = {}

    def note(self, mark: str, life: str, now_ms: int) -> int:
        """Takes note of a crash; returns how many processes this request has crashed."""
        while len(self._crashes) >= MAX_REMEMBERED and mark not in self._crashes:
            del self._crashes[next(iter(self._crashes))]
        seen = self._crashes.setdefault(mark, {})
        seen[life] = now_ms
        return len(seen)

    def clear(self, mark: str) -> None:
        """Takes note that a backend server has answered this request: it is harmless."""
        self._crashes.pop(mark, None)

    def is_refused(self, mark: str, now_ms: int) -> bool:
        """Whether no further backend server may get this request."""
        seen = self._crashes.get(mark)
        if seen is None:
            return False
        if now_ms - max(seen.values()) > REMEMBER_MS:
            del self._crashes[mark]
            return False
        return len(seen) >= CRASHES_TO_REFUSE
