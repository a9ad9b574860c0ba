"""Acts on news of requests that crash backend servers, also on what runs already."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quincespool.core.keeper import run as keeper_run
from quincespool.core.keeper import timers as keeper_timers
from quincespool.core.reasons import Reason

if TYPE_CHECKING:
    from quincespool.core.context import Context
    from quincespool.core.effects import Effects
    from quincespool.core.keeper.queue import BackendQueue
    from quincespool.core.keeper.state import KeeperState


def schedule(context: Context) -> None:
    """Calls for `separate` after the present event, when the quarantine has taken it in too."""
    key = keeper_timers.timer_key(keeper_timers.SUSPECTS)
    context.timers.subscribe(key, at_ms=context.now_ms)


def separate(state: KeeperState, context: Context) -> Effects:
    """Ends what is blocked, and leaves at most one suspect running on each backend server."""
    effects: Effects = []
    for attempt in list(state.attempts.values()):
        if state.quarantine.blocked(attempt.dispatch.fingerprint):
            effects += keeper_run.stop(state, context, attempt, Reason.QUARANTINED)
    for queue in list(state.queues.values()):
        effects += _leave_one(state, context, queue)
    return effects


def _leave_one(state: KeeperState, context: Context, queue: BackendQueue) -> Effects:
    running = queue.running.values()
    suspects = [one for one in running if state.quarantine.suspect(one.dispatch.fingerprint)]
    # What cannot be repeated goes on in any case; among the rest the one that has run longest.
    suspects.sort(key=lambda one: (not one.dispatch.non_idempotent, one.arrival))
    effects: Effects = []
    for attempt in suspects[1:]:
        if not attempt.dispatch.non_idempotent:
            effects += keeper_run.stop(state, context, attempt, Reason.BACKEND_FAILED)
    return effects
