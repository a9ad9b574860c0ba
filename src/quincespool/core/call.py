"""The call of a program and the answer to it, as every part of a daemon sees them."""

from __future__ import annotations

import hashlib
from enum import StrEnum
from typing import NamedTuple

from quincespool.verdict import Verdict


class CallKind(StrEnum):
    """The two kinds of backend server that a call can be for."""

    MODEL = "model"
    SERVICE = "service"


class Call(NamedTuple):
    """One call of a program, as the caller sent it.

    Attributes:
      program_id: Root program and sub-agents, `root` or `root/child`; all of them live in one
        partition, that of the root.
      call_number: 1, 2, 3, ... within this program id.
      class_name: The catalogue entry (kind `class`) under which the program runs.
      account: The client account that pays.
      kind: Model call or service call.
      target: Name of the model or of the service.
      path: Path on the backend server, starting with `/`.
      body: The request body, passed on unchanged.
      stream: Whether the caller wants the answer as server-sent events.
      idempotent: What the caller says; the catalogue's service entry can only make it stricter.
      max_tokens: The most tokens a model call may generate; 0 for service calls.
      deadline_ms: Time left for this call when it was received; 0 leaves it to the class entry.
      first_send: The caller says it has never sent this call before (`x-first-send: true`), so that
        a daemon which knows nothing of the program may still say truly that it was not run.
    """

    program_id: str
    call_number: int
    class_name: str
    account: str
    kind: CallKind
    target: str
    path: str
    body: bytes
    stream: bool = False
    idempotent: bool = False
    max_tokens: int = 0
    deadline_ms: int = 0
    first_send: bool = False

    @property
    def root_id(self) -> str:
        """The id of the root program, which decides the partition."""
        return self.program_id.split("/", 1)[0]

    @property
    def fingerprint(self) -> str:
        """The request recognised by its content, whoever sends it and under whatever program."""
        text = f"{self.kind}\n{self.target}\n{self.path}\n".encode()
        return hashlib.sha256(text + self.body).hexdigest()[:32]


class Answer(NamedTuple):
    """The whole final answer to one request.

    Attributes:
      status: HTTP status.
      body: The body; for a model call the complete chat completion as JSON.
      content_type: Media type of the body.
      verdict: Whether the request may have run.
      outcome_id: What `quincespool audit` takes; never empty for calls.
      retry_after_ms: When to come back; 0 when coming back is of no use or not needed.
      reason: One of the codes in `quincespool.core.reasons`; empty on success.
    """

    status: int
    body: bytes
    content_type: str = "application/json"
    verdict: Verdict = Verdict.RAN
    outcome_id: str = ""
    retry_after_ms: int = 0
    reason: str = ""


class Usage(NamedTuple):
    """Tokens a model call used, as the engine reported them at its end."""

    prompt_tokens: int = 0
    cached_tokens: int = 0
    completion_tokens: int = 0
