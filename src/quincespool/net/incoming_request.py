"""A request while it arrives: its head, then its body, and the memory that both take."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quincespool.net.requests import HttpRequest
from quincespool.net.requests import RequestError

if TYPE_CHECKING:
    import h11

    from quincespool.net.connection_limits import ConnectionLimits

# A request under way has a task, its log fields and, mostly, a connection to a backend server.
REQUEST_BYTES = 16_384
# Objects of one header, beside its text.
HEADER_BYTES = 512
# A body under way is also in a message or a record, and in the buffer of a connection.
BODY_COPIES = 3


class IncomingRequest:
    """The part of a request that has arrived."""

    def __init__(self, head: h11.Request) -> None:
        self._head = head
        self._head_bytes = _head_bytes(head)
        # One buffer: a list of many small chunks takes many times their size.
        self._body = bytearray()
        self._admitted_body_bytes = 0

    @property
    def held_bytes(self) -> int:
        """Memory that it takes now."""
        return self._head_memory_bytes + len(self._body)

    @property
    def cost_bytes(self) -> int:
        """Memory that it takes, at most, while it is under way."""
        return self._head_bytes + request_cost_bytes(len(self._head.headers), len(self._body))

    def find_head_fault(self, limits: ConnectionLimits) -> RequestError | None:
        """Returns why the head can't be accepted, None if it can."""
        self._admitted_body_bytes = limits.max_body_bytes
        if self._head_bytes > limits.max_head_bytes:
            return head_too_large(limits.max_head_bytes)
        headers = dict(self._head.headers)
        if b"content-length" in headers and b"transfer-encoding" in headers:
            # Whoever read the other one of the two would take the body for another request.
            return RequestError(400, "both content-length and transfer-encoding")
        if int(headers.get(b"content-length", b"0")) > limits.max_body_bytes:
            return _body_too_large(limits.max_body_bytes)
        return None

    def add(self, data: bytes, limits: ConnectionLimits) -> RequestError | None:
        """Adds a part of the body; returns why it can't be accepted, None if it can.

        A limit that shrinks after the head was accepted does not end the request.
        """
        max_body_bytes = max(self._admitted_body_bytes, limits.max_body_bytes)
        if len(self._body) + len(data) > max_body_bytes:
            return _body_too_large(max_body_bytes)
        self._body += data
        return None

    def to_request(self) -> HttpRequest:
        """Returns the whole request."""
        head = self._head
        return HttpRequest(
            method=head.method.decode("latin-1"),
            target=head.target.decode("latin-1"),
            headers=tuple((k.decode("latin-1"), v.decode("latin-1")) for k, v in head.headers),
            body=bytes(self._body),
        )

    @property
    def _head_memory_bytes(self) -> int:
        return self._head_bytes + HEADER_BYTES * len(self._head.headers)


def request_cost_bytes(header_count: int, body_bytes: int) -> int:
    """Returns the memory that a request takes, at most, while it is under way."""
    return REQUEST_BYTES + HEADER_BYTES * header_count + BODY_COPIES * body_bytes


def head_too_large(max_head_bytes: int) -> RequestError:
    """Returns the refusal of a head that is larger than the limit."""
    return RequestError(431, f"the head is larger than {max_head_bytes} bytes")


def _body_too_large(max_body_bytes: int) -> RequestError:
    return RequestError(413, f"the body is larger than {max_body_bytes} bytes")


def _head_bytes(head: h11.Request) -> int:
    """Returns the size of a head as sent, but for whitespace that does not count."""
    lines = sum(len(name) + len(value) + len(b": \r\n") for name, value in head.headers)
    return len(head.method) + len(head.target) + len(b"  HTTP/1.1\r\n\r\n") + lines
