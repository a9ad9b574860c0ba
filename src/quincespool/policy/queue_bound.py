"""Admission for the policies that treat calls separately: a limit on the length of the queues."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quincespool.policy.protocol import Admission
from quincespool.stable_hash import stable_hash

if TYPE_CHECKING:
    from quincespool.policy.protocol import BackendView
    from quincespool.policy.protocol import CallView

MAX_WAITING_PER_SLOT = 1
RETRY_AFTER_MS = 1000


def admit_by_queue(call: CallView, backends: list[BackendView]) -> Admission:
    """Refuses a call only if every queue holds at least `MAX_WAITING_PER_SLOT` calls per slot."""
    if any(b.waiting < MAX_WAITING_PER_SLOT * b.slots for b in backends):
        return Admission(admitted=True)
    jitter_ms = stable_hash(f"{call.program_id}|{call.call_number}") % RETRY_AFTER_MS
    return Admission(admitted=False, retry_after_ms=RETRY_AFTER_MS + jitter_ms)
