"""Server-sent events in the form of OpenAI's `chat.completion.chunk`."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING
from typing import Any

import msgspec

from quincespool.core.reasons import Reason
from quincespool.net.error_bodies import error_body
from quincespool.verdict import Verdict

if TYPE_CHECKING:
    from quincespool.core.call import Answer

_AFTER_TEXT = b'},"finish_reason":null}]}\n\n'
_DONE = b"data: [DONE]\n\n"


class ChunkWriter:
    """Writes the events of one streamed chat completion.

    It keeps count and hash of the text that has been sent, so that the end of the stream can be
    checked against the whole answer without keeping the text.
    """

    def __init__(self, *, model: str, completion_id: str, created_s: int) -> None:
        self._head: dict[str, Any] = {
            "id": completion_id,
            "object": "chat.completion.chunk",
            "created": created_s,
            "model": model,
        }
        prefix = msgspec.json.encode(self._head)[:-1]
        before_delta = b"data: " + prefix + b',"choices":[{"index":0,"delta":{'
        self._before_text = before_delta + b'"role":"assistant","content":'
        self._before_later_text = before_delta + b'"content":'
        self._sent_chars = 0
        self._sent_hash = hashlib.sha256()

    def text(self, text: str) -> bytes:
        """Returns the event for a piece of generated text."""
        self._sent_chars += len(text)
        self._sent_hash.update(text.encode())
        event = self._before_text + msgspec.json.encode(text) + _AFTER_TEXT
        self._before_text = self._before_later_text
        return event

    def end(self, answer: Answer) -> bytes:
        """Returns the last events: the rest of the text with usage and `[DONE]`, or an error.

        If the text sent so far is not the beginning of the whole answer (the call was run again on
        another backend server), then the caller holds a text that nobody recorded. It would notice
        nothing, so the stream ends with an error, and the recorded answer can be asked for again.
        """
        if answer.status != 200:
            return _error_event(answer, answer.body)
        try:
            return self._finish(answer)
        except (msgspec.DecodeError, LookupError, TypeError, AttributeError, ValueError) as error:
            unread = answer._replace(status=500, reason=Reason.UNRESOLVED, verdict=Verdict.RAN)
            message = f"the stream cannot be completed ({error}); ask for this call again"
            return _error_event(unread, error_body(unread, message))

    def _finish(self, answer: Answer) -> bytes:
        completion = msgspec.json.decode(answer.body)
        choice = completion["choices"][0]
        message = choice["message"]
        content = message.get("content") or ""
        rest = self._rest_of(content)
        delta = _delta_of(message)
        last = {
            **self._head,
            "choices": [
                {"index": 0, "delta": delta, "finish_reason": choice.get("finish_reason", "stop")}
            ],
            "usage": completion.get("usage"),
            "verdict": str(answer.verdict),
            "outcome_id": answer.outcome_id,
        }
        rest_event = self.text(rest) if rest else b""
        return rest_event + b"data: " + msgspec.json.encode(last) + b"\n\n" + _DONE

    def _rest_of(self, content: str) -> str:
        beginning = content[: self._sent_chars].encode()
        if hashlib.sha256(beginning).digest() != self._sent_hash.digest():
            raise ValueError("the text sent so far is not the beginning of the answer")
        return content[self._sent_chars :]


def _delta_of(message: dict[str, Any]) -> dict[str, Any]:
    """Returns what the message holds besides its text, such as tool calls."""
    delta = {key: value for key, value in message.items() if key not in {"content", "role"}}
    tool_calls = delta.get("tool_calls")
    if tool_calls:
        delta["tool_calls"] = [{"index": i, **tool_call} for i, tool_call in enumerate(tool_calls)]
    return delta


def _error_event(answer: Answer, body: bytes) -> bytes:
    try:
        error = msgspec.json.decode(body)["error"]
    except (msgspec.DecodeError, LookupError, TypeError):
        error = msgspec.json.decode(error_body(answer))["error"]
    return b"data: " + msgspec.json.encode({"error": error}) + b"\n\n"
