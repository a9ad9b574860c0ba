"""What the owner of a partition knows of running calls, beyond the log. Lost with the process."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING
from typing import NamedTuple

if TYPE_CHECKING:
    from quincespool.core.call import Call
    from quincespool.core.owner.budget import Spending


class Phase(StrEnum):
    """Where a call stands at its owner."""

    WAITING = "waiting"
    """For an earlier call of its program."""
    PERMIT = "permit"
    """For its account to allow it."""
    OPENING = "opening"
    """For its entries (program, slice, intent) to be read back."""
    DISPATCHED = "dispatched"
    BACKOFF = "backoff"
    """Between two tries."""
    CLOSING = "closing"
    """For its outcome, or its withdrawal, to be read back."""


class Caller(NamedTuple):
    """Who gets the answer: a ticket of the front door at a daemon.

    `first_send` is what this caller said of its own send (see `Call`).
    """

    member_id: str
    ticket: int
    first_send: bool = False


class CallRun:
    """One call under way."""

    def __init__(
        self, *, call: Call, caller: Caller, epoch: int, received_ms: int, deadline_at_ms: int
    ) -> None:
        self.call = call
        self.callers = [caller]
        self.epoch = epoch
        self.received_ms = received_ms
        self.deadline_at_ms = deadline_at_ms
        self.phase = Phase.WAITING
        self.licensed = False
        self.sequence = 0
        self.reserved_tokens = 0
        self.ticket = ""
        """For a permit of its account, asked for or granted."""
        self.attempt_id = ""
        self.backend = ""
        self.keeper = ""
        self.tries = 0
        self.retry_after_ms = 0
        self.licence_at_ms = 0
        self.dispatched_ms = 0
        self.avoid: set[str] = set()
        self.text: list[str] = []
        self.told_text = False

    @property
    def key(self) -> str:
        """Names the call in timers."""
        return f"{self.call.program_id}#{self.call.call_number}"


class ProgramRun:
    """One program or sub-agent with calls under way or lately."""

    def __init__(self) -> None:
        self.calls: dict[int, CallRun] = {}
        self.tainted_call = 0
        """A call of which an unrecorded attempt may have run; nobody may say it was not run."""
        self.cached_backend = ""
        self.cached_tokens = 0
        self.attained_ms = 0
        self.ending: list[Caller] = []
        self.end_reason = ""
        self.end_sequence = 0


class OwnerRuns:
    """All programs that this daemon runs."""

    def __init__(self) -> None:
        self.programs: dict[str, ProgramRun] = {}
        self.spending: dict[str, Spending] = {}
        self.attempts: dict[str, CallRun] = {}
        self.committing: dict[str, list[CallRun]] = {}
        self.permits: dict[str, CallRun] = {}
        """Calls that wait for a permit, by ticket."""

    def program(self, program_id: str) -> ProgramRun:
        """Returns the run of a program, made if need be."""
        return self.programs.setdefault(program_id, ProgramRun())

    def find_call(self, program_id: str, call_number: int) -> CallRun | None:
        """Returns a call under way."""
        program = self.programs.get(program_id)
        return program.calls.get(call_number) if program else None

    def _forget_idle(self, program_id: str, program: ProgramRun) -> None:
        """A program none of whose calls ever ran leaves nothing behind."""
        if not program.attained_ms and not program.cached_tokens:
            del self.programs[program_id]

    def drop_call(self, run: CallRun) -> None:
        """Forgets a call that has been answered or handed over."""
        program = self.programs.get(run.call.program_id)
        if program is not None and program.calls.get(run.call.call_number) is run:
            del program.calls[run.call.call_number]
            if not (program.calls or program.end_reason or program.tainted_call):
                self._forget_idle(run.call.program_id, program)
        if run.attempt_id:
            self.attempts.pop(run.attempt_id, None)
