"""Ends a call: tells its callers, forgets it, gives back what it had reserved."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quincespool.core.owner import permit as owner_permit
from quincespool.core.owner.env import PART
from quincespool.core.owner.env import refuse
from quincespool.core.owner.env import tell
from quincespool.core.timers import TimerKey
from quincespool.verdict import Verdict

if TYPE_CHECKING:
    from quincespool.core.call import Answer
    from quincespool.core.effects import Effects
    from quincespool.core.owner.env import OwnerEnv
    from quincespool.core.owner.program_run import CallRun
    from quincespool.core.reasons import Reason


def finish(env: OwnerEnv, run: CallRun, answer: Answer) -> Effects:
    """Answers a call and forgets it."""
    return [*_forget(env, run), *tell(run.callers, answer)]


def finish_refused(
    env: OwnerEnv,
    run: CallRun,
    reason: Reason,
    *,
    retry_after_ms: int = 0,
    verdict: Verdict | None = None,
) -> Effects:
    """Refuses a call under way and forgets it."""
    effects = _forget(env, run)
    return effects + refuse(
        env, run.call, run.callers, reason, retry_after_ms=retry_after_ms, verdict=verdict
    )


def unused_licence_verdict(env: OwnerEnv, run: CallRun) -> Verdict | None:
    """Returns `NOT_RUN` while this daemon is surely the one whose licence stands, and unused.

    A daemon that can't read the log may have been superseded, and its successor may have run the
    call for the same caller: then only what can be proved otherwise may be said (None).
    """
    held = env.ledger.epoch_held(env.ledger.partition(run.call.program_id))
    return Verdict.NOT_RUN if held == run.epoch else None


def _forget(env: OwnerEnv, run: CallRun) -> Effects:
    env.context.timers.cancel(TimerKey(PART, "deadline", run.key))
    env.context.timers.cancel(TimerKey(PART, "retry", run.key))
    free_reserve(env, run)
    owner_permit.leave(env, run)
    env.state.runs.drop_call(run)
    return owner_permit.release(env, run)


def free_reserve(env: OwnerEnv, run: CallRun) -> None:
    """Gives back what a call had reserved of its program's slice."""
    spending = env.state.runs.spending.get(run.call.root_id)
    if spending is not None:
        spending.reserved_tokens -= run.reserved_tokens
    run.reserved_tokens = 0
