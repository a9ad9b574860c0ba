"""Frees engine memory held by programs that have ended.

Every few seconds a keeper asks each of its model engines what its cache holds, asks the owners of
those programs which of them are over, and has the engine release these. The audit needs no memory
of its own, so it also finds what an earlier keeper, a lost message or a broken-off call left.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from quincespool.core.call import CallKind
from quincespool.core.effects import Count
from quincespool.core.effects import Log
from quincespool.core.effects import SendMessage
from quincespool.core.effects import StartExchange
from quincespool.core.effects import StopExchange
from quincespool.core.events import ExchangeData
from quincespool.core.events import ExchangeFailed
from quincespool.core.events import ExchangeHead
from quincespool.core.keeper import timers as keeper_timers
from quincespool.core.keeper.audit_state import Asked
from quincespool.core.keeper.audit_state import AuditExchange
from quincespool.core.keeper.exchange import FENCING_HEADER
from quincespool.core.messages import ProgramsAsked
from quincespool.core.placement import backend_resource
from quincespool.core.placement import desired_holder
from quincespool.core.placement import partition_of

if TYPE_CHECKING:
    from quincespool.core.context import Context
    from quincespool.core.effects import Effects
    from quincespool.core.events import ExchangeEvent
    from quincespool.core.keeper.audit_state import AuditState
    from quincespool.core.keeper.state import KeeperState
    from quincespool.core.messages import CacheRelease
    from quincespool.core.messages import ProgramsOver

PERIOD_MS = 5000
TIME_LIMIT_MS = 3000
CACHE_PATH = "/v1/cache"
RELEASE_PATH = "/v1/cache/release"
MAX_PROGRAMS_PER_PERIOD = 512
MAX_PROGRAMS_PER_MESSAGE = 64
MAX_RELEASES_IN_FLIGHT = 4
MAX_RELEASES_WAITING = 512


class _CachedProgram(msgspec.Struct):
    program_id: str
    tokens: int = 0


class _CacheListing(msgspec.Struct):
    programs: list[_CachedProgram]


def schedule(context: Context, backend: str, *, delay_ms: int = 0) -> None:
    """Subscribes to the next audit of a backend server."""
    key = keeper_timers.timer_key(keeper_timers.AUDIT, backend)
    context.timers.subscribe(key, at_ms=context.now_ms + delay_ms)


def audit(state: KeeperState, context: Context, backend: str) -> Effects:
    """Asks an engine what its cache holds, and comes back after a period."""
    audits = state.audit
    audits.asked = {key: one for key, one in audits.asked.items() if one.backend != backend}
    if backend not in state.held or not _is_engine(context, backend):
        audits.releases.pop(backend, None)
        audits.cursors.pop(backend, None)
        return []
    if context.claims.epoch_held(backend_resource(backend)) is None:
        schedule(context, backend, delay_ms=keeper_timers.TICK_MS)
        return []
    schedule(context, backend, delay_ms=PERIOD_MS)
    if audits.in_flight(backend, listing=True):
        return []
    return [
        *_request(state, context, backend, method="GET", path=CACHE_PATH),
        *_release_more(state, context, backend),
    ]


def take_exchange(state: KeeperState, context: Context, event: ExchangeEvent) -> Effects:
    """Takes an event of one of the audit's exchanges."""
    exchange = state.audit.exchanges[event.exchange_id]
    if isinstance(event, ExchangeHead):
        exchange.status = event.status
        return []
    if isinstance(event, ExchangeData):
        exchange.body += event.data
        if len(exchange.body) <= state.settings.max_body_bytes:
            return []
        del state.audit.exchanges[event.exchange_id]
        return [StopExchange(event.exchange_id), _failure(exchange, "body too long")]
    del state.audit.exchanges[event.exchange_id]
    effects = _take_end(state, context, exchange, event)
    return [*effects, *_release_more(state, context, exchange.backend)]


def take_programs_over(
    state: KeeperState, context: Context, sender: str, message: ProgramsOver
) -> Effects:
    """Takes an owner's answer and releases what is over or unknown."""
    asked = state.audit.asked.get(message.ticket)
    if asked is None or asked.owner != sender or asked.backend != message.backend:
        return []
    del state.audit.asked[message.ticket]
    unknown = [one for one in message.unknown if _owns(state, context, sender, one)]
    for program_id in (*message.over, *unknown):
        if program_id in asked.program_ids:
            _want_release(state, asked.backend, program_id)
    return _release_more(state, context, asked.backend)


def take_release(state: KeeperState, context: Context, message: CacheRelease) -> Effects:
    """Releases an ended program at an owner's word; if that fails, the next audit finds it."""
    if message.backend not in state.held or not _is_engine(context, message.backend):
        return []
    _want_release(state, message.backend, message.program_id)
    return _release_more(state, context, message.backend)


def _want_release(state: KeeperState, backend: str, program_id: str) -> None:
    waiting = state.audit.releases.setdefault(backend, {})
    if len(waiting) < MAX_RELEASES_WAITING:
        waiting[program_id] = None


def _release_more(state: KeeperState, context: Context, backend: str) -> Effects:
    waiting = state.audit.releases.get(backend, {})
    effects: Effects = []
    while waiting and state.audit.in_flight(backend, listing=False) < MAX_RELEASES_IN_FLIGHT:
        if context.claims.epoch_held(backend_resource(backend)) is None:
            return effects
        program_id = next(iter(waiting))
        del waiting[program_id]
        # An attempt that is still here would fill the cache again; the audit comes back to it.
        if program_id in state.queue(backend).programs():
            continue
        effects += _request(
            state, context, backend, method="POST", path=RELEASE_PATH, program_id=program_id
        )
    return effects


def _request(
    state: KeeperState,
    context: Context,
    backend: str,
    *,
    method: str,
    path: str,
    program_id: str = "",
) -> Effects:
    epoch = context.claims.epoch_held(backend_resource(backend))
    entry = context.catalogue.backends().get(backend)
    if epoch is None or entry is None:
        return []
    exchange_id = state.next_exchange_id()
    state.audit.exchanges[exchange_id] = AuditExchange(backend=backend, program_id=program_id)
    return [
        StartExchange(
            exchange_id=exchange_id,
            address=entry["address"],
            method=method,
            path=path,
            headers=(("content-type", "application/json"), (FENCING_HEADER, str(epoch))),
            body=msgspec.json.encode({"program_id": program_id}) if program_id else b"",
            time_limit_ms=TIME_LIMIT_MS,
        )
    ]


def _take_end(
    state: KeeperState, context: Context, exchange: AuditExchange, event: ExchangeEvent
) -> Effects:
    if isinstance(event, ExchangeFailed):
        return [_failure(exchange, event.detail)]
    if not 200 <= exchange.status < 300:
        return [_failure(exchange, f"status {exchange.status}")]
    if exchange.program_id:
        return [Count("cache_released_total")]
    try:
        listing = msgspec.json.decode(exchange.body, type=_CacheListing)
    except msgspec.DecodeError as error:
        return [_failure(exchange, str(error))]
    program_ids = sorted({one.program_id for one in listing.programs})
    return [Count("cache_audits_total"), *_ask(state, context, exchange.backend, program_ids)]


def _ask(state: KeeperState, context: Context, backend: str, program_ids: list[str]) -> Effects:
    at_work = state.queue(backend).programs()
    resting = [one for one in program_ids if one not in at_work]
    by_owner: dict[str, list[str]] = {}
    for program_id in _portion(state.audit, backend, resting):
        owner = _owner(state, context, program_id)
        if owner is not None:
            by_owner.setdefault(owner, []).append(program_id)
    effects: Effects = []
    for owner, ids in by_owner.items():
        for start in range(0, len(ids), MAX_PROGRAMS_PER_MESSAGE):
            portion = tuple(ids[start : start + MAX_PROGRAMS_PER_MESSAGE])
            state.audit.ticket += 1
            ticket = state.audit.ticket
            state.audit.asked[ticket] = Asked(backend, owner, frozenset(portion))
            effects.append(SendMessage(owner, ProgramsAsked(ticket, backend, portion)))
    return effects


def _portion(audits: AuditState, backend: str, program_ids: list[str]) -> list[str]:
    if len(program_ids) <= MAX_PROGRAMS_PER_PERIOD:
        audits.cursors.pop(backend, None)
        return program_ids
    cursor = audits.cursors.get(backend, "")
    later = [one for one in program_ids if one > cursor]
    portion = (later + program_ids)[:MAX_PROGRAMS_PER_PERIOD]
    audits.cursors[backend] = portion[-1]
    return portion


def _owner(state: KeeperState, context: Context, program_id: str) -> str | None:
    partition = partition_of(program_id, state.settings.partition_count)
    alive = context.members.alive()
    return context.claims.holder(partition) or desired_holder(
        partition, alive, state.settings.stream_count
    )


def _owns(state: KeeperState, context: Context, sender: str, program_id: str) -> bool:
    """Whether `sender` is not known to be somebody else than the owner."""
    partition = partition_of(program_id, state.settings.partition_count)
    return context.claims.holder(partition) in (None, sender)


def _is_engine(context: Context, backend: str) -> bool:
    entry = context.catalogue.backends().get(backend)
    return entry is not None and CallKind(entry["backend_kind"]) is CallKind.MODEL


def _failure(exchange: AuditExchange, detail: str) -> Log:
    fields: dict[str, object] = {
        "backend": exchange.backend,
        "program_id": exchange.program_id,
        "detail": detail,
    }
    return Log("warning", "cache audit failed; the next one tries again", fields)
