"""Tells the owners who ask how busy a backend server is: at once, then on change for a while."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quincespool.core.effects import SendMessage
from quincespool.core.keeper import timers as keeper_timers
from quincespool.core.messages import BackendSummary

if TYPE_CHECKING:
    from quincespool.core.context import Context
    from quincespool.core.effects import Effects
    from quincespool.core.keeper.state import KeeperState

SUBSCRIBED_MS = 5000
INTERVAL_MS = 200


def subscribe(state: KeeperState, context: Context, member_id: str, backend: str) -> Effects:
    """Answers an owner that asks, and tells it of changes from now on for `SUBSCRIBED_MS`."""
    if backend not in state.held:
        return []
    until_ms = state.summaries.until_ms.setdefault(backend, {})
    until_ms[member_id] = context.now_ms + SUBSCRIBED_MS
    return [SendMessage(member_id, _summary(state, context, backend))]


def changed(state: KeeperState, context: Context, backend: str) -> None:
    """Notes that a queue has changed; those who asked are told within `INTERVAL_MS`."""
    summaries = state.summaries
    if backend in summaries.scheduled or backend not in summaries.until_ms:
        return
    summaries.scheduled.add(backend)
    at_ms = max(context.now_ms, summaries.sent_ms.get(backend, 0) + INTERVAL_MS)
    context.timers.subscribe(keeper_timers.timer_key(keeper_timers.SUMMARY, backend), at_ms=at_ms)


def publish(state: KeeperState, context: Context, backend: str) -> Effects:
    """Sends the summary that has become due."""
    summaries = state.summaries
    summaries.scheduled.discard(backend)
    until_ms = summaries.until_ms.get(backend, {})
    asking = {member: end_ms for member, end_ms in until_ms.items() if end_ms > context.now_ms}
    if not asking or backend not in state.held:
        summaries.until_ms.pop(backend, None)
        return []
    summaries.until_ms[backend] = asking
    summaries.sent_ms[backend] = context.now_ms
    summary = _summary(state, context, backend)
    return [SendMessage(member_id, summary) for member_id in asking]


def _summary(state: KeeperState, context: Context, backend: str) -> BackendSummary:
    queue = state.queue(backend)
    entry = context.catalogue.backends().get(backend)
    return BackendSummary(
        backend=backend,
        running=len(queue.running),
        waiting=len(queue.waiting),
        waiting_tokens=queue.tokens(),
        slots=entry["slots"] if entry else 0,
        sent_at_ms=context.now_ms,
    )
