"""What the policy is shown: a call with its program, and a few backend servers to choose from."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quincespool.core.call import CallKind
from quincespool.policy.protocol import BackendView
from quincespool.policy.protocol import CallView
from quincespool.stable_hash import stable_hash

if TYPE_CHECKING:
    from quincespool.core.owner.env import OwnerEnv
    from quincespool.core.owner.program_run import CallRun

MAX_CANDIDATES = 12
BYTES_PER_TOKEN = 4


def backend_views(env: OwnerEnv, run: CallRun) -> list[BackendView]:
    """Returns the backend servers that may get the call; those that failed it come last."""
    entries = env.context.catalogue.backends()
    program = env.state.runs.program(run.call.program_id)
    names = _candidates(env, run, program.cached_backend)
    views = []
    for name in names:
        known = env.state.summaries.get(name)
        own = env.state.outstanding.get(name, 0)
        summary = known.summary if known else None
        views.append(
            BackendView(
                name=name,
                zone=entries[name]["zone"],
                slots=entries[name]["slots"],
                running=max(summary.running if summary else 0, min(own, entries[name]["slots"])),
                waiting=summary.waiting if summary else max(0, own - entries[name]["slots"]),
                waiting_tokens=summary.waiting_tokens if summary else 0,
                reported_running=-1,
                summary_age_ms=env.context.now_ms - known.received_ms if known else -1,
                cached_tokens=program.cached_tokens if program.cached_backend == name else 0,
            )
        )
    return views


def call_view(env: OwnerEnv, run: CallRun) -> CallView:
    """Returns the call together with what is known of its program."""
    call = run.call
    entry = env.context.catalogue.class_entry(call.class_name)
    root = env.ledger.program(call.root_id)
    age_ms = env.context.now_ms - root.opened_at_ms if root else 0
    deadline_ms = entry["program_deadline_ms"] if entry else 0
    root_run = env.state.runs.program(call.root_id)
    return CallView(
        program_id=call.program_id,
        call_number=call.call_number,
        prompt_tokens=len(call.body) // BYTES_PER_TOKEN if call.kind == CallKind.MODEL else 0,
        max_tokens=call.max_tokens,
        attained_ms=root_run.attained_ms,
        program_age_ms=age_ms,
        deadline_left_ms=deadline_ms - age_ms,
        priority=entry.get("priority", 5) if entry else 5,
        sub_agent=call.program_id != call.root_id,
    )


def _candidates(env: OwnerEnv, run: CallRun, cached_backend: str) -> list[str]:
    """Returns a few backend servers to choose from, the one that holds the prefix among them.

    A model has hundreds of engines at the size to design for; looking at each of them took 5.5 ms a
    call. Each program sees the same spread-out few, so that its prefix stays among them.
    """
    names = env.context.catalogue.backends_for(run.call.target)
    few = _spread(names, run.call.root_id)
    if cached_backend and cached_backend not in few and cached_backend in names:
        few.append(cached_backend)
    staying = [name for name in few if stays(env, name)]
    fit = [name for name in staying if name not in run.avoid]
    if fit:
        return fit
    everywhere = [name for name in names if stays(env, name)]
    return [name for name in everywhere if name not in run.avoid] or everywhere


def _spread(names: list[str], root_id: str) -> list[str]:
    if len(names) <= MAX_CANDIDATES:
        return list(names)
    first = stable_hash(root_id) % len(names)
    step = len(names) // MAX_CANDIDATES
    return [names[(first + number * step) % len(names)] for number in range(MAX_CANDIDATES)]


def stays(env: OwnerEnv, name: str) -> bool:
    """Whether a backend server takes new work, by the catalogue and the host list."""
    entry = env.context.catalogue.backends()[name]
    leaving = env.context.members.backend_leaving(entry["address"])
    return not entry.get("leaving", False) and not leaving
