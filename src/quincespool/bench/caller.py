"""A caller of daemons and stand-ins; its HTTP is the repository's test support."""

from __future__ import annotations

import time
from itertools import pairwise
from typing import TYPE_CHECKING
from typing import NamedTuple

import msgspec

from quincespool.bench import clusters
from quincespool.bench.figures import quantile

if TYPE_CHECKING:
    from collections.abc import Callable

    from tests.support.client import Reply

PROMPT = "Is insulin in stock at Merkato? " * 30
CHAT_PATH = "/v1/chat/completions"
LEVELS = f"/v1/services/{clusters.SERVICE}/levels"
REORDERS = f"/v1/services/{clusters.SERVICE}/reorders"


class LostError(Exception):
    """The response did not arrive whole."""


class Taken(NamedTuple):
    """One call: until the first byte of the body and the last; most pauses in text are shorter.

    `pause_ms` is the pause between two pieces of text that 95 in 100 of the call do not exceed. The
    end of a stream is no text: it waits for the log. `pieces` counts arrivals with text.
    """

    first_ms: float
    whole_ms: float
    pause_ms: float
    pieces: int


async def send(
    address: str,
    method: str,
    path: str,
    *,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    on_data: Callable[[bytes], None] | None = None,
) -> Reply:
    """Sends one request on a connection of its own and returns the whole response.

    Raises:
      LostError: if it did not arrive whole.
    """
    from tests.support import client  # noqa: PLC0415

    try:
        return await client.fetch(
            address, method, path, headers=headers, body=body, on_data=on_data
        )
    except client.ConnectionLostError as error:
        raise LostError(str(error)) from error


def chat_body(max_tokens: int) -> bytes:
    """Returns the body of a streamed chat completion."""
    messages = [{"role": "user", "content": PROMPT}]
    body = {"model": clusters.MODEL, "messages": messages, "max_tokens": max_tokens, "stream": True}
    return msgspec.json.encode(body)


def call_headers(program_id: str, call_number: int, *, idempotent: bool) -> dict[str, str]:
    """Returns the headers of a call, for daemons and for stand-ins."""
    return {
        "content-type": "application/json",
        "x-program-id": program_id.replace(" ", "-"),
        "x-call-number": str(call_number),
        "x-class": clusters.CLASS,
        "x-account": clusters.ACCOUNT,
        "x-idempotent": str(idempotent).lower(),
    }


async def timed_call(address: str, path: str, headers: dict[str, str], body: bytes) -> Taken:
    """Makes a call on a connection of its own.

    Raises:
      RuntimeError: if it does not succeed.
    """
    started_s = time.perf_counter()
    arrivals_s: list[float] = []
    texts_s: list[float] = []

    def note(data: bytes) -> None:
        arrivals_s.append(time.perf_counter())
        if b'"content"' in data:
            texts_s.append(arrivals_s[-1])

    reply = await send(
        address,
        "POST",
        path,
        headers=headers,
        body=body,
        on_data=note,
    )
    if reply.status != 200 or b'"error"' in reply.body:
        raise RuntimeError(f"{path}: {reply.status} {reply.body[:300]!r}")
    pauses_ms = [1_000 * (later - earlier) for earlier, later in pairwise(texts_s)]
    return Taken(
        first_ms=1_000 * (arrivals_s[0] - started_s),
        whole_ms=1_000 * (arrivals_s[-1] - started_s),
        pause_ms=quantile(pauses_ms, 0.95) if pauses_ms else 0.0,
        pieces=len(texts_s),
    )
