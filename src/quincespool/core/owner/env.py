"""The state of the owner part, and what it works with."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from quincespool.core.effects import SendMessage
from quincespool.core.outcomes import forward
from quincespool.core.outcomes import refusal
from quincespool.core.owner.program_run import OwnerRuns
from quincespool.core.owner.retry_budget import RetryBudget
from quincespool.core.timers import TimerKey
from quincespool.verdict import Verdict

if TYPE_CHECKING:
    from quincespool.core.accounts.state import AccountsState
    from quincespool.core.call import Answer
    from quincespool.core.call import Call
    from quincespool.core.claims import ClaimsState
    from quincespool.core.commit import CommitState
    from quincespool.core.context import Context
    from quincespool.core.effects import Effects
    from quincespool.core.ledger.followed import LedgerState
    from quincespool.core.ledger.program_record import ProgramRecord
    from quincespool.core.messages import BackendSummary
    from quincespool.core.owner.program_run import Caller
    from quincespool.core.owner.program_run import CallRun
    from quincespool.core.quarantine.reducer import QuarantineState
    from quincespool.core.reasons import Reason
    from quincespool.policy.protocol import Policy
    from quincespool.settings import Settings

PART = "owner"
COME_BACK_MS = 500
"""When a caller is told to come back, unless something else says when."""


class KnownSummary(NamedTuple):
    """A keeper's summary and when it came."""

    summary: BackendSummary
    received_ms: int


class OwnerState:
    """Everything the owner part remembers; nothing of it outlives the process."""

    def __init__(self, *, settings: Settings, member_id: str, incarnation: int) -> None:
        self.settings = settings
        self.member_id = member_id
        self.incarnation = incarnation
        self.runs = OwnerRuns()
        self.retries = RetryBudget()
        self.policies: dict[tuple[str, float, float], Policy] = {}
        self.summaries: dict[str, KnownSummary] = {}
        self.summary_asked_ms: dict[str, int] = {}
        self.outstanding: dict[str, int] = {}
        self.keeper_hints: dict[str, str] = {}
        self.unreachable: set[str] = set()
        """Daemons to which the link broke and from which nothing has been heard since."""
        self.attempt_count = 0
        self.ticket_count = 0
        self.known_epochs: dict[str, int] = {}


class OwnerEnv(NamedTuple):
    """The owner's state together with the parts it works with, for one event."""

    state: OwnerState
    context: Context
    ledger: LedgerState
    commits: CommitState
    claims: ClaimsState
    quarantine: QuarantineState
    accounts: AccountsState


def make_owner(settings: Settings, *, member_id: str, incarnation: int) -> OwnerState:
    """Returns the part's first state."""
    return OwnerState(settings=settings, member_id=member_id, incarnation=incarnation)


def tell(callers: list[Caller], answer: Answer) -> Effects:
    """Returns the messages that answer some callers."""
    return [SendMessage(c.member_id, forward(c.ticket, answer)) for c in callers]


def refuse(
    env: OwnerEnv,
    call: Call,
    callers: list[Caller],
    reason: Reason,
    *,
    retry_after_ms: int = 0,
    verdict: Verdict | None = None,
    hint: str = "",
) -> Effects:
    """Returns the messages that refuse a call, each with a verdict that can be vouched for."""
    entry = env.context.catalogue.find(f"class/{call.class_name}")
    effects: Effects = []
    for caller in callers:
        sent = call._replace(first_send=caller.first_send)
        answer = refusal(
            reason=reason,
            verdict=verdict or provable_verdict(env, sent),
            call=sent,
            class_version=entry.version if entry else -1,
            retry_after_ms=retry_after_ms,
            hint=hint,
        )
        effects += tell([caller], answer)
    return effects


def provable_verdict(env: OwnerEnv, call: Call) -> Verdict:
    """Returns `NOT_RUN` only if no attempt of this call, by anybody, can have run.

    What goes wrong otherwise: a caller whose connection broke sends its call again, lands on a
    daemon that has just taken over, is told that an order was not run, and orders elsewhere, while
    the daemon before had run it. A caller notices only by its doubled goods.
    """
    program = env.state.runs.programs.get(call.program_id)
    if program is not None and program.tainted_call == call.call_number:
        return Verdict.MAY_HAVE_RUN
    if call.first_send:
        return Verdict.NOT_RUN
    epoch = env.ledger.epoch_held(env.ledger.partition(call.program_id))
    if epoch is None:
        return Verdict.MAY_HAVE_RUN
    record = env.ledger.program(call.program_id)
    if record is None:
        # An owner dispatches nothing before the program's opening is in the log.
        return Verdict.NOT_RUN
    return _verdict_by_record(record, call, epoch)


def _verdict_by_record(record: ProgramRecord, call: Call, epoch: int) -> Verdict:
    if call.call_number > record.last_call + 1:
        return Verdict.NOT_RUN
    if call.call_number <= record.last_call:
        return Verdict.MAY_HAVE_RUN
    if record.intent is not None or record.ended:
        # Of an ended program it is no longer known here which call's attempts failed.
        return Verdict.MAY_HAVE_RUN
    # An earlier owner could dispatch this call only once it had read the outcome before it (or the
    # opening); if that was written in this epoch, no earlier owner ever had a licence or a turn.
    return Verdict.NOT_RUN if record.last_epoch == epoch else Verdict.MAY_HAVE_RUN


def set_deadline(env: OwnerEnv, run: CallRun) -> None:
    """Subscribes to the end of a call's time."""
    env.context.timers.subscribe(TimerKey(PART, "deadline", run.key), at_ms=run.deadline_at_ms)
