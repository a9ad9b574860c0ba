"""Whether and when a call is tried again."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quincespool.core.owner.env import PART
from quincespool.core.owner.program_run import Phase
from quincespool.core.owner.retry_budget import backoff_ms
from quincespool.core.owner.views import backend_views
from quincespool.core.timers import TimerKey

if TYPE_CHECKING:
    from quincespool.core.effects import Effects
    from quincespool.core.owner.env import OwnerEnv
    from quincespool.core.owner.program_run import CallRun

MAX_TRIES = 4


def retry_later(env: OwnerEnv, run: CallRun) -> Effects:
    """Waits a little, then sends the next attempt."""
    run.phase = Phase.BACKOFF
    at_ms = env.context.now_ms + backoff_ms(run.tries, run.key)
    env.context.timers.subscribe(TimerKey(PART, "retry", run.key), at_ms=at_ms)
    return []


def may_retry(env: OwnerEnv, run: CallRun) -> bool:
    """Whether another attempt is allowed, by its number, its time and the retry budget."""
    if run.tries >= MAX_TRIES or env.context.now_ms >= run.deadline_at_ms:
        return False
    return env.state.retries.take()


def may_go_elsewhere(env: OwnerEnv, run: CallRun) -> bool:
    """Whether a call that was refused unsent may go to a backend server that has not refused it.

    That costs nothing of the retry budget. Otherwise one backend server that keepers know to be
    leaving, and this daemon does not (it has just started, and the host list has dropped it), uses
    the budget up, and calls are refused although other backend servers would take them.
    """
    if run.backend not in run.avoid or run.tries >= MAX_TRIES:
        return False
    if env.context.now_ms >= run.deadline_at_ms:
        return False
    return any(view.name not in run.avoid for view in backend_views(env, run))
