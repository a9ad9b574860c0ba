"""Interface for sending an answer to a caller, directly or through the daemon that relays it."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

if TYPE_CHECKING:
    from quincespool.gateway.model import Headers
    from quincespool.gateway.model import Refusal


class Reply(Protocol):
    """Sends one answer. Nothing may follow `end` or `refuse`."""

    def start(self, status: int, headers: Headers) -> None:
        """Sends status and headers of an answer whose body follows in chunks."""

    def send_chunk(self, data: bytes) -> None:
        """Sends a chunk of the body."""

    def end(self) -> None:
        """Ends a complete answer."""

    def refuse(self, refusal: Refusal) -> None:
        """Sends a refusal of the gateway; after `start` it aborts the answer instead."""
