"""Takes and gives back resources (partitions and backend servers) by claims in the log.

Placement says which daemon should hold a resource. That daemon claims it when it is free, when its
holder is believed dead, or when its holder has restarted. Believing wrongly costs a claim and never
correctness: the ledger decides whose claim counts, and a superseded holder's entries are void.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

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
from quincespool.core.messages import PartitionAsked
from quincespool.core.placement import PARTITION_PREFIX
from quincespool.core.placement import backend_resource
from quincespool.core.placement import desired_holder
from quincespool.core.stream_ledger import NO_EPOCH
from quincespool.core.timers import TimerKey

if TYPE_CHECKING:
    from collections.abc import Callable

    from quincespool.core.commit import CommitState
    from quincespool.core.context import Context
    from quincespool.core.effects import Effects
    from quincespool.core.events import Event
    from quincespool.core.ledger import LedgerState
    from quincespool.core.records import LedgerEntry
    from quincespool.core.stream_ledger import ClaimState
    from quincespool.settings import Settings

PART = "claims"
REVIEW_MS = 250
"""How often a daemon compares what it holds with what it should hold."""
SETTLE_MS = 1_500
"""A daemon that has just started claims nothing yet: it would take its peers for dead."""
ASK_AGAIN_MS = 1_000
MAX_CLAIMS_A_REVIEW = 200
"""Bounds what one daemon writes at once when a whole zone has gone."""


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
        self.should_hold: dict[str, str] = {}


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
        case MembersChanged() | CatalogueChanged():
            state.should_hold = _placement(state, context)
            return []
        case MessageReceived(sender, PartitionAsked() as message):
            return _on_asked(state, ledger, sender, message)
        case LedgerAdvanced():
            _forget_pending(state, event)
            return []
        case TimerFired(part=part) if part == PART:
            context.timers.subscribe(TimerKey(PART, "review"), at_ms=context.now_ms + REVIEW_MS)
            return _review(state, context, ledger, commits, holdings)
        case _:
            return []


def yielding(state: ClaimsState, resource: str) -> bool:
    """Whether a held resource is to be given back and should take nothing new."""
    return state.draining or resource in state.wanted_by


def _placement(state: ClaimsState, context: Context) -> dict[str, str]:
    members = context.members.alive()
    resources = [
        f"{PARTITION_PREFIX}{number}" for number in range(state.settings.partition_count)
    ] + [backend_resource(name) for name in context.catalogue.backends()]
    placed = {}
    for resource in resources:
        holder = desired_holder(resource, members, state.settings.stream_count)
        if holder is not None:
            placed[resource] = holder
    return placed


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


def _review(
    state: ClaimsState,
    context: Context,
    ledger: LedgerState,
    commits: CommitState,
    holdings: Holdings,
) -> Effects:
    effects = _give_back(state, context, ledger, commits, holdings)
    if state.draining or context.now_ms < state.claim_not_before_ms:
        return effects
    claims: dict[str, list[LedgerEntry]] = {}
    count = 0
    for resource, holder_id in state.should_hold.items():
        if holder_id != state.member_id or resource in state.pending:
            continue
        stream = ledger.stream_of(resource)
        if not ledger.fresh(stream):
            continue
        claim = ledger.claim(resource)
        if claim is not None and claim.holder and _holder_lives(context, claim):
            effects += _ask(state, context, resource, claim)
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
