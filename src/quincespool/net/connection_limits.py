"""Bounds on the size and pace of what callers and operators send."""

from __future__ import annotations

from typing import NamedTuple

MAX_HEAD_BYTES = 65_536
MAX_BODY_BYTES = 8_000_000

HEAD_LIMIT_S = 10.0
BODY_LIMIT_S = 30.0
IDLE_LIMIT_S = 75.0


class ConnectionLimits(NamedTuple):
    """Bounds on the size and pace of what a caller sends on one connection.

    Attributes:
      max_head_bytes: Size of the request line and headers.
      max_body_bytes: Size of the body.
      first_s: From the connection to the first byte on it.
      head_s: From the first byte of a request to the end of its head.
      body_s: From there to its end.
      idle_s: From an answer to the first byte of the next request.
    """

    max_head_bytes: int
    max_body_bytes: int
    first_s: float
    head_s: float
    body_s: float
    idle_s: float


def default_limits() -> ConnectionLimits:
    """Returns the limits of a server that has no others configured."""
    return ConnectionLimits(
        max_head_bytes=MAX_HEAD_BYTES,
        max_body_bytes=MAX_BODY_BYTES,
        first_s=HEAD_LIMIT_S,
        head_s=HEAD_LIMIT_S,
        body_s=BODY_LIMIT_S,
        idle_s=IDLE_LIMIT_S,
    )
