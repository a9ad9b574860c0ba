"""Where an answer goes: to a caller's connection or to the daemon that relays for it."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

if TYPE_CHECKING:
    from quincespool.gateway.model import Headers
    from quincespool.gateway.model import Refusal


class Reply(Protocol):
    """Takes one answer. After `end` or `refuse` nothing follows."""

    def head(self, status: int, headers: Headers) -> None:
        """Starts an answer whose body follows in pieces."""

    def piece(self, data: bytes) -> None:
        """Hands a piece of the body on."""

    def end(self) -> None:
        """The answer is whole."""

    def refuse(self, refusal: Refusal) -> None:
        """The gateway's own final answer; after a head it breaks the answer off."""
