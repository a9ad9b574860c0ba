"""Takes and gives back resources (partitions and backend servers) by claims in the log.

Placement says which daemon should hold a resource. That daemon claims it when it is free, when its
holder is believed dead, or when its holder has restarted. Believing wrongly costs a claim and never
correctness: the ledger decides whose claim counts, and a superseded holder's entries are void.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from quincespool.core import commit
from quincespool.core.effects import Count
from quincespool.core.effects import Log
from quincespool.core.effects import SendMessage
from quincespool.core.events import CatalogueChanged
from quincespool.core.events import DrainRequested
from quincespool.core.events import LedgerAdvanced
from quincespool.core.events import MembersChanged
from quincespool.core.events import MessageReceived
from quincespool.core.events import Started
from quincespool.core.events import TimerFired
from quincespool.core.ledger.stream_ledger import NO_EPOCH
from quincespool.core.messages import PartitionAsked
from quincespool.core.placement import BACKEND_PREFIX
from quincespool.core.placement import PARTITION_PREFIX
from quincespool.core.placement import backend_resource
from quincespool.core.placement import desired_holder
from quincespool.core.placement import shared_streams
from quincespool.core.placement import stream_of
from quincespool.core.timers import TimerKey

if TYPE_CHECKING:
    from collections.abc import Callable

    from quincespool.core.commit import CommitState
    from quincespool.core.context import Context
    from quincespool.core.effects import Effects
    from quincespool.core.events import Event
    from quincespool.core.ledger.followed import LedgerState
    from quincespool.core.ledger.state import ClaimState
    from quincespool.core.records import LedgerEntry
    from quincespool.settings import Settings

PART = "claims"
REVIEW_MS = 250
"""How often a daemon compares what it holds with what it should hold."""
SETTLE_MS = 1_500
"""A daemon that has just started claims nothing yet: it would take its peers for dead."""
ASK_AGAIN_MS = 1_000
LEAVE_MS = 1_000
LEAVE_MOST_MS = 8_000
MAX_CLAIMS_A_REVIEW = 200
"""Bounds what one daemon writes at once when a whole zone has gone."""


class _Taken(NamedTuple):
    """Another daemon's claim was read: it reaches the log, whatever we believe of it."""

    times: int
    leave_until_ms: int


class ClaimsState:
    """What this daemon is about to take or give back."""

    def __init__(self, *, settings: Settings, member_id: str, incarnation: int) -> None:
        self.settings = settings
        self.member_id = member_id
        self.incarnation = incarnation
        self.draining = False
        self.claim_not_before_ms = 0
        self.pending: dict[str, tuple[str, int]] = {}
        """Resource to (stream, sequence) of a claim or yield not read back yet."""
        self.wanted_by: dict[str, str] = {}
        """Held resources that the daemon which should hold them has asked for."""
        self.asked_ms: dict[str, int] = {}
        self.taken: dict[str, _Taken] = {}
        """What others have claimed lately."""
        self.should_hold: dict[str, None] = {}
        """A set that keeps its order."""


class Holdings:
    """What the parts that use a resource say of it, as functions."""

    def __init__(
        self,
        *,
        busy: Callable[[str], bool],
        unrecorded_tokens: Callable[[str], dict[str, int]],
    ) -> None:
        self.busy = busy
        self.unrecorded_tokens = unrecorded_tokens


def make_claims(settings: Settings, *, member_id: str, incarnation: int) -> ClaimsState:
    """Returns the part's first state."""
    return ClaimsState(settings=settings, member_id=member_id, incarnation=incarnation)


def reduce(
    state: ClaimsState,
    context: Context,
    event: Event,
    *,
    ledger: LedgerState,
    commits: CommitState,
    holdings: Holdings,
) -> Effects:
    """Reviews the holdings on change and now and then."""
    match event:
        case Started():
            state.claim_not_before_ms = context.now_ms + SETTLE_MS
            context.timers.subscribe(TimerKey(PART, "review"), at_ms=context.now_ms + SETTLE_MS)
            return []
        case DrainRequested():
            state.draining = True
            return []
        case MembersChanged():
            state.should_hold = _placement(state, context)
            return []
        case CatalogueChanged(names):
            _place_backends(state, context, names)
            return []
        case MessageReceived(sender, PartitionAsked() as message):
            return _on_asked(state, ledger, sender, message)
        case LedgerAdvanced():
            _forget_pending(state, event)
            _note_taken(state, context, ledger, event.resources)
            return []
        case TimerFired(part=part) if part == PART:
            context.timers.subscribe(TimerKey(PART, "review"), at_ms=context.now_ms + REVIEW_MS)
            return _review(state, context, ledger, commits, holdings)
        case _:
            return []


def yielding(state: ClaimsState, resource: str) -> bool:
    """Whether a held resource is to be given back and should take nothing new."""
    return state.draining or resource in state.wanted_by


def _placement(state: ClaimsState, context: Context) -> dict[str, None]:
    """Returns what this daemon should hold; looks only at the streams that it shares."""
    count = state.settings.stream_count
    members = context.members.alive()
    streams = set(shared_streams(state.member_id, members, count))
    numbers = range(state.settings.partition_count)
    resources = [f"{PARTITION_PREFIX}{number}" for number in numbers]
    resources += map(backend_resource, context.catalogue.backends())
    return {
        resource: None
        for resource in resources
        if stream_of(resource, count) in streams
        and desired_holder(resource, members, count) == state.member_id
    }


def _place_backends(state: ClaimsState, context: Context, names: tuple[str, ...]) -> None:
    backends = context.catalogue.backends()
    members = context.members.alive()
    for name in names:
        if not name.startswith(BACKEND_PREFIX):
            continue
        state.should_hold.pop(name, None)
        known = name.removeprefix(BACKEND_PREFIX) in backends
        if known and desired_holder(name, members, state.settings.stream_count) == state.member_id:
            state.should_hold[name] = None


def _on_asked(
    state: ClaimsState, ledger: LedgerState, sender: str, message: PartitionAsked
) -> Effects:
    if ledger.epoch_believed(message.resource) == message.epoch:
        state.wanted_by[message.resource] = sender
    return []


def _forget_pending(state: ClaimsState, event: LedgerAdvanced) -> None:
    done = [
        resource
        for resource, (stream, sequence) in state.pending.items()
        if stream == event.stream and sequence <= event.last_sequence
    ]
    for resource in done:
        del state.pending[resource]


def _note_taken(
    state: ClaimsState, context: Context, ledger: LedgerState, resources: tuple[str, ...]
) -> None:
    """Leaves a resource alone for a while after another daemon's claim, longer each time.

    Two daemons that reach the log but not each other believe each other dead and would take each
    other's resources back and forth for good; every call on them would be cut, and the log would
    fill with claims.
    """
    for resource in resources:
        claim = ledger.claim(resource)
        if claim is None or claim.holder in ("", state.member_id):
            continue
        known = state.taken.get(resource, _Taken(0, 0))
        recent = context.now_ms < known.leave_until_ms + LEAVE_MOST_MS
        times = known.times + 1 if recent else 0
        leave_ms = min(LEAVE_MOST_MS, LEAVE_MS << min(times, 10))
        state.taken[resource] = _Taken(times, context.now_ms + leave_ms)


def _leave(state: ClaimsState, context: Context, resource: str, claim: ClaimState) -> bool:
    member = context.members.find(claim.holder)
    if member is not None and member.incarnation > claim.incarnation:
        return False
    known = state.taken.get(resource)
    return known is not None and context.now_ms < known.leave_until_ms


def _review(
    state: ClaimsState,
    context: Context,
    ledger: LedgerState,
    commits: CommitState,
    holdings: Holdings,
) -> Effects:
    effects = _give_back(state, context, ledger, commits, holdings)
    # Until membership has settled, a daemon that just started or woke takes all others for dead.
    settled = context.members.settled and context.now_ms >= state.claim_not_before_ms
    if state.draining or not settled:
        return effects
    claims: dict[str, list[LedgerEntry]] = {}
    count = 0
    for resource in state.should_hold:
        if resource in state.pending:
            continue
        stream = ledger.stream_of(resource)
        if not ledger.fresh(stream):
            continue
        claim = ledger.claim(resource)
        if claim is not None and claim.holder and _holder_lives(context, claim):
            effects += _ask(state, context, resource, claim)
            continue
        if claim is not None and claim.holder and _leave(state, context, resource, claim):
            continue
        if count >= MAX_CLAIMS_A_REVIEW:
            break
        count += 1
        claims.setdefault(stream, []).append(_claim(state, resource, claim))
    for stream, entries in claims.items():
        sequence, more = commit.submit(commits, context, stream=stream, entries=entries)
        for entry in entries:
            if entry["kind"] == "claim":
                state.pending[entry["resource"]] = (stream, sequence)
        effects += more
        effects.append(Count("claims_written_total", len(entries)))
    return effects


def _claim(state: ClaimsState, resource: str, claim: ClaimState | None) -> LedgerEntry:
    return {
        "kind": "claim",
        "resource": resource,
        "holder": state.member_id,
        "incarnation": state.incarnation,
        "previous": claim.epoch if claim else NO_EPOCH,
    }


def _holder_lives(context: Context, claim: ClaimState) -> bool:
    member = context.members.find(claim.holder)
    return member is not None and member.incarnation <= claim.incarnation


def _ask(state: ClaimsState, context: Context, resource: str, claim: ClaimState) -> Effects:
    """Asks a living holder to give a resource back; it does so once nothing is in flight on it."""
    if claim.holder == state.member_id:
        return []
    if context.now_ms - state.asked_ms.get(resource, 0) < ASK_AGAIN_MS:
        return []
    state.asked_ms[resource] = context.now_ms
    return [SendMessage(claim.holder, PartitionAsked(resource=resource, epoch=claim.epoch))]


def _give_back(
    state: ClaimsState,
    context: Context,
    ledger: LedgerState,
    commits: CommitState,
    holdings: Holdings,
) -> Effects:
    effects: Effects = []
    candidates = ledger.held() if state.draining else list(state.wanted_by)
    for resource in candidates:
        epoch = ledger.epoch_believed(resource)
        if epoch is None:
            state.wanted_by.pop(resource, None)
            continue
        if resource in state.pending or holdings.busy(resource):
            continue
        entry: LedgerEntry = {
            "kind": "yield",
            "resource": resource,
            "epoch": epoch,
            "unrecorded_tokens": holdings.unrecorded_tokens(resource),
        }
        stream = ledger.stream_of(resource)
        sequence, more = commit.submit(commits, context, stream=stream, entries=[entry])
        state.pending[resource] = (stream, sequence)
        effects += more
        effects.append(Log("info", "yields a resource", {"resource": resource, "epoch": epoch}))
    return effects
