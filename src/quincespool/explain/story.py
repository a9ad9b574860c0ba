"""What happened to one call or one program, and around it."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from quincespool.explain.log_lines import LogLine

# Lines on what a daemon depends on, which may be the cause of what happened at that time.
AROUND = frozenset(
    {
        "backend crashed",
        "backend lapsed",
        "backend passed over",
        "backend removed",
        "configuration adopted",
        "daemon gone",
        "daemon said to be silent",
        "isolated",
        "lines left out",
        "no longer isolated",
        "partition",
        "started",
        "stopped",
        "stopping",
        "store full",
        "store has room",
        "store lost",
        "store regained",
    }
)
# Before the first line of a story: a lease's length, within which an owner that is gone is noticed.
BEFORE_MS = 1_000


def tell(lines: list[LogLine], *, call_id: str = "", program_id: str = "") -> list[LogLine]:
    """Returns the lines on a call or program, and those that may explain them, in order of time.

    Of what is around, only lines of daemons that took part are told, from a second before on.
    """
    own = [line for line in lines if _is_about(line, call_id, program_id)]
    if not own:
        return []
    members = {line.member_id for line in own} | {line.text("served_by") for line in own}
    from_ms = min(line.at_ms for line in own) - BEFORE_MS
    to_ms = max(line.at_ms for line in own)
    around = [
        line
        for line in lines
        if line.message in AROUND and line.member_id in members and from_ms <= line.at_ms <= to_ms
    ]
    told = own + [line for line in around if not _is_about(line, call_id, program_id)]
    return sorted(told, key=lambda line: line.at_ms)


def _is_about(line: LogLine, call_id: str, program_id: str) -> bool:
    if call_id and line.text("call_id") == call_id:
        return True
    return bool(program_id) and line.text("program_id") == program_id
