"""The permit of its client account that a call needs before it runs on a backend server.

A permit is kept through tries that were not run. One under which an attempt may still run is left:
it stays busy until the keeper says that the attempt is over, or the call's time has passed.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from quincespool.core.accounts import reducer as accounts
from quincespool.core.accounts.home import MAX_HOLD_MS
from quincespool.core.owner.budget import most_tokens
from quincespool.core.owner.program_run import Phase

if TYPE_CHECKING:
    from quincespool.core.effects import Effects
    from quincespool.core.owner.env import OwnerEnv
    from quincespool.core.owner.program_run import CallRun


def acquire(env: OwnerEnv, run: CallRun) -> accounts.Acquired:
    """Asks for a permit and the tokens of one attempt; a pending call changes its phase."""
    env.state.ticket_count += 1
    ticket = f"{run.key}:{env.state.ticket_count}"
    acquired = accounts.acquire(
        env.accounts,
        env.context,
        account=run.call.account,
        ticket=ticket,
        tokens=most_tokens(run.call),
        hold_ms=min(MAX_HOLD_MS, max(1, run.deadline_at_ms - env.context.now_ms)),
    )
    match acquired.decision:
        case accounts.Granted(must_end_by_ms):
            run.ticket = ticket
            keep_within(run, must_end_by_ms)
        case accounts.Pending():
            run.ticket = ticket
            run.phase = Phase.PERMIT
            env.state.runs.permits[ticket] = run
        case accounts.Refused():
            pass
    return acquired


def keep_within(run: CallRun, must_end_by_ms: int) -> None:
    """Lets no attempt of the call outlast its permit."""
    run.deadline_at_ms = min(run.deadline_at_ms, must_end_by_ms)


def release(env: OwnerEnv, run: CallRun) -> Effects:
    """Gives the permit back, or takes back the request for one; nothing of the call runs."""
    ticket, run.ticket = run.ticket, ""
    if not ticket:
        return []
    env.state.runs.permits.pop(ticket, None)
    account = run.call.account
    return accounts.release(env.accounts, env.context, account=account, ticket=ticket)


def leave(env: OwnerEnv, run: CallRun) -> None:
    """If an attempt is under way, lets its permit end with it: nobody here waits for it any more.

    What goes wrong otherwise: the keeper is cut off, the call is given up or tried elsewhere, and
    its permit goes to another call while the first one still runs. One would notice more calls of
    an account on the backend servers than its entry allows.
    """
    if not run.attempt_id or not run.ticket:
        return
    account = run.call.account
    accounts.leave(env.accounts, account=account, ticket=run.ticket, attempt_id=run.attempt_id)
    run.ticket = ""


def attempt_over(env: OwnerEnv, attempt_id: str) -> Effects:
    """A keeper says that an attempt is over which this owner has given up before."""
    return accounts.release_left(env.accounts, env.context, attempt_id=attempt_id)
