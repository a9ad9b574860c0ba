"""A hash by which all daemons agree on places."""

from __future__ import annotations

import hashlib
from functools import lru_cache


@lru_cache(maxsize=65536)
def stable_hash(text: str) -> int:
    """Returns the same 64-bit number for the same text in every process."""
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest(), "big")
