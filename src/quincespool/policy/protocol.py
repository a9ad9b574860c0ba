"""What a policy decides, and what it may know when it does."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple
from typing import Protocol
from typing import runtime_checkable


class BackendView(NamedTuple):
    """One backend server as the owner of a program sees it.

    Attributes:
      name: Without `backend/`.
      zone: Availability zone.
      slots: How many calls it runs at once.
      running: Calls on it, by its keeper's last summary, plus what this owner has sent since.
      waiting: Calls in its keeper's queue, likewise.
      waiting_tokens: Sum of prompt and generation tokens that wait or run, likewise.
      reported_running: The backend server's own report, which lags; -1 for none.
      summary_age_ms: Age of the keeper's summary; -1 if there is none.
      cached_tokens: Tokens of this program's prefix believed to be cached there.
      load_ms: Until the weights of the call's model are in place there; 0 if they are.
      live_tokens: Prefixes of the live programs that ran there last, cached or not; 0 if unknown.
      capacity_tokens: The most KV cache it can hold; 0 if unknown.
    """

    name: str
    zone: str
    slots: int
    running: int
    waiting: int
    waiting_tokens: int
    reported_running: int
    summary_age_ms: int
    cached_tokens: int
    load_ms: int = 0
    live_tokens: int = 0
    capacity_tokens: int = 0


class CallView(NamedTuple):
    """One call together with what is known of its whole program.

    Attributes:
      program_id: Program or sub-agent.
      call_number: 1, 2, 3, ...
      prompt_tokens: Estimate.
      max_tokens: The most it may generate.
      attained_ms: Backend time that the whole program (root with sub-agents) has had.
      program_age_ms: Since the root program opened.
      deadline_left_ms: Until the root program's deadline.
      priority: Of the class entry, 0 (first) to 9.
      sub_agent: Whether a parent waits for it.
      exported_tokens: Tokens of its prefix that lie exported and can be imported by any engine.
    """

    program_id: str
    call_number: int
    prompt_tokens: int
    max_tokens: int
    attained_ms: int
    program_age_ms: int
    deadline_left_ms: int
    priority: int
    sub_agent: bool
    exported_tokens: int = 0


class Admission(NamedTuple):
    """Whether a call is taken; `retry_after_ms` says when to come back if it is not."""

    admitted: bool
    retry_after_ms: int = 0


class CacheAction(StrEnum):
    """What to do with the KV cache of a program that pauses."""

    KEEP = "keep"
    EXPORT = "export"


class PauseView(NamedTuple):
    """A program that waits for a tool or for its sub-agents.

    Attributes:
      tool: Name of the service, or any other stable label of what is waited for.
      cached_tokens: Its prefix, as cached on `backend`.
      backend: Where it ran last.
      can_export: Whether that backend server exports KV cache.
    """

    tool: str
    cached_tokens: int
    backend: BackendView
    can_export: bool = False


class CallOutcome(NamedTuple):
    """What a finished call took, as its keeper saw it.

    Attributes:
      computed_tokens: Prompt tokens that were not found in the cache.
      completion_tokens: Tokens generated.
      first_token_ms: From start on the backend server to the first token.
      service_ms: From start on the backend server to the end.
    """

    computed_tokens: int
    completion_tokens: int
    first_token_ms: int
    service_ms: int


class Policy(Protocol):
    """Chooses backend servers and the order at each. Has no say in any promise."""

    def choose(self, call: CallView, backends: list[BackendView], *, now_ms: int) -> str:
        """Returns the name of one of `backends`, which is not empty."""

    def rank(self, call: CallView, *, now_ms: int = 0, backend: BackendView | None = None) -> int:
        """Returns the place in a keeper's queue; lower runs first, equals in order of arrival.

        With `now_ms` the rank is a point in time, so that what waits grows older against what
        comes later; without it, ranks compare only calls that arrive close together. `backend` is
        the chosen one.
        """

    def admit(self, call: CallView, backends: list[BackendView]) -> Admission:
        """Decides whether the call can still finish in time, or is refused at once."""


@runtime_checkable
class Learner(Protocol):
    """A policy that learns from what it is told; without that it works with its first guesses."""

    def observe_call(self, outcome: CallOutcome) -> None:
        """Takes note of a finished call."""

    def observe_pause(self, tool: str, pause_ms: int) -> None:
        """Takes note of how long a program paused for a tool."""


@runtime_checkable
class CachePlanner(Protocol):
    """A policy that also says what becomes of the KV cache of a pausing program."""

    def plan_pause(self, pause: PauseView) -> CacheAction:
        """Decides at the start of a pause."""
