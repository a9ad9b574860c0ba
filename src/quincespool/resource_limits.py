"""How much a daemon may hold for others, derived from the memory and descriptors of its host."""

from __future__ import annotations

from typing import NamedTuple

DEFAULT_MEMORY_MB = 128
DEFAULT_DESCRIPTORS = 4_096

# What a process holds before it serves anybody: the interpreter, libraries and the code.
BASE_BYTES = 48_000_000
MIN_SHARED_BYTES = 16_000_000
# The shares of the memory beyond that; what is left is for connections to backend servers, for
# links and for the growth of the process.
CALLERS_SHARE = 0.35
HISTORIES_SHARE = 0.2
CONNECTIONS_SHARE = 0.15
# An idle connection with its parser, timer and kernel structures.
CONNECTION_BYTES = 8_192

# Descriptors that sockets may not use: the platform keeps them for files.
FILE_DESCRIPTORS = 200
MIN_SOCKETS = 64
# The shares of the sockets; what is left is for connections to backend servers, one for each call
# under way, and to other daemons and the store.
CALLER_SOCKETS_SHARE = 0.28
SIDE_SOCKETS_SHARE = 0.08
LINK_SOCKETS_SHARE = 0.12
RELAYED_SOCKETS_SHARE = 0.1


# Of the callers' connections: a service that hangs leaves the others for other calls.
SERVICE_SHARE = 0.5


class ResourceLimits(NamedTuple):
    """Bounds on what others can make a daemon hold, each for all of them together.

    Attributes:
      held_bytes: For what is unfinished, unread or under way on connections.
      history_bytes: For the histories of programs.
      caller_connections: Connections of callers.
      calls_per_service: Calls under way at one service.
      relayed_calls: Calls under way that other daemons relay here.
      side_connections: Connections to the administrative ports.
      incoming_links: Links that other daemons have made.
    """

    held_bytes: int
    history_bytes: int
    caller_connections: int
    calls_per_service: int
    relayed_calls: int
    side_connections: int
    incoming_links: int


def make_resource_limits(*, memory_mb: int, max_descriptors: int) -> ResourceLimits:
    """Returns the limits of a daemon.

    Args:
      memory_mb: Memory that the process may use, in millions of bytes.
      max_descriptors: Descriptors that the process may have open.
    """
    shared_bytes = max(MIN_SHARED_BYTES, memory_mb * 1_000_000 - BASE_BYTES)
    sockets = max(MIN_SOCKETS, max_descriptors - FILE_DESCRIPTORS)
    most_connections = int(shared_bytes * CONNECTIONS_SHARE) // CONNECTION_BYTES
    caller_connections = min(most_connections, int(sockets * CALLER_SOCKETS_SHARE))
    return ResourceLimits(
        held_bytes=int(shared_bytes * CALLERS_SHARE),
        history_bytes=int(shared_bytes * HISTORIES_SHARE),
        caller_connections=caller_connections,
        calls_per_service=int(caller_connections * SERVICE_SHARE),
        relayed_calls=int(sockets * RELAYED_SOCKETS_SHARE),
        side_connections=min(most_connections, int(sockets * SIDE_SOCKETS_SHARE)),
        incoming_links=min(most_connections, int(sockets * LINK_SOCKETS_SHARE)),
    )
