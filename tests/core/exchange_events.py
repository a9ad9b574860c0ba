"""What a backend server's responses look like to the reducer."""

from __future__ import annotations

import json
from typing import Any

from quincespool.core import events as ev

PROMPT_TOKENS = 10
COMPLETION_TOKENS = 40


def whole(number: int, body: bytes, delay_ms: int) -> list[tuple[ev.Event, int]]:
    """Returns a whole response and after how many ms each event of it comes."""
    head = ev.ExchangeHead(number, 200, {"content-type": "application/json"})
    return [
        (head, delay_ms),
        (ev.ExchangeData(number, body), delay_ms),
        (ev.ExchangeEnd(number), delay_ms),
    ]


def completion(
    number: int, program_id: str, headers: dict[str, str], delay_ms: int
) -> list[tuple[ev.Event, int]]:
    """Returns a model engine's stream."""
    words = [f"{program_id}", "#", headers["x-call-number"], " done"]
    chunks: list[dict[str, Any]] = [
        {"choices": [{"index": 0, "delta": {"content": word}}]} for word in words
    ]
    chunks.append({"choices": [{"index": 0, "delta": {}, "finish_reason": "stop"}]})
    usage = {"prompt_tokens": PROMPT_TOKENS, "completion_tokens": COMPLETION_TOKENS}
    chunks.append({"choices": [], "usage": usage})
    text = "".join(f"data: {json.dumps(chunk)}\n\n" for chunk in chunks) + "data: [DONE]\n\n"
    replies = whole(number, text.encode(), delay_ms)
    head = ev.ExchangeHead(number, 200, {"content-type": "text/event-stream"})
    return [(head, delay_ms), *replies[1:]]
