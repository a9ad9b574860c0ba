"""A bound on the calls of each service, so that a slow one leaves room for the others."""

from __future__ import annotations

import contextlib
from collections import Counter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator


class ServiceSlots:
    """Counts the calls under way by the service that answers them."""

    def __init__(self, calls_per_service: int) -> None:
        self._calls_per_service = calls_per_service
        self._calls: Counter[str] = Counter()

    def has_room(self, service: str) -> bool:
        """Whether one more call of a service may begin."""
        return self._calls[service] < self._calls_per_service

    @contextlib.contextmanager
    def occupied(self, service: str) -> Iterator[None]:
        """Counts one call of a service."""
        self._calls[service] += 1
        try:
            yield
        finally:
            self._calls[service] -= 1
            if not self._calls[service]:
                del self._calls[service]
