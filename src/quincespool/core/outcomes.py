"""Outcome ids, and the answers that callers get.

An outcome id says by itself which catalogue entry and version decided, so that an auditor can
follow a refusal too, of which nothing is written to the log.
"""

from __future__ import annotations

import base64
from typing import TYPE_CHECKING
from typing import Literal
from typing import NamedTuple

import msgspec

from quincespool.core.call import Answer
from quincespool.core.messages import ForwardAnswer
from quincespool.core.reasons import STATUS
from quincespool.verdict import Verdict

if TYPE_CHECKING:
    from quincespool.core.call import Call
    from quincespool.core.call import Usage
    from quincespool.core.ledger.program_record import StoredAnswer
    from quincespool.core.reasons import Reason

OK = "ok"
_SEPARATOR = "~"


class OutcomeId(NamedTuple):
    """What an outcome id says.

    Attributes:
      class_name: The class entry that decided, without `class/`.
      class_version: Its version, -1 if there was no such entry.
      reason: `ok` or a code of `quincespool.core.reasons`.
      call_number: The call; 0 for the program as a whole.
      program_id: The program.
    """

    class_name: str
    class_version: int
    reason: str
    call_number: int
    program_id: str

    def __str__(self) -> str:
        """Returns the text form, which `parse_outcome_id` takes."""
        head = f"{self.class_name}@{self.class_version}"
        return _SEPARATOR.join((head, self.reason, str(self.call_number), self.program_id))


def parse_outcome_id(text: str) -> OutcomeId | None:
    """Returns the parts of an outcome id, None if the text is none."""
    parts = text.split(_SEPARATOR, 3)
    if len(parts) != 4 or "@" not in parts[0]:
        return None
    class_name, _, version = parts[0].rpartition("@")
    try:
        return OutcomeId(class_name, int(version), parts[1], int(parts[2]), parts[3])
    except ValueError:
        return None


def refusal(
    *,
    reason: Reason,
    verdict: Verdict,
    call: Call,
    class_version: int,
    retry_after_ms: int = 0,
    hint: str = "",
) -> Answer:
    """Returns the answer of a refusal. `hint` tells the front door who may know better."""
    outcome_id = OutcomeId(
        call.class_name, class_version, reason, call.call_number, call.program_id
    )
    return Answer(
        status=STATUS[reason],
        body=hint.encode(),
        verdict=verdict,
        outcome_id=str(outcome_id),
        retry_after_ms=retry_after_ms,
        reason=reason,
    )


def stored_answer(stored: StoredAnswer) -> Answer:
    """Returns the recorded answer of a call, as it was first told."""
    return Answer(
        status=stored.status,
        body=decode_body(stored.body, stored.encoding),
        content_type=stored.content_type,
        verdict=Verdict(stored.verdict),
        outcome_id=stored.outcome_id,
        reason=stored.reason,
    )


def completion_body(
    *,
    outcome_id: str,
    call: Call,
    text: str,
    usage: Usage,
    finish_reason: str,
    tool_calls: bytes,
    at_ms: int,
) -> bytes:
    """Returns a chat completion as agent clients expect it.

    `tool_calls` is JSON `{"tool_calls": [...]}`, or empty if the model asked for no tool.
    """
    message: dict[str, object] = {"role": "assistant", "content": text}
    if tool_calls:
        message.update(msgspec.json.decode(tool_calls))
    choice = {"index": 0, "message": message, "finish_reason": finish_reason or "stop"}
    return msgspec.json.encode(
        {
            "id": outcome_id,
            "object": "chat.completion",
            "created": at_ms // 1000,
            "model": call.target,
            "choices": [choice],
            "usage": {
                "prompt_tokens": usage.prompt_tokens,
                "completion_tokens": usage.completion_tokens,
                "total_tokens": usage.prompt_tokens + usage.completion_tokens,
                "prompt_tokens_details": {"cached_tokens": usage.cached_tokens},
            },
        }
    )


def encode_body(body: bytes) -> tuple[str, Literal["utf8", "base64"]]:
    """Returns a body as the JSON text of the log can hold it, and how."""
    try:
        return body.decode(), "utf8"
    except UnicodeDecodeError:
        return base64.b64encode(body).decode(), "base64"


def decode_body(text: str, encoding: str) -> bytes:
    """Returns the body that `encode_body` was given."""
    return base64.b64decode(text) if encoding == "base64" else text.encode()


def forward(ticket: int, answer: Answer) -> ForwardAnswer:
    """Returns an answer as the owner tells it to a front door."""
    return ForwardAnswer(
        ticket=ticket,
        status=answer.status,
        body=answer.body,
        content_type=answer.content_type,
        verdict=answer.verdict,
        outcome_id=answer.outcome_id,
        retry_after_ms=answer.retry_after_ms,
        reason=answer.reason,
    )


def from_forward(message: ForwardAnswer) -> Answer:
    """Returns the answer that an owner told."""
    return Answer(
        status=message.status,
        body=message.body,
        content_type=message.content_type,
        verdict=Verdict(message.verdict),
        outcome_id=message.outcome_id,
        retry_after_ms=message.retry_after_ms,
        reason=message.reason,
    )
