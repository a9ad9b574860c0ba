"""The home's side of the accounts part: keeps extents in the log ahead of what it lends out."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from quincespool.core.accounts.extents import ExtentFold
from quincespool.core.accounts.extents import home_resource
from quincespool.core.accounts.home import MIN_PERMITS
from quincespool.core.accounts.home import REUSE_MS
from quincespool.core.accounts.home import Home
from quincespool.core.accounts.state import Claimed
from quincespool.core.accounts.state import PendingExtent
from quincespool.core.accounts.state import extents_stream_of
from quincespool.core.accounts.state import find_limits
from quincespool.core.effects import AppendRecord
from quincespool.core.effects import Count
from quincespool.core.effects import FollowStream
from quincespool.core.effects import SendMessage
from quincespool.core.messages import AccountElsewhere

if TYPE_CHECKING:
    from quincespool.core.accounts.home import HolderKey
    from quincespool.core.accounts.home import Limits
    from quincespool.core.accounts.records import ExtentRecord
    from quincespool.core.accounts.state import AccountsState
    from quincespool.core.context import Context
    from quincespool.core.effects import Effects
    from quincespool.core.events import RecordsRead
    from quincespool.core.messages import AccountAsked

APPEND_RETRY_MS = 2_000
EXTENT_REFRESH_MS = 20 * 60_000
# An extent that may have expired from the log allows nothing; retention must be longer than this.
EXTENT_LIFE_MS = 40 * 60_000
# A term is a multiple of this, so that calls of about the same length share one extent.
TERM_STEP_MS = 30_000
FIRST_APPEND_ID = -2_000_000_000


def answer_holder(
    state: AccountsState, context: Context, sender: str, ask: AccountAsked
) -> Effects:
    """Answers what a holder asks its account's home, or says who that is."""
    state.subscribe_tick(context)
    resource = home_resource(ask.account, state.settings.partition_count)
    epoch = context.claims.epoch_held(resource)
    limits = find_limits(context, ask.account)
    if epoch is None or limits is None:
        holder = context.claims.holder(resource) or ""
        other = "" if holder == context.members.self_id else holder
        answer = AccountElsewhere(ask.account, ask.incarnation, ask.sequence, other)
        return [SendMessage(sender, answer)]
    home = state.homes.get(ask.account)
    # The home of an epoch is kept for as long as the epoch lasts, also when nothing is lent: one
    # made anew would start its serial numbers again, and its extents would be void.
    if home is None or home.epoch != epoch:
        home = Home(ask.account, epoch)
        state.homes[ask.account] = home
        state.pending_extents.pop(ask.account, None)
    key = (sender, ask.incarnation)
    if not home.note(key, ask, now_ms=context.now_ms):
        return []
    return _answer(state, context, home, key, ask=ask, limits=limits)


def note_claims(state: AccountsState, context: Context, resources: tuple[str, ...]) -> None:
    """Notes since when claims are held, so that an account's first call need not wait anew."""
    for resource in resources:
        epoch = context.claims.epoch_held(resource)
        if epoch is None:
            state.claimed.pop(resource, None)
        elif resource not in state.claimed or state.claimed[resource].epoch != epoch:
            state.claimed[resource] = Claimed(epoch, context.now_ms)


def read_extents(state: AccountsState, context: Context, event: RecordsRead) -> Effects:
    """Takes in records of a stream of extents."""
    fold = state.extents[event.stream]
    effects: Effects = []
    for record in event.records:
        account = fold.apply(record.body)
        if account is not None and account in state.homes:
            effects += _extent_read(state, context, state.homes[account], fold)
    return effects


def tend_home(state: AccountsState, context: Context, account: str, home: Home) -> Effects:
    """Repeats, refreshes or closes the extent of an account as time passes."""
    resource = home_resource(account, state.settings.partition_count)
    epoch = context.claims.epoch_held(resource)
    if epoch != home.epoch:
        return []
    now_ms = context.now_ms
    pending = state.pending_extents.get(account)
    if pending is not None:
        late = now_ms >= pending.tried_at_ms + APPEND_RETRY_MS
        return _append_extent(state, context, pending.record) if late else []
    home.expire(now_ms)
    limits = find_limits(context, account)
    if home.extent is None or limits is None:
        return []
    if home.idle() and not home.waiting and home.settled(now_ms):
        if home.extent.permits or home.extent.tokens:
            return _write_extent(state, context, home, limits, close=True)
        return []
    # Once the former homes' grants are over, the next successor need not wait for them again.
    former = state.extents[extents_stream_of(state, account)].before(account, home.epoch)
    if (former and home.settled(now_ms)) or now_ms >= home.extent_at_ms + EXTENT_REFRESH_MS:
        return _write_extent(state, context, home, limits)
    return []


def _answer(
    state: AccountsState,
    context: Context,
    home: Home,
    key: HolderKey,
    *,
    ask: AccountAsked,
    limits: Limits,
) -> Effects:
    if home.extent and context.now_ms > home.extent_at_ms + EXTENT_LIFE_MS:
        return []
    grant = home.answer(key, ask, limits, now_ms=context.now_ms)
    if grant is not None:
        return [SendMessage(key[0], grant)]
    return _write_extent(state, context, home, limits) if home.waiting else []


def _write_extent(
    state: AccountsState, context: Context, home: Home, limits: Limits, *, close: bool = False
) -> Effects:
    """Appends a larger extent (or an empty one), if none is under way."""
    if home.account in state.pending_extents:
        return []
    extent = home.extent
    permits = min(max(limits.permits, home.permits_short), max(2 * home.permits_short, MIN_PERMITS))
    tokens = min(max(limits.tokens, home.tokens_short), 2 * home.tokens_short)
    steps = -(-(home.hold_ms + REUSE_MS) // TERM_STEP_MS)
    record: ExtentRecord = {
        "kind": "extent",
        "account": home.account,
        "epoch": home.epoch,
        "serial": extent.serial + 1 if extent else 0,
        "permits": 0 if close else max(permits, extent.permits if extent else 0),
        "tokens": 0 if close else max(tokens, extent.tokens if extent else 0),
        "term_ms": steps * TERM_STEP_MS,
        "settled": home.settled(context.now_ms),
    }
    if close and extent:
        # From now on, not from reading it back: a grant between the two would be outstanding
        # beyond the extent in the log, and a successor would lend the same permits again.
        home.extent = extent._replace(permits=0, tokens=0)
    return _append_extent(state, context, record)


def _append_extent(state: AccountsState, context: Context, record: ExtentRecord) -> Effects:
    account = record["account"]
    stream = extents_stream_of(state, account)
    earlier = state.pending_extents.get(account)
    first_at_ms = earlier.appended_at_ms if earlier else context.now_ms
    state.pending_extents[account] = PendingExtent(record, first_at_ms, context.now_ms)
    append_id = FIRST_APPEND_ID - state.next_append
    state.next_append += 1
    effects: Effects = []
    if stream not in state.extents:
        state.extents[stream] = ExtentFold()
        effects.append(FollowStream(stream, 0))
    effects.append(AppendRecord(stream, append_id, msgspec.json.encode(record)))
    return [*effects, Count("accounts_extents_total")]


def _extent_read(state: AccountsState, context: Context, home: Home, fold: ExtentFold) -> Effects:
    extent = fold.newest(home.account, home.epoch)
    if extent is None and fold.superseded(home.account, home.epoch):
        # A newer home has read ours as closed; whatever our claims still say, lend no more.
        home.extent = None
        home.waiting.clear()
        return []
    pending = state.pending_extents.get(home.account)
    if extent is None or pending is None or extent.serial != pending.record["serial"]:
        return []
    del state.pending_extents[home.account]
    if home.extent is None:
        resource = home_resource(home.account, state.settings.partition_count)
        claimed = state.claimed.get(resource)
        since_ms = claimed.at_ms if claimed and claimed.epoch == home.epoch else context.now_ms
        home.open(extent, fold.before(home.account, home.epoch), since_ms=since_ms)
    home.extent = extent
    home.extent_at_ms = pending.appended_at_ms
    return _answer_waiting(state, context, home)


def _answer_waiting(state: AccountsState, context: Context, home: Home) -> Effects:
    limits = find_limits(context, home.account)
    resource = home_resource(home.account, state.settings.partition_count)
    if limits is None or context.claims.epoch_held(resource) != home.epoch:
        return []
    effects: Effects = []
    for key, ask in list(home.waiting.items()):
        effects += _answer(state, context, home, key, ask=ask, limits=limits)
    return effects
