"""Attempts: chooses a backend server, sends the attempt to its keeper, tries again where it may."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quincespool.core.effects import Count
from quincespool.core.effects import SendMessage
from quincespool.core.messages import Dispatch
from quincespool.core.messages import SummaryAsked
from quincespool.core.owner import finish as owner_finish
from quincespool.core.owner import permit as owner_permit
from quincespool.core.owner import retries as owner_retries
from quincespool.core.owner.closing import finish_refused
from quincespool.core.owner.program_run import Phase
from quincespool.core.owner.views import BYTES_PER_TOKEN
from quincespool.core.owner.views import backend_views
from quincespool.core.owner.views import call_view
from quincespool.core.owner.views import stays
from quincespool.core.placement import backend_resource
from quincespool.core.placement import desired_holder
from quincespool.core.reasons import Reason
from quincespool.policy.registry import make_policy

if TYPE_CHECKING:
    from quincespool.core.effects import Effects
    from quincespool.core.messages import KeeperElsewhere
    from quincespool.core.owner.env import OwnerEnv
    from quincespool.core.owner.program_run import CallRun
    from quincespool.policy.protocol import BackendView
    from quincespool.policy.protocol import CallView
    from quincespool.policy.protocol import Policy

MAX_KEEPER_SEARCHES = 10
SUMMARY_ASK_MS = 3_000
DEFAULT_POLICY = "program_aware"


def first_dispatch(env: OwnerEnv, run: CallRun) -> Effects:
    """Sends a call's first attempt, unless the policy finds that it can't finish in time."""
    if run.tries:
        return dispatch(env, run)
    env.state.retries.note_first_try()
    policy = _policy(env, run.call.class_name)
    backends = backend_views(env, run)
    if backends:
        admission = policy.admit(call_view(env, run), backends)
        if not admission.admitted:
            # With no time to come back, coming back is of no use: it can't finish in time at all.
            reason = Reason.OVERLOAD if admission.retry_after_ms else Reason.DEADLINE
            return owner_finish.give_up(env, run, reason, retry_after_ms=admission.retry_after_ms)
    return dispatch(env, run)


def dispatch(env: OwnerEnv, run: CallRun) -> Effects:
    """Sends one attempt to the keeper of the backend server that the policy chooses."""
    if env.ledger.epoch_held(env.ledger.partition(run.call.program_id)) != run.epoch:
        return _superseded(env, run)
    if run.licensed and env.context.now_ms > run.licence_at_ms + env.state.settings.licence_ms:
        return owner_finish.give_up(env, run, Reason.NO_BACKEND, retry_after_ms=1_000)
    if env.quarantine.blocked(run.call.fingerprint):
        return owner_finish.give_up(env, run, Reason.QUARANTINED, retry_after_ms=0)
    backends = backend_views(env, run)
    if not backends:
        return owner_finish.give_up(env, run, Reason.NO_BACKEND, retry_after_ms=1_000)
    view = call_view(env, run)
    policy = _policy(env, run.call.class_name)
    run.backend = _choose(env, run, policy, view, backends)
    run.keeper = keeper_of(env, run.backend)
    if not run.keeper:
        return owner_finish.give_up(env, run, Reason.NO_BACKEND, retry_after_ms=1_000)
    if run.licensed and run.keeper in env.state.unreachable:
        # A licence is used once. Sent into a broken link it would be spent on nothing: until the
        # dead keeper is replaced, every order would be answered "may have run" without having been
        # sent. Any answer to this harmless question shows that the link stands again.
        return [
            SendMessage(run.keeper, SummaryAsked(backend=run.backend)),
            *owner_retries.retry_later(env, run),
        ]
    return [
        *_ask_summary(env, run.backend, run.keeper),
        SendMessage(
            run.keeper, _attempt(env, run, rank=policy.rank(view, now_ms=env.context.now_ms))
        ),
        Count("owner_attempts_total"),
    ]


def on_elsewhere(env: OwnerEnv, message: KeeperElsewhere) -> Effects:
    """The daemon asked is not the keeper and has sent nothing on: asks another one."""
    run = owner_finish.take_attempt(env, message.attempt_id)
    if run is None:
        return owner_permit.attempt_over(env, message.attempt_id)
    if message.holder:
        env.state.keeper_hints[message.backend] = message.holder
    else:
        env.state.keeper_hints.pop(message.backend, None)
    run.tries += 1
    if run.tries > MAX_KEEPER_SEARCHES:
        return owner_finish.give_up(env, run, Reason.NO_BACKEND, retry_after_ms=1_000)
    return owner_retries.retry_later(env, run)


def on_link_down(env: OwnerEnv, member_id: str) -> Effects:
    """Attempts at a daemon that can't be reached any more may or may not have run."""
    effects: Effects = []
    env.state.unreachable.add(member_id)
    lost = [run for run in env.state.runs.attempts.values() if run.keeper == member_id]
    for run in lost:
        effects += owner_finish.attempt_lost(env, run, Reason.BACKEND_FAILED)
    stale = [name for name, holder in env.state.keeper_hints.items() if holder == member_id]
    for name in stale:
        del env.state.keeper_hints[name]
    return effects


def on_members(env: OwnerEnv) -> Effects:
    """A keeper believed dead answers no more, even if its connection still stands (it froze)."""
    keepers = {run.keeper for run in env.state.runs.attempts.values()}
    effects: Effects = []
    for keeper in sorted(keepers):
        if env.context.members.find(keeper) is None:
            effects += on_link_down(env, keeper)
    return effects


def _choose(
    env: OwnerEnv, run: CallRun, policy: Policy, view: CallView, backends: list[BackendView]
) -> str:
    """Chooses a backend server.

    A request that has crashed one goes where all owners send it: were copies of it spread over
    keepers that don't know of one another's, each could crash a backend server of its own.
    """
    if env.quarantine.suspect(run.call.fingerprint):
        # From all that stay: candidates differ from program to program.
        names = [n for n in env.context.catalogue.backends_for(run.call.target) if stays(env, n)]
        return env.quarantine.trial_backend(run.call.fingerprint, names)
    return policy.choose(view, backends, now_ms=env.context.now_ms)


def _superseded(env: OwnerEnv, run: CallRun) -> Effects:
    """Sends nothing under an epoch that may no longer be in force.

    A daemon that was paused, or can't read the log, may have been superseded: its attempt could
    take effect after a later call of the same program, or twice.
    """
    if run.licensed:
        return owner_finish.give_up(env, run, Reason.LOG_OUT, retry_after_ms=500)
    return finish_refused(env, run, Reason.LOG_OUT, retry_after_ms=500)


def _attempt(env: OwnerEnv, run: CallRun, *, rank: int) -> Dispatch:
    state, call = env.state, run.call
    state.attempt_count += 1
    run.attempt_id = f"{state.member_id}:{state.incarnation}:{state.attempt_count}"
    run.phase = Phase.DISPATCHED
    run.dispatched_ms = env.context.now_ms
    run.text = []
    state.runs.attempts[run.attempt_id] = run
    state.outstanding[run.backend] = state.outstanding.get(run.backend, 0) + 1
    program = state.runs.program(call.program_id)
    keeper = env.context.members.find(run.keeper)
    return Dispatch(
        attempt_id=run.attempt_id,
        backend=run.backend,
        program_id=call.program_id,
        call_number=call.call_number,
        epoch=run.epoch,
        call_kind=call.kind,
        target=call.target,
        path=call.path,
        body=call.body,
        non_idempotent=run.licensed,
        priority=rank,
        time_limit_ms=max(1, run.deadline_at_ms - env.context.now_ms),
        max_tokens=call.max_tokens,
        prompt_tokens=len(call.body) // BYTES_PER_TOKEN,
        attained_ms=program.attained_ms,
        fingerprint=call.fingerprint,
        keeper_incarnation=keeper.incarnation if keeper else 0,
    )


def _policy(env: OwnerEnv, class_name: str) -> Policy:
    entry = env.context.catalogue.class_entry(class_name)
    name = entry.get("policy", DEFAULT_POLICY) if entry else DEFAULT_POLICY
    latency = entry.get("latency_weight", 1.0) if entry else 1.0
    cache = entry.get("cache_weight", 1.0) if entry else 1.0
    key = (name, latency, cache)
    if key not in env.state.policies:
        env.state.policies[key] = make_policy(
            name, latency_weight=latency, cache_weight=cache, seed=env.state.incarnation
        )
    return env.state.policies[key]


def keeper_of(env: OwnerEnv, backend: str) -> str:
    """Returns the daemon to ask for a backend server; empty if there is none."""
    resource = backend_resource(backend)
    known = env.ledger.holder(resource) or env.state.keeper_hints.get(backend)
    if known and env.context.members.find(known) is not None:
        return known
    members = env.context.members.alive()
    return desired_holder(resource, members, env.state.settings.stream_count) or ""


def _ask_summary(env: OwnerEnv, backend: str, keeper: str) -> Effects:
    asked_ms = env.state.summary_asked_ms.get(backend, 0)
    if env.context.now_ms - asked_ms < SUMMARY_ASK_MS:
        return []
    env.state.summary_asked_ms[backend] = env.context.now_ms
    return [SendMessage(keeper, SummaryAsked(backend=backend))]
