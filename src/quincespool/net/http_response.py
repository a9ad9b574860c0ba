"""Whole HTTP responses."""

from __future__ import annotations

from typing import NamedTuple

import h11

Headers = list[tuple[str, str]]

# A status beyond is none of HTTP.
MAX_STATUS = 599


class HttpResponse(NamedTuple):
    """A whole response."""

    status: int
    headers: Headers
    body: bytes


def make_head(status: int, headers: Headers, *, closes: bool) -> h11.Response:
    """Returns the head of a response, which may be the last one on its connection."""
    if closes:
        headers = [*headers, ("connection", "close")]
    return h11.Response(status_code=status, headers=headers)


def encode_response(http: h11.Connection, head: h11.Response, body: bytes) -> bytes:
    """Returns the bytes of a whole response to the request that `http` has read."""
    events = [head, h11.Data(data=body), h11.EndOfMessage()] if body else [head, h11.EndOfMessage()]
    return b"".join(http.send(event) or b"" for event in events)
