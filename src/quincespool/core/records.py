"""What the daemons write to their own streams `programs-N` of the log.

A record's body is a `Batch`. A batch holds groups, a group is what one writer wants to take effect
as one, in the order of its sequence numbers. `quincespool.core.ledger` decides which groups and
entries count, by nothing but their place in the stream.
"""

from __future__ import annotations

from typing import Literal
from typing import TypedDict


class Claim(TypedDict):
    """A daemon takes a partition or backend server.

    `resource` is `partition/N` or `backend/NAME`; `previous` is the epoch that the claimant
    believes in force (-1 for none). The claim counts only if that is so where it stands; its offset
    in the stream then is the new epoch, which also serves as fencing number.
    """

    kind: Literal["claim"]
    resource: str
    holder: str
    incarnation: int
    previous: int


class Yield(TypedDict):
    """The holder gives a resource back, with nothing in flight.

    `unrecorded_tokens` is, by root program, what failed attempts have spent in this epoch that no
    outcome says.
    """

    kind: Literal["yield"]
    resource: str
    epoch: int
    unrecorded_tokens: dict[str, int]


class Opened(TypedDict):
    """A program begins under a class entry."""

    kind: Literal["opened"]
    epoch: int
    program: str
    class_name: str
    class_version: int
    owner: str
    account: str
    budget_tokens: int
    opened_at_ms: int


class Slice(TypedDict):
    """The owner of a root program may spend this many tokens more, in this epoch."""

    kind: Literal["slice"]
    epoch: int
    program: str
    tokens: int


class Intent(TypedDict):
    """A licence to send one non-idempotent call, once, by the incarnation that wrote it."""

    kind: Literal["intent"]
    epoch: int
    program: str
    call_number: int
    fingerprint: str
    holder: str
    incarnation: int


class Outcome(TypedDict):
    """The final outcome of one call; part of the program's history.

    `chain` is the hash over the previous chain value and this call's fingerprint and answer. A body
    that is not UTF-8 stands in base64.
    """

    kind: Literal["outcome"]
    epoch: int
    program: str
    call_number: int
    fingerprint: str
    verdict: str
    status: int
    reason: str
    body: str
    encoding: Literal["utf8", "base64"]
    content_type: str
    tokens: int
    backend: str
    class_version: int
    outcome_id: str
    chain: str
    at_ms: int


class Ended(TypedDict):
    """A program, with its sub-agents if it is a root, is over."""

    kind: Literal["ended"]
    epoch: int
    program: str
    reason: str
    at_ms: int


class Checkpoint(TypedDict):
    """Part of a statement of fact: the ledger's state after all records before `as_of`.

    Whoever has read the stream that far may write it, also late and also twice, since it is true of
    a fixed prefix. A reader whom the prefix has expired for starts from it.
    """

    kind: Literal["checkpoint"]
    as_of: int
    part: int
    parts: int
    state: str


ProgramEntry = Opened | Slice | Intent | Outcome | Ended
LedgerEntry = Claim | Yield | ProgramEntry | Checkpoint


class Group(TypedDict):
    """Entries of one writer that take effect as one.

    A group counts only as the next in sequence of the writer's newest incarnation in this stream.
    Repeats and leftovers of earlier incarnations are void, so sending again is harmless.
    """

    writer: str
    incarnation: int
    sequence: int
    entries: list[LedgerEntry]


class Batch(TypedDict):
    """The body of one log record."""

    groups: list[Group]
