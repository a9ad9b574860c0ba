"""What a policy decides, and what it may know when it does."""

from __future__ import annotations

from typing import NamedTuple
from typing import Protocol


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


class Admission(NamedTuple):
    """Whether a call is taken; `retry_after_ms` says when to come back if it is not."""

    admitted: bool
    retry_after_ms: int = 0


class Policy(Protocol):
    """Chooses backend servers and the order at each. Has no say in any promise."""

    def choose(self, call: CallView, backends: list[BackendView], *, now_ms: int) -> str:
        """Returns the name of one of `backends`, which is not empty."""

    def rank(self, call: CallView) -> int:
        """Returns the place in a keeper's queue; lower runs first."""

    def admit(self, call: CallView, backends: list[BackendView]) -> Admission:
        """Decides whether the call can still finish in time, or is refused at once."""
