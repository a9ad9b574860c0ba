"""The interface through which a caller's connection reaches the server that it belongs to."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol
from typing import TypeVar

if TYPE_CHECKING:
    from quincespool.net.connection_limits import ConnectionLimits
    from quincespool.net.held_memory import HeldMemory
    from quincespool.net.requests import HttpRequest
    from quincespool.net.requests import RequestError

C_contra = TypeVar("C_contra", contravariant=True)


class ConnectionOwner(Protocol[C_contra]):
    """What a connection needs of the server it belongs to."""

    draining: bool
    memory: HeldMemory

    @property
    def limits(self) -> ConnectionLimits:
        """The limits in force; asked at each use, as they may change while a connection is open."""

    def may_take(self) -> bool:
        """Whether requests may be taken now; if not, connections are told by `resume` later."""

    def opened(self, connection: C_contra) -> bool:
        """Takes note of a connection; false if there are too many."""

    def closed(self, connection: C_contra) -> None:
        """Forgets a connection; its request, if there is one, has lost its caller."""

    def dropped(self) -> None:
        """Counts a caller that reads too slowly."""

    def handle(self, connection: C_contra, request: HttpRequest) -> None:
        """Answers a request, now or later, by `respond` or `start_stream`."""

    def refuse(self, connection: C_contra, error: RequestError) -> None:
        """Answers a request that is malformed as HTTP, by `respond`."""

    def overloaded(self, connection: C_contra) -> None:
        """Answers that there is no room for the connection or the request, by `respond`."""
