"""What a keeper sends to a backend server for an attempt, and how it takes the response."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from expression import Error
from expression import Ok
from expression import Result

from quincespool.core.call import CallKind
from quincespool.core.keeper.chat_stream import ChatStream
from quincespool.core.keeper.chat_stream import MalformedReplyError

if TYPE_CHECKING:
    from quincespool.core.events import ExchangeHead
    from quincespool.core.messages import Dispatch

FENCING_HEADER = "x-fencing-number"
DEFAULT_RETRY_MS = 1000


class Reply:
    """The response to one attempt as far as it has come.

    Attributes:
      status: HTTP status, 0 before the head.
      content_type: Media type of the body.
      retry_after_ms: When the backend server asks to come back.
      chat: The streamed chat completion; None for services and for errors of an engine.
    """

    def __init__(self, *, call_kind: str, limit_bytes: int) -> None:
        self.status = 0
        self.content_type = ""
        self.retry_after_ms = DEFAULT_RETRY_MS
        self.chat: ChatStream | None = None
        self._call_kind = call_kind
        self._limit_bytes = limit_bytes
        self._body = bytearray()

    @property
    def body(self) -> bytes:
        """The body so far, if it isn't a chat stream."""
        return bytes(self._body)

    def take_head(self, head: ExchangeHead) -> None:
        """Takes status and headers."""
        self.status = head.status
        self.content_type = head.headers.get("content-type", "application/octet-stream")
        self.retry_after_ms = _retry_after_ms(head.headers.get("retry-after", ""))
        if self._call_kind == CallKind.MODEL and 200 <= head.status < 300:
            self.chat = ChatStream(event_limit_bytes=self._limit_bytes)

    def take_data(self, data: bytes) -> str:
        """Takes a piece of the body and returns generated text to pass on.

        Raises:
          MalformedReplyError: if it cannot be understood or is too long.
        """
        if self.chat is not None:
            return self.chat.feed(data)
        self._body += data
        if len(self._body) > self._limit_bytes:
            raise MalformedReplyError(f"body over {self._limit_bytes} bytes")
        return ""


def request_headers(dispatch: Dispatch, *, epoch: int) -> tuple[tuple[str, str], ...]:
    """Returns the headers of an attempt; `epoch` is the keeper's, the fencing number."""
    return (
        ("content-type", "application/json"),
        ("x-request-id", dispatch.attempt_id),
        ("x-program-id", dispatch.program_id),
        ("x-call-number", str(dispatch.call_number)),
        ("x-priority", str(dispatch.priority)),
        (FENCING_HEADER, str(epoch)),
    )


def request_body(dispatch: Dispatch) -> Result[bytes, str]:
    """Returns the body to send; a model call asks for a stream that ends with usage."""
    if dispatch.call_kind != CallKind.MODEL:
        return Ok(dispatch.body)
    try:
        fields = msgspec.json.decode(dispatch.body, type=dict[str, msgspec.Raw])
    except msgspec.DecodeError as error:
        return Error(f"body: {error}")
    fields["stream"] = msgspec.Raw(b"true")
    fields["stream_options"] = msgspec.Raw(b'{"include_usage":true}')
    # The owner has reserved `max_tokens` of the program's budget. Left to a body that says nothing
    # or more, the engine would generate past it, seen only when usage comes in.
    if dispatch.max_tokens > 0:
        fields.pop("max_completion_tokens", None)
        fields["max_tokens"] = msgspec.Raw(str(dispatch.max_tokens).encode())
    return Ok(msgspec.json.encode(fields))


def _retry_after_ms(value: str) -> int:
    return int(value) * 1000 if value.isascii() and value.isdigit() else DEFAULT_RETRY_MS
