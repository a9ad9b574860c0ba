"""The kinds of catalogue entry, as they stand in the log's `catalogue` stream.

Every entry names its owner. An entry's version is the offset of the log record that accepted it.
"""

from __future__ import annotations

from typing import Literal
from typing import NamedTuple
from typing import NotRequired
from typing import Required
from typing import TypedDict


class ClassEntry(TypedDict, total=False):
    """What the programs of one class may do. Name: `class/NAME`."""

    kind: Required[Literal["class"]]
    owner: Required[str]
    budget_tokens: Required[int]
    turn_limit: Required[int]
    program_deadline_ms: Required[int]
    call_limit_ms: Required[int]
    idle_limit_ms: Required[int]
    models: Required[list[str]]
    services: Required[list[str]]
    accounts: Required[list[str]]
    priority: NotRequired[int]
    policy: NotRequired[str]
    latency_weight: NotRequired[float]
    cache_weight: NotRequired[float]


class ServiceEntry(TypedDict):
    """A plain service or tool. Name: `service/NAME`.

    `non_idempotent` lists path prefixes whose calls may not be repeated.
    """

    kind: Literal["service"]
    owner: str
    non_idempotent: list[str]
    time_limit_ms: int


class BackendEntry(TypedDict, total=False):
    """A backend server. Name: `backend/NAME`."""

    kind: Required[Literal["backend"]]
    owner: Required[str]
    address: Required[str]
    zone: Required[str]
    backend_kind: Required[Literal["model", "service"]]
    serves: Required[list[str]]
    slots: Required[int]
    checks_fencing: NotRequired[bool]
    leaving: NotRequired[bool]


class AccountEntry(TypedDict):
    """A client account. Name: `account/NAME`."""

    kind: Literal["account"]
    owner: str
    concurrent_calls: int
    tokens_per_minute: int


Entry = ClassEntry | ServiceEntry | BackendEntry | AccountEntry


class VersionedEntry(NamedTuple):
    """An accepted entry with its version.

    Attributes:
      name: Full name, for example `class/stock`.
      version: Offset of the catalogue record that accepted it; grows with each edit.
      entry: The entry.
    """

    name: str
    version: int
    entry: Entry
