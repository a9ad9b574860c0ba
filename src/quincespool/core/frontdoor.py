"""The front door: takes callers' requests, finds the owner, brings the answer back.

Any daemon serves any caller, also one that kept an old address: it passes the call on to the owner
of the program's partition. Since calls are numbered, passing one on again is harmless.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from quincespool.core.call import Answer
from quincespool.core.effects import Count
from quincespool.core.effects import Observe
from quincespool.core.effects import Respond
from quincespool.core.effects import RespondText
from quincespool.core.effects import SendMessage
from quincespool.core.events import AuditReceived
from quincespool.core.events import CallerGone
from quincespool.core.events import CallReceived
from quincespool.core.events import EndReceived
from quincespool.core.events import LinkDown
from quincespool.core.events import MembersChanged
from quincespool.core.events import MessageReceived
from quincespool.core.events import TimerFired
from quincespool.core.events import WhereReceived
from quincespool.core.messages import ForwardAnswer
from quincespool.core.messages import ForwardAudit
from quincespool.core.messages import ForwardCall
from quincespool.core.messages import ForwardEnd
from quincespool.core.messages import ForwardGone
from quincespool.core.messages import ForwardText
from quincespool.core.outcomes import OutcomeId
from quincespool.core.outcomes import from_forward
from quincespool.core.outcomes import parse_outcome_id
from quincespool.core.outcomes import refusal
from quincespool.core.placement import desired_holder
from quincespool.core.placement import partition_of
from quincespool.core.reasons import STATUS
from quincespool.core.reasons import Reason
from quincespool.core.timers import TimerKey
from quincespool.verdict import Verdict

if TYPE_CHECKING:
    from quincespool.core.call import Call
    from quincespool.core.context import Context
    from quincespool.core.effects import Effects
    from quincespool.core.events import Event
    from quincespool.core.members import Member
    from quincespool.settings import Settings

PART = "frontdoor"
FIND_OWNER_MS = 8_000
"""How long a request looks for an owner that takes it: longer than a takeover."""
ASK_AGAIN_MS = 150
COME_BACK_MS = 1_000
TICKETS_A_PROCESS = 1_000_000
"""Incarnations are milliseconds: no process takes a million requests in each of its own."""
GOOD_FOR_MS = 5_000
"""How long a caller may keep an address."""
_ELSEWHERE = frozenset({Reason.NO_OWNER, Reason.DRAINING, Reason.NOT_READY})


class _Ticket:
    """One request that waits for its answer."""

    def __init__(
        self, *, request_id: int, subject: Call | str, is_audit: bool, received_ms: int
    ) -> None:
        self.request_id = request_id
        self.subject = subject
        self.is_audit = is_audit
        self.received_ms = received_ms
        self.owner = ""
        self.hint = ""
        self.hops = 0
        self.told_text = False
        self.unanswered = False
        self.may_have_run = False

    @property
    def program_id(self) -> str:
        """The program that decides who the owner is."""
        if not isinstance(self.subject, str):
            return self.subject.program_id
        if not self.is_audit:
            return self.subject
        outcome = parse_outcome_id(self.subject)
        return outcome.program_id if outcome else ""


class FrontdoorState:
    """Open requests, by ticket and by the shell's request id."""

    def __init__(self, *, settings: Settings, member_id: str, first_ticket: int) -> None:
        self.settings = settings
        self.member_id = member_id
        self.tickets: dict[int, _Ticket] = {}
        self.by_request: dict[int, int] = {}
        self.last_ticket = first_ticket

    def open_requests(self) -> int:
        """Returns how many requests wait for their answer."""
        return len(self.tickets)


def make_frontdoor(settings: Settings, *, member_id: str, incarnation: int) -> FrontdoorState:
    """Returns the part's first state.

    Tickets of one process are never those of the one before it. What goes wrong otherwise: an owner
    answers a ticket of the process that died, the new one takes it for its own, and a caller gets
    another program's answer.
    """
    return FrontdoorState(
        settings=settings, member_id=member_id, first_ticket=incarnation * TICKETS_A_PROCESS
    )


def reduce(state: FrontdoorState, context: Context, event: Event) -> Effects:
    """Handles callers' requests and owners' answers."""
    match event:
        case CallReceived(request_id, call):
            return _open(state, context, request_id, call)
        case EndReceived(request_id, program_id):
            return _open(state, context, request_id, program_id)
        case AuditReceived(request_id, outcome_id):
            return _open(state, context, request_id, outcome_id, is_audit=True)
        case WhereReceived(request_id, program_id):
            return [Respond(request_id, _where(state, context, program_id))]
        case CallerGone(request_id):
            return _on_gone(state, request_id)
        case MessageReceived(sender, ForwardText() as message):
            return _on_text(state, sender, message)
        case MessageReceived(sender, ForwardAnswer() as message):
            return _on_answer(state, context, sender, message)
        case LinkDown(member_id):
            return _on_owner_lost(state, context, member_id)
        case MembersChanged():
            return _on_members(state, context)
        case TimerFired(part=part, argument=argument) if part == PART:
            return _pass_on(state, context, int(argument))
        case _:
            return []


def _open(
    state: FrontdoorState,
    context: Context,
    request_id: int,
    subject: Call | str,
    *,
    is_audit: bool = False,
) -> Effects:
    state.last_ticket += 1
    number = state.last_ticket
    state.tickets[number] = _Ticket(
        request_id=request_id, subject=subject, is_audit=is_audit, received_ms=context.now_ms
    )
    state.by_request[request_id] = number
    return [Count("frontdoor_requests_total"), *_pass_on(state, context, number)]


def _pass_on(state: FrontdoorState, context: Context, number: int) -> Effects:
    """Sends a request to who should own its program, or gives up when time is over."""
    ticket = state.tickets.get(number)
    if ticket is None:
        return []
    owner = _owner(state, context, ticket)
    ticket.hint = ""
    if context.now_ms - ticket.received_ms > FIND_OWNER_MS:
        return _give_up(state, number, ticket)
    if not owner:
        return _ask_again(context, number)
    ticket.owner = owner
    ticket.hops += 1
    ticket.may_have_run |= ticket.unanswered
    ticket.unanswered = True
    return [SendMessage(owner, _message(number, ticket))]


def _owner(state: FrontdoorState, context: Context, ticket: _Ticket) -> str:
    if ticket.hint and context.members.find(ticket.hint) is not None:
        return ticket.hint
    partition = partition_of(ticket.program_id, state.settings.partition_count)
    holder = context.claims.holder(partition)
    if holder and context.members.find(holder) is not None:
        return holder
    members = context.members.alive()
    return desired_holder(partition, members, state.settings.stream_count) or ""


def _message(number: int, ticket: _Ticket) -> ForwardCall | ForwardEnd | ForwardAudit:
    subject = ticket.subject
    if isinstance(subject, str):
        if ticket.is_audit:
            return ForwardAudit(ticket=number, outcome_id=subject)
        return ForwardEnd(ticket=number, program_id=subject)
    return ForwardCall(
        ticket=number,
        program_id=subject.program_id,
        call_number=subject.call_number,
        class_name=subject.class_name,
        account=subject.account,
        call_kind=subject.kind,
        target=subject.target,
        path=subject.path,
        body=subject.body,
        stream=subject.stream,
        idempotent=subject.idempotent,
        max_tokens=subject.max_tokens,
        deadline_ms=subject.deadline_ms,
        # Passed on again, it is no longer the first time if the owner asked before may have run it.
        first_send=subject.first_send and not ticket.may_have_run,
    )


def _on_answer(
    state: FrontdoorState, context: Context, sender: str, message: ForwardAnswer
) -> Effects:
    ticket = state.tickets.get(message.ticket)
    if ticket is None or ticket.owner != sender:
        # An answer to a ticket that has been answered, or from a daemon asked before.
        return []
    ticket.unanswered = False
    ticket.may_have_run |= message.verdict == Verdict.MAY_HAVE_RUN
    in_time = context.now_ms - ticket.received_ms <= FIND_OWNER_MS
    if message.reason in _ELSEWHERE and not ticket.told_text and in_time:
        hint = message.body.decode(errors="replace")
        if hint and hint != ticket.owner and ticket.hops <= 3:
            ticket.hint = hint
            return _pass_on(state, context, message.ticket)
        return _ask_again(context, message.ticket)
    answer = from_forward(message)
    if message.reason:
        answer = answer._replace(body=b"")
    return _answer(state, context, message.ticket, ticket, answer)


def _on_text(state: FrontdoorState, sender: str, message: ForwardText) -> Effects:
    ticket = state.tickets.get(message.ticket)
    if ticket is None or ticket.owner != sender:
        return []
    ticket.told_text = True
    return [RespondText(ticket.request_id, message.text)]


def _on_members(state: FrontdoorState, context: Context) -> Effects:
    """A frozen owner keeps its connection: only membership says that no answer is to come."""
    owners = {ticket.owner for ticket in state.tickets.values() if ticket.owner}
    effects: Effects = []
    for owner in sorted(owners):
        if context.members.find(owner) is None:
            effects += _on_owner_lost(state, context, owner)
    return effects


def _on_owner_lost(state: FrontdoorState, context: Context, member_id: str) -> Effects:
    """What was asked of a daemon that is gone is asked of its successor, under the same number."""
    effects: Effects = []
    for number, ticket in list(state.tickets.items()):
        if ticket.owner != member_id:
            continue
        ticket.owner = ""
        if ticket.told_text:
            effects += _give_up(state, number, ticket)
        else:
            effects += _ask_again(context, number)
    return effects


def _on_gone(state: FrontdoorState, request_id: int) -> Effects:
    number = state.by_request.pop(request_id, None)
    if number is None:
        return []
    ticket = state.tickets.pop(number)
    if not ticket.owner:
        return []
    return [SendMessage(ticket.owner, ForwardGone(ticket=number))]


def _ask_again(context: Context, number: int) -> Effects:
    key = TimerKey(PART, "again", str(number))
    context.timers.subscribe(key, at_ms=context.now_ms + ASK_AGAIN_MS)
    return []


def _give_up(state: FrontdoorState, number: int, ticket: _Ticket) -> Effects:
    verdict = _known_verdict(ticket)
    if isinstance(ticket.subject, str):
        answer = Answer(
            status=STATUS[Reason.NO_OWNER],
            body=b"",
            verdict=verdict,
            outcome_id=str(OutcomeId("", -1, Reason.NO_OWNER, 0, ticket.program_id)),
            retry_after_ms=COME_BACK_MS,
            reason=Reason.NO_OWNER,
        )
    else:
        answer = refusal(
            reason=Reason.NO_OWNER,
            verdict=verdict,
            call=ticket.subject,
            class_version=-1,
            retry_after_ms=COME_BACK_MS,
        )
    _forget(state, number, ticket)
    return [Respond(ticket.request_id, answer), Count("frontdoor_no_owner_total")]


def _known_verdict(ticket: _Ticket) -> Verdict:
    """A front door knows only what it did itself, and what the caller says of earlier sends."""
    if ticket.may_have_run or ticket.unanswered:
        return Verdict.MAY_HAVE_RUN
    if isinstance(ticket.subject, str) or ticket.subject.first_send:
        return Verdict.NOT_RUN
    return Verdict.MAY_HAVE_RUN


def _answer(
    state: FrontdoorState, context: Context, number: int, ticket: _Ticket, answer: Answer
) -> Effects:
    _forget(state, number, ticket)
    latency_ms = context.now_ms - ticket.received_ms
    return [Respond(ticket.request_id, answer), Observe("frontdoor_request_ms", latency_ms)]


def _forget(state: FrontdoorState, number: int, ticket: _Ticket) -> None:
    state.tickets.pop(number, None)
    state.by_request.pop(ticket.request_id, None)


def _where(state: FrontdoorState, context: Context, program_id: str) -> Answer:
    """Names the daemon to connect to: the program's owner, or one that stays."""
    members = context.members.alive()
    chosen: Member | None = None
    if program_id:
        partition = partition_of(program_id, state.settings.partition_count)
        holder = context.claims.holder(partition)
        holder = holder or desired_holder(partition, members, state.settings.stream_count)
        chosen = context.members.find(holder) if holder else None
    if chosen is None or chosen.draining:
        staying = [member for member in members if not member.draining]
        own = context.members.find(state.member_id)
        chosen = own if own in staying else staying[0] if staying else own
    assert chosen is not None
    body = {
        "address": f"{chosen.host}:{chosen.http_port}",
        "member": chosen.member_id,
        "zone": chosen.zone,
        "good_for_ms": GOOD_FOR_MS,
    }
    return Answer(status=200, body=msgspec.json.encode(body))
