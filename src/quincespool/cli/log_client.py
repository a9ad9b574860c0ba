"""Reads and appends to the log service for the commands."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

import msgspec
from expression import Error
from expression import Ok
from expression import Result

from quincespool.cli.client import request
from quincespool.cli.errors import CommandError

if TYPE_CHECKING:
    from quincespool.cli.client import Reply

# Requests that certainly changed nothing; any other failure of an append may have written.
_NOT_WRITTEN = frozenset({400, 404, 405, 413, 429, 503})
_PAGE_RECORDS = 1000


class Record(msgspec.Struct, frozen=True):
    """One record; `body` is its JSON text."""

    offset: int
    body: msgspec.Raw


class Page(msgspec.Struct, frozen=True):
    """One answer to a read."""

    records: list[Record]
    next_offset: int
    end_offset: int


class AppendFault(NamedTuple):
    """An append without an acknowledgement.

    Attributes:
      may_have_written: Whether the record may be in the stream nevertheless.
      retry_after_s: How long the log service asks to wait.
      detail: Why, for the operator.
    """

    may_have_written: bool
    retry_after_s: float
    detail: str


class LogUnavailableError(CommandError):
    """The log service cannot be read."""


class RecordsExpiredError(Exception):
    """The records from the wanted offset have expired."""

    def __init__(self, earliest_offset: int) -> None:
        super().__init__(f"records before {earliest_offset} have expired")
        self.earliest_offset = earliest_offset


def read_page(address: str, stream: str, from_offset: int) -> Page:
    """Returns the records of a stream from an offset on, as many as come in one answer.

    Raises:
      LogUnavailableError: if there is no usable answer.
      RecordsExpiredError: if the log service no longer keeps them.
    """
    target = f"/streams/{stream}/records?from={from_offset}&limit={_PAGE_RECORDS}&wait_ms=0"
    answered = request(address, "GET", target)
    if answered.is_error():
        raise LogUnavailableError(f"log service: {answered.error.detail}")
    reply = answered.ok
    if reply.status == 410:
        raise RecordsExpiredError(int(reply.json()["earliest_offset"]))
    if reply.status != 200:
        raise LogUnavailableError(f"log service at {address} {_status_text(reply)}")
    try:
        return msgspec.json.decode(reply.body, type=Page)
    except msgspec.DecodeError as error:
        raise LogUnavailableError(f"{address} is no log service: {error}; check --log") from error


def append(address: str, stream: str, body: bytes) -> Result[int, AppendFault]:
    """Appends one record, once.

    Args:
      address: `IP:PORT` of the log service.
      stream: Name of the stream.
      body: A JSON object.

    Returns:
      The offset that the log service acknowledged.
    """
    answered = request(address, "POST", f"/streams/{stream}/records", body=body)
    if answered.is_error():
        unanswered = answered.error
        return Error(AppendFault(unanswered.sent, 0.0, f"log service: {unanswered.detail}"))
    reply = answered.ok
    acknowledged = reply.json()
    if reply.status == 200 and isinstance(acknowledged, dict) and "offset" in acknowledged:
        return Ok(int(acknowledged["offset"]))
    return Error(
        AppendFault(
            may_have_written=reply.status not in _NOT_WRITTEN,
            retry_after_s=reply.retry_after_s,
            detail=f"log service at {address} {_status_text(reply)}",
        )
    )


def _status_text(reply: Reply) -> str:
    meaning = {429: "is over its append rate", 503: "is out of service"}
    return meaning.get(reply.status, f"answered status {reply.status}")
