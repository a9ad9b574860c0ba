"""Derives the limits of a caller's connection from the configuration."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quincespool.net.connection_limits import ConnectionLimits
from quincespool.net.connection_limits import default_limits

if TYPE_CHECKING:
    from quincespool.gateway.model import CallerLimits

# Callers close idle connections a little before the configured limit. With this margin the daemon
# closes them later than the callers do.
IDLE_MARGIN_MS = 2_000
# A caller that just meets the limit measures from when it sends, which is before the data arrives.
HEAD_MARGIN_MS = 500


def connection_limits(limits: CallerLimits) -> ConnectionLimits:
    """Returns the limits of a caller's connection."""
    idle_s = (limits.idle_timeout_ms + IDLE_MARGIN_MS) / 1000
    return ConnectionLimits(
        max_head_bytes=limits.max_head_bytes,
        max_body_bytes=limits.max_body_bytes,
        first_s=idle_s,
        head_s=(limits.head_timeout_ms + HEAD_MARGIN_MS) / 1000,
        body_s=default_limits().body_s,
        idle_s=idle_s,
    )
