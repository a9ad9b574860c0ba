"""What a process and the kernel on its behalf hold."""

from __future__ import annotations

import asyncio
import contextlib
from pathlib import Path
from typing import TYPE_CHECKING
from typing import NamedTuple
from typing import Self

if TYPE_CHECKING:
    from collections.abc import Iterable

SAMPLE_S = 0.02
# Columns of /proc/PID/net/tcp.
_LOCAL_ADDRESS, _QUEUES = 1, 4


class Host(NamedTuple):
    """What the platform says of a host."""

    memory_mb: int
    max_descriptors: int


# The smallest memory of a host; descriptors for a small crowd.
SMALL_HOST = Host(memory_mb=88, max_descriptors=600)


class PeakUsage:
    """Follows the memory and descriptors of a process; a context manager that ends it.

    Attributes:
      memory_bytes: Most that the process had resident, with what the kernel held of its
        connections: received and not read, or sent and not acknowledged.
      descriptors: Most that were open.
    """

    def __init__(self, process_id: int, ports: Iterable[int]) -> None:
        self.memory_bytes = 0
        self.descriptors = 0
        self._folder = Path(f"/proc/{process_id}")
        self._ports = frozenset(ports)
        self._sampler: asyncio.Task[None]

    def check(self, host: Host) -> None:
        """Fails unless the process has stayed within a host."""
        seen = f"{self.memory_bytes / 1e6:.1f} MB, {self.descriptors} descriptors"
        assert self.memory_bytes <= host.memory_mb * 1_000_000, seen
        assert self.descriptors <= host.max_descriptors, seen

    async def __aenter__(self) -> Self:
        self._sampler = asyncio.create_task(self._sample_on())
        return self

    async def __aexit__(self, *_: object) -> None:
        self._sampler.cancel()
        self._sample()

    async def _sample_on(self) -> None:
        while True:
            self._sample()
            await asyncio.sleep(SAMPLE_S)

    def _sample(self) -> None:
        # The process may have ended, which the test tells by itself.
        with contextlib.suppress(OSError):
            resident_bytes, peak_bytes = _resident_bytes(self._folder)
            held_bytes = resident_bytes + _queued_bytes(self._folder, self._ports)
            self.memory_bytes = max(self.memory_bytes, peak_bytes, held_bytes)
            descriptors = sum(1 for _ in (self._folder / "fd").iterdir())
            self.descriptors = max(self.descriptors, descriptors)


def _resident_bytes(folder: Path) -> tuple[int, int]:
    """Returns what is resident now, and the most that ever was."""
    lines = (folder / "status").read_text().splitlines()
    sizes = {line.split()[0]: line.split()[1] for line in lines if line.startswith("Vm")}
    return int(sizes["VmRSS:"]) * 1024, int(sizes["VmHWM:"]) * 1024


def _queued_bytes(folder: Path, ports: frozenset[int]) -> int:
    queued = 0
    for line in (folder / "net" / "tcp").read_text().splitlines()[1:]:
        fields = line.split()
        if int(fields[_LOCAL_ADDRESS].rpartition(":")[2], 16) in ports:
            queued += sum(int(size, 16) for size in fields[_QUEUES].split(":"))
    return queued
