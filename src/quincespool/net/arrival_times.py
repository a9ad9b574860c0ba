"""When the bytes of a connection arrived, for requests that wait behind others."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

# Beyond this, what arrives in small pieces counts as having arrived with the last of them.
MAX_ARRIVALS = 64


class _Arrival(NamedTuple):
    end_bytes: int
    at_s: float


class ArrivalTimes:
    """The arrival times of the bytes that have not been consumed yet."""

    def __init__(self) -> None:
        self._received_bytes = 0
        self._arrivals: deque[_Arrival] = deque()

    def add(self, size_bytes: int, at_s: float) -> None:
        """Adds bytes that have arrived."""
        self._received_bytes += size_bytes
        if len(self._arrivals) == MAX_ARRIVALS:
            self._arrivals.pop()
        self._arrivals.append(_Arrival(self._received_bytes, at_s))

    def consume(self, *, left_bytes: int) -> float:
        """Returns when the last byte arrived before the `left_bytes` that are not consumed."""
        consumed_bytes = self._received_bytes - left_bytes
        while self._arrivals[0].end_bytes < consumed_bytes:
            self._arrivals.popleft()
        return self._arrivals[0].at_s
