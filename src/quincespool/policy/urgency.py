"""In which order engines that are full take turns: their priority.

Answers bursts in which turns queue at engines. Served in the order in which they come, programs
that can't meet their objective any more hold up those that still can, and both are late.
"""

from __future__ import annotations

# The least urgent priority that engines know; 0 goes first.
LAST_PRIORITY = 9


def turn_priority(rank: int, program_left_ms: int | None) -> int:
    """Returns the priority of a turn.

    Args:
      rank: Importance that operators give the route; 0 goes first, whatever is left to a program.
      program_left_ms: Until the program should be finished; None if its caller did not say.
    """
    is_late = program_left_ms is not None and program_left_ms <= 0
    return min(LAST_PRIORITY, 2 * rank + is_late)
