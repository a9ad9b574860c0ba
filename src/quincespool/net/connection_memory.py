"""What one connection of a caller holds of the memory that all connections share."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quincespool.net.socket_options import KERNEL_BUFFER_BYTES
from quincespool.net.socket_options import kernel_held_bytes

if TYPE_CHECKING:
    import asyncio

    from quincespool.net.held_memory import HeldMemory
    from quincespool.net.held_memory import Holder


# Objects of one write that waits for the kernel to take it, beside its data.
WRITE_BYTES = 1_024


class ConnectionMemory:
    """The account of one connection.

    What the kernel keeps is estimated, as asking it for each answer would cost a system call. The
    estimate is never too low.
    """

    def __init__(self, memory: HeldMemory, holder: Holder, transport: asyncio.Transport) -> None:
        self._memory = memory
        self._holder = holder
        self._transport = transport
        self._reserved_bytes = 0
        # Written since the kernel was last asked what it has not sent.
        self._written_bytes = 0
        # Since the transport was last without unsent data.
        self._queued_writes = 0
        self._queued_bytes = 0

    def reserve(self, cost_bytes: int) -> bool:
        """Reserves memory for a request under way; False if there is none left."""
        if not self._memory.reserve(cost_bytes):
            return False
        self._reserved_bytes = cost_bytes
        return True

    def release(self) -> None:
        """Gives back what was reserved, if anything was."""
        self._memory.release(self._reserved_bytes)
        self._reserved_bytes = 0

    def record_write(self, size_bytes: int) -> None:
        """Takes note of bytes that were written to the transport, in one piece."""
        self._written_bytes += size_bytes
        if self._transport.get_write_buffer_size() <= size_bytes:
            self._queued_writes, self._queued_bytes = 0, 0
        self._queued_writes += 1
        self._queued_bytes += size_bytes

    def report(self, arrived_bytes: int) -> None:
        """Reports what is held at most.

        Args:
          arrived_bytes: What has arrived and is not done with.
        """
        in_kernel_bytes = min(self._written_bytes, KERNEL_BUFFER_BYTES)
        if not self._transport.is_reading():
            in_kernel_bytes += KERNEL_BUFFER_BYTES
        self._memory.update(self._holder, arrived_bytes + self._unsent_bytes + in_kernel_bytes)

    def measure(self, arrived_bytes: int) -> int:
        """Asks the kernel, and returns what is held."""
        in_kernel_bytes = kernel_held_bytes(self._transport)
        self._written_bytes = in_kernel_bytes
        return arrived_bytes + self._unsent_bytes + in_kernel_bytes

    def close(self) -> None:
        """Gives everything back."""
        self.release()
        self._memory.discard(self._holder)

    @property
    def _unsent_bytes(self) -> int:
        """Memory of what the kernel has not taken; small pieces take many times their size."""
        unsent_bytes = self._transport.get_write_buffer_size()
        if not unsent_bytes:
            return 0
        return unsent_bytes + unsent_bytes * WRITE_BYTES * self._queued_writes // self._queued_bytes
