"""Socket options that let the kernel notice a host that has vanished."""

from __future__ import annotations

import array
import contextlib
import fcntl
import socket
import struct
import termios
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio


# Without a word for so long, the kernel asks the other side whether it is there.
DEFAULT_IDLE_S = 5
# Of what is received and of what is sent, on each connection of a caller, daemon or backend server.
KERNEL_BUFFER_BYTES = 65_536
# Place in the kernel's `struct tcp_info`: how often the oldest bytes were sent again in vain.
_RETRANSMITS = 2
# The same for how long ago, in milliseconds, data was last sent, an acknowledgement sent, data
# received and an acknowledgement received.
_LAST_TIMES = struct.Struct("=44x4I")
# The kernel's `struct linger`: whether closing waits for unsent data, and for how many seconds.
_LINGER = struct.Struct("=2i")


def limit_silence(
    transport: asyncio.Transport, *, unacknowledged_ms: int = 0, idle_s: int = DEFAULT_IDLE_S
) -> None:
    """Breaks a connection whose other side says nothing more.

    A host that loses its power or its network does not close its connections. Without a limit the
    kernel waits for ever, or sends again for a quarter of an hour, and every call behind such a
    connection hangs for as long. Probes find out within 6 s of being begun, and sooner if less than
    that may stay unacknowledged.

    Args:
      transport: The connection.
      unacknowledged_ms: Also break it when what was sent is not acknowledged in this time; 0 leaves
        that to the kernel.
      idle_s: Probe a connection on which nothing has passed for so long.
    """
    sock: socket.socket | None = transport.get_extra_info("socket")
    if sock is None:
        return
    # An option that a kernel does not have is no reason not to connect.
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, idle_s)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 2)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 3)
        if unacknowledged_ms:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, unacknowledged_ms)


def is_resending(transport: asyncio.Transport) -> bool:
    """Whether the kernel sends again, since the other host has acknowledged nothing for a while."""
    sock: socket.socket | None = transport.get_extra_info("socket")
    if sock is None:
        return False
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _RETRANSMITS + 1)
    except OSError:
        # The connection is over, which its protocol is told.
        return False
    return info[_RETRANSMITS] > 0


def probe_after(transport: asyncio.Transport, idle_s: int) -> None:
    """Has the kernel probe the other host once nothing has been received from it for `idle_s`.

    If nothing has been received for longer than that already, the kernel sends a probe at once.
    """
    sock: socket.socket | None = transport.get_extra_info("socket")
    if sock is None:
        return
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, idle_s)


def reset_on_close(transport: asyncio.BaseTransport, *, enabled: bool) -> None:
    """Sets whether closing a connection resets it, also when its process is killed."""
    sock: socket.socket | None = transport.get_extra_info("socket")
    if sock is None:
        return
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER.pack(int(enabled), 0))


def limit_buffers(sock: socket.socket) -> None:
    """Limits what the kernel keeps of a connection; a listening socket hands it on to each.

    Without a limit the kernel lets a connection's buffers grow to several megabytes.
    """
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, KERNEL_BUFFER_BYTES)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, KERNEL_BUFFER_BYTES)


def kernel_held_bytes(transport: asyncio.BaseTransport) -> int:
    """Returns what the kernel keeps: received and not read, or sent and not acknowledged.

    0 if the kernel does not say.
    """
    sock: socket.socket | None = transport.get_extra_info("socket")
    if sock is None:
        return 0
    size = array.array("i", [0])
    held_bytes = 0
    for request in (termios.FIONREAD, termios.TIOCOUTQ):
        with contextlib.suppress(OSError, ValueError):
            fcntl.ioctl(sock.fileno(), request, size)
            held_bytes += size[0]
    return held_bytes


def last_received_ms_ago(transport: asyncio.Transport) -> int | None:
    """Returns how long ago the kernel received anything, which may be only an acknowledgement.

    Returns:
      Milliseconds; None if the kernel does not say.
    """
    sock: socket.socket | None = transport.get_extra_info("socket")
    if sock is None:
        return None
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _LAST_TIMES.size)
    except OSError:
        return None
    if len(info) < _LAST_TIMES.size:
        return None
    times_ms = _LAST_TIMES.unpack(info)
    if not any(times_ms):
        # A kernel that does not measure these times reports zeros.
        return None
    _, _, data_ms, acknowledgement_ms = times_ms
    return int(min(data_ms, acknowledgement_ms))
