"""The interface of scheduling policies: their decisions and the data on which they decide."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple
from typing import Protocol
from typing import runtime_checkable


class BackendView(NamedTuple):
    """One backend server as the owner of a program sees it.

    The keeper of a backend server is the daemon that queues its calls and sends them to it.

    Attributes:
      name: Name without the prefix `backend/`.
      zone: Availability zone.
      slots: How many calls it runs at once.
      running: Calls that run on it: those in its keeper's last summary, plus the calls that this
        owner has sent since.
      waiting: Calls in its keeper's queue, counted in the same way.
      waiting_tokens: Prompt and generation tokens of the calls that wait or run, counted in the
        same way.
      reported_running: Running calls by the backend server's own report, which lags; -1 if there is
        none.
      summary_age_ms: Age of the keeper's summary; -1 if there is none.
      cached_tokens: Tokens of this program's prefix believed to be cached there.
      load_ms: Time until the weights of the call's model are loaded there; 0 if they are.
      live_tokens: Prefix tokens of the live programs that ran there last, cached or not; 0 if
        unknown.
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
      program_id: Id of the program or sub-agent.
      call_number: Number of the call within the program: 1, 2, 3, ...
      prompt_tokens: Estimated length of the prompt.
      max_tokens: The most tokens that it may generate.
      attained_ms: Backend time that the whole program (root with sub-agents) has used.
      program_age_ms: Time since the root program opened.
      deadline_left_ms: Time until the root program's deadline.
      priority: Priority of the class entry, from 0 (first) to 9.
      sub_agent: Whether the program is a sub-agent, for which a parent program waits.
      exported_tokens: Tokens of its prefix that have been exported and that any engine can import.
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
    """Whether a call is admitted; if it is not, the caller may retry after `retry_after_ms`."""

    admitted: bool
    retry_after_ms: int = 0


class CacheAction(StrEnum):
    """What to do with the KV cache of a program that pauses."""

    KEEP = "keep"
    EXPORT = "export"


class PauseView(NamedTuple):
    """A program that waits for a tool or for its sub-agents.

    Attributes:
      tool: Name of the service, or another stable label of what the program waits for.
      cached_tokens: Tokens of its prefix that are cached on `backend`.
      backend: The backend server on which it ran last.
      can_export: Whether that backend server exports KV cache.
    """

    tool: str
    cached_tokens: int
    backend: BackendView
    can_export: bool = False


class CallOutcome(NamedTuple):
    """Times and tokens of a finished call, as measured by its keeper.

    Attributes:
      computed_tokens: Prompt tokens that were not found in the cache.
      completion_tokens: Tokens generated.
      first_token_ms: Time from the start on the backend server to the first token.
      service_ms: Time from the start on the backend server to the end.
    """

    computed_tokens: int
    completion_tokens: int
    first_token_ms: int
    service_ms: int


class Policy(Protocol):
    """Chooses backend servers and the order of calls at each; no guarantee depends on a policy."""

    def choose(self, call: CallView, backends: list[BackendView], *, now_ms: int) -> str:
        """Returns the name of one of `backends`, which is not empty."""

    def rank(self, call: CallView, *, now_ms: int = 0, backend: BackendView | None = None) -> int:
        """Returns the rank in a keeper's queue; lower runs first, equal ones in order of arrival.

        With `now_ms` the rank is a point in time, so that waiting calls move ahead of those that
        arrive later; without it, ranks are comparable only among calls that arrive close together.
        `backend` is the one that `choose` returned.
        """

    def admit(self, call: CallView, backends: list[BackendView]) -> Admission:
        """Admits the call, or refuses it at once if it is not expected to finish in time."""


@runtime_checkable
class Learner(Protocol):
    """A policy that learns from observations; without them it uses its initial guesses."""

    def observe_call(self, outcome: CallOutcome) -> None:
        """Records a finished call."""

    def observe_pause(self, tool: str, pause_ms: int) -> None:
        """Records how long a program paused for a tool."""


@runtime_checkable
class CachePlanner(Protocol):
    """A policy that also decides what to do with the KV cache of a program that pauses."""

    def plan_pause(self, pause: PauseView) -> CacheAction:
        """Returns what to do with the cache; called at the start of a pause."""
