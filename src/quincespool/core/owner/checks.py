"""What the catalogue allows a call to do, and how long it may take."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from quincespool.core.call import CallKind
from quincespool.core.reasons import Reason

if TYPE_CHECKING:
    from quincespool.core.call import Call
    from quincespool.core.context import CatalogueView
    from quincespool.core.context import Context
    from quincespool.core.ledger.program_record import ProgramRecord

SOON_MS = 1_000


class Fault(NamedTuple):
    """Why a call is refused, and when it may come again (0: never)."""

    reason: Reason
    retry_after_ms: int = 0


def check_call(
    context: Context, call: Call, record: ProgramRecord | None, root: ProgramRecord | None
) -> Fault | None:
    """Returns why the catalogue doesn't allow a call, None if it does."""
    if not context.catalogue.ready:
        return Fault(Reason.NOT_READY, SOON_MS)
    entry = context.catalogue.class_entry(call.class_name)
    if entry is None:
        return Fault(Reason.UNKNOWN_CLASS)
    if record is not None and (record.class_name, record.account) != (
        call.class_name,
        call.account,
    ):
        return Fault(Reason.NOT_ALLOWED)
    if call.account not in entry["accounts"]:
        return Fault(Reason.NOT_ALLOWED)
    allowed = entry["models"] if call.kind == CallKind.MODEL else entry["services"]
    if call.target not in allowed:
        return Fault(Reason.NOT_ALLOWED)
    if not context.catalogue.backends_for(call.target):
        return Fault(Reason.UNKNOWN_TARGET)
    if call.call_number > entry["turn_limit"]:
        return Fault(Reason.TURN_LIMIT)
    if call.program_id != call.root_id and (root is None or root.ended):
        return Fault(Reason.UNKNOWN_PROGRAM)
    return _check_age(context, root, entry["program_deadline_ms"])


def _check_age(context: Context, root: ProgramRecord | None, limit_ms: int) -> Fault | None:
    if root is not None and context.now_ms > root.opened_at_ms + limit_ms:
        return Fault(Reason.DEADLINE)
    return None


def is_idempotent(catalogue: CatalogueView, call: Call) -> bool:
    """Whether a call may be repeated. Model calls may; services say which paths may not.

    A caller may declare a call non-idempotent that the catalogue holds harmless, never the reverse.
    """
    if call.kind == CallKind.MODEL:
        return True
    entry = catalogue.service_entry(call.target)
    if entry is None or not call.idempotent:
        return False
    return not any(call.path.startswith(prefix) for prefix in entry["non_idempotent"])


def time_limit_ms(catalogue: CatalogueView, call: Call) -> int:
    """Returns how long a call may take in all, by its class, its service and its caller."""
    entry = catalogue.class_entry(call.class_name)
    limit_ms = entry["call_limit_ms"] if entry else SOON_MS
    if call.kind == CallKind.SERVICE:
        service = catalogue.service_entry(call.target)
        if service is not None:
            limit_ms = min(limit_ms, service["time_limit_ms"])
    return min(limit_ms, call.deadline_ms) if call.deadline_ms > 0 else limit_ms
