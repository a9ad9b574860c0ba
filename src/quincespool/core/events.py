"""Everything that can happen to a daemon. The reducer takes these one at a time."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

if TYPE_CHECKING:
    from quincespool.core.call import Call
    from quincespool.core.members import Member
    from quincespool.core.messages import Datagram
    from quincespool.core.messages import Message


class CallReceived(NamedTuple):
    """A caller's request arrived whole. `request_id` is unique in this process."""

    request_id: int
    call: Call


class EndReceived(NamedTuple):
    """A caller ends its program."""

    request_id: int
    program_id: str


class WhereReceived(NamedTuple):
    """A caller asks which address to use; `program_id` may be empty."""

    request_id: int
    program_id: str


class AuditReceived(NamedTuple):
    """An auditor asks for the steps behind an outcome."""

    request_id: int
    outcome_id: str


class CallerGone(NamedTuple):
    """The connection of an unanswered request has closed."""

    request_id: int


class MessageReceived(NamedTuple):
    """A message from another daemon (or from this one to itself)."""

    sender: str
    message: Message


class LinkDown(NamedTuple):
    """The connection to a daemon is gone; what was in flight on it may or may not have arrived."""

    member_id: str


class DatagramReceived(NamedTuple):
    """A membership datagram and where it came from."""

    host: str
    port: int
    datagram: Datagram


class LogRecord(NamedTuple):
    """One record of a stream; `body` is its JSON text."""

    offset: int
    body: bytes


class RecordsRead(NamedTuple):
    """Records of a followed stream, in order and without gaps.

    Also comes without records. `end_offset` is the stream's end when the answer was made, so
    `next_offset == end_offset` says that the stream was read to its end.
    """

    stream: str
    records: tuple[LogRecord, ...]
    next_offset: int
    end_offset: int


class StreamExpired(NamedTuple):
    """The records from the wanted offset have expired; `earliest_offset` is the first one kept."""

    stream: str
    earliest_offset: int


class StreamUnreachable(NamedTuple):
    """A read failed; the shell goes on trying."""

    stream: str
    detail: str


class AppendDone(NamedTuple):
    """An append was acknowledged. It counts only once it has been read back."""

    stream: str
    append_id: int
    offset: int


class AppendFailed(NamedTuple):
    """An append was refused (`may_have_written` false) or its answer was lost (true)."""

    stream: str
    append_id: int
    may_have_written: bool
    retry_after_ms: int
    detail: str


class ExchangeHead(NamedTuple):
    """Status and headers (lower-case names) of a backend server's response."""

    exchange_id: int
    status: int
    headers: dict[str, str]


class ExchangeData(NamedTuple):
    """A piece of a backend server's response body."""

    exchange_id: int
    data: bytes


class ExchangeEnd(NamedTuple):
    """A backend server's response is complete."""

    exchange_id: int


class ExchangeFailed(NamedTuple):
    """An exchange with a backend server broke off.

    Attributes:
      exchange_id: Which one.
      sent: False only if not one byte of the request can have reached the backend server.
      cut: The backend server closed or reset the connection (a crash looks like this); false for a
        time limit.
      detail: For the log.
    """

    exchange_id: int
    sent: bool
    cut: bool
    detail: str


ExchangeEvent = ExchangeHead | ExchangeData | ExchangeEnd | ExchangeFailed


class HostsRead(NamedTuple):
    """The platform's host list: `address` (host:port) to `live` or `leaving`. It lags."""

    hosts: dict[str, str]


class TimerFired(NamedTuple):
    """A subscription of the timer service is due. Only `part` handles it."""

    part: str
    name: str
    argument: str


class DrainRequested(NamedTuple):
    """An operator or the platform asks for a planned stop."""


class Started(NamedTuple):
    """The first event of a process."""


class Woken(NamedTuple):
    """The process noticed that it stood still for `gap_ms` (raised by the reducer itself)."""

    gap_ms: int


class MembersChanged(NamedTuple):
    """Raised by membership: the members now believed alive, sorted by id, this one included."""

    members: tuple[Member, ...]


class CatalogueChanged(NamedTuple):
    """Raised by the catalogue: names of entries that were set or removed."""

    names: tuple[str, ...]


class LedgerAdvanced(NamedTuple):
    """Raised by the ledger: the stream has been applied up to `next_offset`.

    `resources` are the claims that changed hands, `programs` the program ids whose state changed;
    `last_sequence` is this daemon's last group that has been applied.
    """

    stream: str
    next_offset: int
    at_end: bool
    last_sequence: int
    resources: tuple[str, ...]
    programs: tuple[str, ...]


class AccountDecided(NamedTuple):
    """Raised by the accounts part: the decision on a ticket that was pending.

    If granted, the call must be over by `must_end_by_ms`; else it may be tried again after
    `retry_after_ms`. `unanswered` says that the account's home did not answer, so that nothing is
    known of the account's limit.
    """

    account: str
    ticket: str
    granted: bool
    must_end_by_ms: int
    retry_after_ms: int
    unanswered: bool = False


Event = (
    CallReceived
    | EndReceived
    | WhereReceived
    | AuditReceived
    | CallerGone
    | MessageReceived
    | LinkDown
    | DatagramReceived
    | RecordsRead
    | StreamExpired
    | StreamUnreachable
    | AppendDone
    | AppendFailed
    | ExchangeHead
    | ExchangeData
    | ExchangeEnd
    | ExchangeFailed
    | HostsRead
    | TimerFired
    | DrainRequested
    | Started
    | Woken
    | MembersChanged
    | CatalogueChanged
    | LedgerAdvanced
    | AccountDecided
)
