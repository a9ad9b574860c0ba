"""Client-account limits: no account passes its concurrent calls or tokens per minute in total.

Each account has a home, the holder of a partition, which lends permits to the daemons that run
calls for it. How much a home may have out stands in the log, so that its successor knows. The
owner part asks `acquire` before it dispatches a call and calls `release` when the call is over.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from quincespool.core.accounts.extents import home_resource
from quincespool.core.accounts.holder import PENDING_MS
from quincespool.core.accounts.holder import RETRY_MS
from quincespool.core.accounts.holder import Holding
from quincespool.core.accounts.holder import Need
from quincespool.core.accounts.home import MAX_HOLD_MS
from quincespool.core.accounts.lending import answer_holder
from quincespool.core.accounts.lending import note_claims
from quincespool.core.accounts.lending import read_extents
from quincespool.core.accounts.lending import tend_home
from quincespool.core.accounts.state import PART
from quincespool.core.accounts.state import AccountsState
from quincespool.core.accounts.state import find_limits
from quincespool.core.effects import FollowStream
from quincespool.core.effects import Log
from quincespool.core.effects import Raise
from quincespool.core.effects import SendMessage
from quincespool.core.events import LedgerAdvanced
from quincespool.core.events import MessageReceived
from quincespool.core.events import RecordsRead
from quincespool.core.events import StreamExpired
from quincespool.core.events import TimerFired
from quincespool.core.events import Woken
from quincespool.core.messages import AccountAsked
from quincespool.core.messages import AccountElsewhere
from quincespool.core.messages import AccountGranted
from quincespool.core.placement import desired_holder

if TYPE_CHECKING:
    from quincespool.core.context import Context
    from quincespool.core.effects import Effects
    from quincespool.core.events import AccountDecided
    from quincespool.core.events import Event
    from quincespool.settings import Settings


class Granted(NamedTuple):
    """The call may start now and must be over by `must_end_by_ms`, its time limit at the latest."""

    must_end_by_ms: int


class Refused(NamedTuple):
    """The account's limit is reached; `retry_after_ms` 0 says that it never fits."""

    retry_after_ms: int


class Pending(NamedTuple):
    """The home has been asked; `AccountDecided` follows within two seconds."""


class Acquired(NamedTuple):
    """A decision and what has to be done for it."""

    decision: Granted | Refused | Pending
    effects: Effects


def make_accounts(settings: Settings, *, incarnation: int) -> AccountsState:
    """Makes the part's state for a process that has just started."""
    return AccountsState(settings, incarnation)


def acquire(
    state: AccountsState,
    context: Context,
    *,
    account: str,
    ticket: str,
    tokens: int,
    hold_ms: int,
) -> Acquired:
    """Asks for the right to start one call.

    Args:
      state: The part's state.
      context: As in `reduce`.
      account: Name without `account/`.
      ticket: Unique in this process, for example the attempt id.
      tokens: The most that the call can cost, prompt included; 0 for service calls.
      hold_ms: The longest that the call may run on a backend server.
    """
    if not context.catalogue.ready:
        return Acquired(Refused(RETRY_MS), [])
    limits = find_limits(context, account)
    if limits is None or tokens > limits.tokens or hold_ms > MAX_HOLD_MS:
        return Acquired(Refused(0), [])
    state.subscribe_tick(context)
    holding = state.holdings.setdefault(account, Holding(account))
    need = Need(tokens, hold_ms, context.now_ms + PENDING_MS)
    if not holding.pending:
        must_end_by_ms = holding.start(ticket, need, now_ms=context.now_ms)
        if must_end_by_ms is not None:
            return Acquired(Granted(must_end_by_ms), [])
    holding.wait(ticket, need)
    effects = _ask(state, context, holding) if holding.answered else []
    return Acquired(Pending(), effects)


def release(state: AccountsState, context: Context, *, account: str, ticket: str) -> Effects:
    """The call of this ticket is over, or is not wanted any more while it is pending."""
    holding = state.holdings.get(account)
    if holding is None:
        return []
    holding.end(ticket)
    return _decided(holding.serve(context.now_ms))


def leave(state: AccountsState, *, account: str, ticket: str, attempt_id: str) -> None:
    """The call of this ticket is not waited for any more, but may still run.

    Its permit stays busy until `release_left` or the end of the call's time.

    Args:
      state: The part's state.
      account: Name without `account/`.
      ticket: As it was granted.
      attempt_id: Of the attempt that may run; a ticket of its own from now on.
    """
    holding = state.holdings.get(account)
    if holding is not None:
        holding.leave(ticket, attempt_id)


def release_left(state: AccountsState, context: Context, *, attempt_id: str) -> Effects:
    """An attempt that may have been left is over after all."""
    for account, holding in state.holdings.items():
        if attempt_id in holding.left:
            return release(state, context, account=account, ticket=attempt_id)
    return []


def reduce(state: AccountsState, context: Context, event: Event) -> Effects:
    """Handles one event."""
    match event:
        case TimerFired(part=part) if part == PART:
            return _tick(state, context)
        case LedgerAdvanced(resources=resources):
            note_claims(state, context, resources)
        case Woken():
            return _woken(state, context)
        case RecordsRead(stream=stream) if stream in state.extents:
            return read_extents(state, context, event)
        case StreamExpired(stream=stream) if stream in state.extents:
            # Extents that have expired unread are longer over than any grant lasts.
            return [FollowStream(stream, event.earliest_offset)]
        case MessageReceived(sender=sender):
            return _received(state, context, sender, event.message)
    return []


def _received(state: AccountsState, context: Context, sender: str, message: object) -> Effects:
    match message:
        case AccountAsked():
            return answer_holder(state, context, sender, message)
        case AccountGranted(incarnation=incarnation) if incarnation == state.incarnation:
            return _granted(state, context, message)
        case AccountElsewhere(incarnation=incarnation) if incarnation == state.incarnation:
            return _elsewhere(state, context, message)
    return []


def _granted(state: AccountsState, context: Context, grant: AccountGranted) -> Effects:
    holding = state.holdings.get(grant.account)
    if holding is None or grant.epoch < state.epochs.get(grant.account, -1):
        return []
    if holding.asked and grant.sequence == holding.asked.sequence:
        state.epochs[grant.account] = grant.epoch
    effects = _decided(holding.take(grant, now_ms=context.now_ms))
    # Tickets that came while the answer was on its way need another.
    again = bool(holding.pending) and holding.answered
    return [*effects, *_ask(state, context, holding)] if again else effects


def _elsewhere(state: AccountsState, context: Context, message: AccountElsewhere) -> Effects:
    holding = state.holdings.get(message.account)
    if holding is None or holding.answered or not message.holder:
        return []
    if holding.asked is None or holding.asked.sequence != message.sequence:
        return []
    if message.holder == holding.home:
        return []
    holding.home = message.holder
    return _ask(state, context, holding)


def _ask(state: AccountsState, context: Context, holding: Holding) -> Effects:
    account = holding.account
    resource = home_resource(account, state.settings.partition_count)
    home = holding.home or context.claims.holder(resource)
    home = home or desired_holder(resource, context.members.alive(), state.settings.stream_count)
    if not home:
        return []
    state.sequence += 1
    message = holding.ask(
        incarnation=state.incarnation,
        sequence=state.sequence,
        epoch=state.epochs.get(account, -1),
        now_ms=context.now_ms,
    )
    return [SendMessage(home, message)]


def _tick(state: AccountsState, context: Context) -> Effects:
    effects: Effects = []
    for account, holding in list(state.holdings.items()):
        effects += _tend_holding(state, context, holding)
        if holding.idle(context.now_ms):
            del state.holdings[account]
    for account, home in list(state.homes.items()):
        effects += tend_home(state, context, account, home)
    if state.holdings or state.homes:
        state.subscribe_tick(context)
    return effects


def _tend_holding(state: AccountsState, context: Context, holding: Holding) -> Effects:
    now_ms = context.now_ms
    effects: Effects = []
    if overdue := holding.forget_overdue(now_ms):
        fields: dict[str, object] = {"account": holding.account, "calls": overdue}
        effects.append(Log("warning", "account permits were never released", fields))
    effects += _decided(holding.serve(now_ms))
    if holding.wants_to_ask(now_ms):
        if not holding.answered:
            holding.home = ""
        effects += _ask(state, context, holding)
    return effects


def _woken(state: AccountsState, context: Context) -> Effects:
    for holding in state.holdings.values():
        holding.distrust_clock()
    for home in state.homes.values():
        home.distrust_clock(context.now_ms)
        home.waiting.clear()
    state.claimed.clear()
    state.reset_tick(context)
    return []


def _decided(decisions: list[AccountDecided]) -> Effects:
    return [Raise(decision) for decision in decisions]
