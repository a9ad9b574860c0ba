"""What the log says of one program: the part of the ledger that belongs to it."""

from __future__ import annotations

import hashlib
from typing import NamedTuple

import msgspec

KEPT_ANSWERS = 8
KEPT_STEPS = 40
KEPT_STEPS_ENDED = 8


class OpenIntent(NamedTuple):
    """A committed licence without an outcome."""

    call_number: int
    fingerprint: str
    holder: str
    incarnation: int
    epoch: int


class StoredAnswer(NamedTuple):
    """The recorded outcome of one call."""

    call_number: int
    fingerprint: str
    verdict: str
    status: int
    reason: str
    body: str
    encoding: str
    content_type: str
    tokens: int
    backend: str
    class_version: int
    outcome_id: str
    epoch: int
    offset: int


class Step(NamedTuple):
    """One entry of the program's history, for auditors."""

    offset: int
    kind: str
    call_number: int
    detail: str


class ProgramRecord(msgspec.Struct):
    """One program or sub-agent, by the valid entries of the log.

    Token fields are kept at the root only; sub-agents spend from their root.

    Attributes:
      closed_tokens: Upper bound of what earlier epochs have spent.
      slice_tokens: What the owner of `slice_epoch` may spend in that epoch.
      settled_tokens: What outcomes of `slice_epoch` have spent of it.
      last_call: Highest call number with an outcome; calls take effect without gaps.
      last_epoch: Epoch of the entry that made `last_call` (or the program itself) stand.
      chain: Hash over the whole history so far.
    """

    program_id: str
    class_name: str
    class_version: int
    owner: str
    account: str
    budget_tokens: int
    opened_at_ms: int
    last_epoch: int
    last_at_ms: int
    closed_tokens: int = 0
    slice_tokens: int = 0
    slice_epoch: int = -1
    settled_tokens: int = 0
    last_call: int = 0
    chain: str = ""
    intent: OpenIntent | None = None
    ended: str = ""
    answers: list[StoredAnswer] = msgspec.field(default_factory=list)
    steps: list[Step] = msgspec.field(default_factory=list)
    backends: list[str] = msgspec.field(default_factory=list)
    children: list[str] = msgspec.field(default_factory=list)

    @property
    def granted_tokens(self) -> int:
        """Upper bound of all that has been or may be spent without a further slice."""
        return self.closed_tokens + self.slice_tokens

    def answer(self, call_number: int) -> StoredAnswer | None:
        """Returns the stored answer of a call, None if it is not kept in memory (any more)."""
        for stored in reversed(self.answers):
            if stored.call_number == call_number:
                return stored
        return None

    def note_step(self, step: Step) -> None:
        """Adds to the kept tail of the history."""
        self.steps.append(step)
        if len(self.steps) > KEPT_STEPS:
            self.steps.pop(0)

    def shrink(self) -> None:
        """Keeps of an ended program what answers a late repeat of its last call and an audit."""
        del self.answers[:-1]
        del self.steps[:-KEPT_STEPS_ENDED]

    def note_answer(self, stored: StoredAnswer) -> None:
        """Adds an outcome; the oldest ones stay in the log only."""
        self.answers.append(stored)
        if len(self.answers) > KEPT_ANSWERS:
            self.answers.pop(0)
        if stored.backend and stored.backend not in self.backends:
            self.backends.append(stored.backend)


def next_chain(chain: str, *, call_number: int, fingerprint: str, body: str) -> str:
    """Returns the history's hash after one more call."""
    text = f"{chain}\n{call_number}\n{fingerprint}\n".encode()
    return hashlib.blake2b(text + body.encode(), digest_size=16).hexdigest()
