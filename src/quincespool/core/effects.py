"""Everything a daemon can do, as data. The shell (`quincespool.net.daemon`) carries these out."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

if TYPE_CHECKING:
    from quincespool.core.call import Answer
    from quincespool.core.events import Event
    from quincespool.core.messages import Datagram
    from quincespool.core.messages import Message


class Respond(NamedTuple):
    """Send the whole answer to a caller; ends the request.

    When the response has been started as a stream already, the shell sends the answer as the last
    events of that stream instead of as a response of its own.
    """

    request_id: int
    answer: Answer


class RespondText(NamedTuple):
    """Pass generated text on to a caller that asked for a stream; starts the stream if need be."""

    request_id: int
    text: str


class SendMessage(NamedTuple):
    """Send a message to a daemon; the reducer itself delivers messages to its own daemon.

    If there is no connection and none can be made, the shell raises `LinkDown`.
    """

    member_id: str
    message: Message


class SendDatagram(NamedTuple):
    """Send a membership datagram."""

    host: str
    port: int
    datagram: Datagram


class CloseLinks(NamedTuple):
    """Close all connections to other daemons; what is buffered on them is dropped unread."""


class FollowStream(NamedTuple):
    """Read a stream from an offset on, for good; replaces an earlier one for the same stream."""

    stream: str
    from_offset: int


class UnfollowStream(NamedTuple):
    """Stop reading a stream."""

    stream: str


class AppendRecord(NamedTuple):
    """Append one record, a JSON text; answered by `AppendDone` or `AppendFailed`."""

    stream: str
    append_id: int
    body: bytes


class StartExchange(NamedTuple):
    """Send a request to a backend server, once, on a connection that serves nobody else meanwhile.

    The shell never sends it again by itself, also not on a connection that turned out closed.
    """

    exchange_id: int
    address: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    time_limit_ms: int


class StopExchange(NamedTuple):
    """Break an exchange off by closing its connection; no further events come from it."""

    exchange_id: int


class Log(NamedTuple):
    """A line for the operators. `fields` are JSON values; names carry their unit."""

    level: str
    message: str
    fields: dict[str, object]


class Count(NamedTuple):
    """Add to a counter of `quincespool.net.metrics`."""

    metric: str
    amount: float = 1
    labels: tuple[tuple[str, str], ...] = ()


class Observe(NamedTuple):
    """Add a value to a histogram of `quincespool.net.metrics`."""

    metric: str
    value: float
    labels: tuple[tuple[str, str], ...] = ()


class Raise(NamedTuple):
    """Hand an event to all parts of the same daemon, after the present one."""

    event: Event


class Stop(NamedTuple):
    """The planned stop is complete: leave."""


Effect = (
    Respond
    | RespondText
    | SendMessage
    | SendDatagram
    | CloseLinks
    | FollowStream
    | UnfollowStream
    | AppendRecord
    | StartExchange
    | StopExchange
    | Log
    | Count
    | Observe
    | Raise
    | Stop
)

Effects = list[Effect]
