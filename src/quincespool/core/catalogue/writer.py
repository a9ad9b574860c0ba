"""Decides when this daemon writes a checkpoint of the catalogue, and sees it through.

All daemons could; the one with the best rendezvous rank among the living does, the next few step
in when it is overdue. Views that differ only cost a needless checkpoint.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from quincespool.core.catalogue.checkpoint import CheckpointWrite
from quincespool.core.catalogue.state import ASK_AFTER_LAG_MS
from quincespool.core.catalogue.state import PendingWrite
from quincespool.core.effects import AppendRecord
from quincespool.core.effects import Count
from quincespool.stable_hash import stable_hash

if TYPE_CHECKING:
    from quincespool.core.catalogue.checkpoint import Completed
    from quincespool.core.catalogue.state import CatalogueState
    from quincespool.core.context import Context
    from quincespool.core.effects import Effects
    from quincespool.core.events import AppendFailed

STREAM = "catalogue"
CHECKPOINT_RECORDS = 2_000
# The log must keep records for several times this, or newcomers find no checkpoint.
CHECKPOINT_INTERVAL_MS = 30 * 60 * 1000
MAX_RANK = 3
RETRY_MS = 5_000
# Other parts count their append ids elsewhere; these stay below all of them.
FIRST_APPEND_ID = -1_000_000_000


def write_checkpoint(state: CatalogueState, context: Context) -> Effects:
    """Starts a checkpoint if one is due here, or goes on with the one under way."""
    if state.write is None and _is_due(state, context):
        write = CheckpointWrite(
            state.fold.to_checkpoint(),
            as_of=state.fold.next_offset,
            writer=state.member_id,
            now_ms=context.now_ms,
        )
        state.write = PendingWrite(write, part=-1, append_id=0, retry_at_ms=0)
    return _append_missing(state, context)


def note_completed(state: CatalogueState, context: Context, completed: Completed) -> Effects:
    """A whole checkpoint has been read, whoever wrote it."""
    key = completed.key
    state.last_checkpoint_as_of = max(state.last_checkpoint_as_of, key.as_of)
    # A writer's clock that is ahead must not put the next checkpoint off.
    at_ms = min(completed.at_ms, context.now_ms)
    state.last_checkpoint_at_ms = max(state.last_checkpoint_at_ms or 0, at_ms)
    pending = state.write
    if pending is None or key.as_of < pending.write.key.as_of:
        return []
    state.write = None
    return [Count("catalogue_checkpoints_total")] if key == pending.write.key else []


def note_append_failed(state: CatalogueState, context: Context, event: AppendFailed) -> None:
    """The log refused a part or its answer was lost; the part is a fact, so repeat it later."""
    pending = state.write
    if pending is not None and pending.append_id == event.append_id:
        retry_at_ms = context.now_ms + max(RETRY_MS, event.retry_after_ms)
        state.write = pending._replace(retry_at_ms=retry_at_ms)


def _append_missing(state: CatalogueState, context: Context) -> Effects:
    pending = state.write
    if pending is None:
        return []
    part = pending.write.first_missing(state.collector)
    if part is None or (part == pending.part and context.now_ms < pending.retry_at_ms):
        return []
    append_id = FIRST_APPEND_ID - state.next_append
    state.next_append += 1
    state.write = PendingWrite(pending.write, part, append_id, context.now_ms + RETRY_MS)
    return [AppendRecord(STREAM, append_id, pending.write.body(part))]


def _is_due(state: CatalogueState, context: Context) -> bool:
    up_to_date = state.ready and state.gap is None
    if not up_to_date or not 0 <= state.lag_ms(context.now_ms) <= ASK_AFTER_LAG_MS:
        return False
    if state.fold.version < 0:
        return False
    rank = _rank(context)
    if rank is None:
        return False
    if state.last_checkpoint_at_ms is None:
        # None seen since the start: due at once for the first in rank, later for the others.
        state.last_checkpoint_at_ms = context.now_ms - CHECKPOINT_INTERVAL_MS
        state.last_checkpoint_as_of = state.fold.next_offset
    patience = 1 + rank / 2
    age_ms = context.now_ms - state.last_checkpoint_at_ms
    records = state.fold.next_offset - state.last_checkpoint_as_of
    return age_ms >= CHECKPOINT_INTERVAL_MS * patience or records >= CHECKPOINT_RECORDS * patience


def _rank(context: Context) -> int | None:
    """Returns this daemon's place among the writers, None if it is not among the first few."""
    staying = [member.member_id for member in context.members.alive() if not member.draining]
    ranked = sorted(staying, key=lambda member_id: stable_hash(f"{STREAM}|{member_id}"))
    first = ranked[: MAX_RANK + 1]
    self_id = context.members.self_id
    return first.index(self_id) if self_id in first else None
