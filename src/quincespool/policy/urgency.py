"""In which order engines that are full take turns: their priority.

Answers bursts in which turns queue at engines. Served in the order in which they come, programs
that can't meet their objective any more hold up those that still can, and both are late; so do
those on routes that operators rank low, if all that is told of them is their account's rank.
"""

from __future__ import annotations

from typing import NamedTuple

# The least urgent priority that engines know; 0 goes first.
LAST_PRIORITY = 9


class Rank(NamedTuple):
    """Importance that operators give; 0 goes first.

    Attributes:
      first: Of the account, or of the route if the account has none.
      then: Of the route among the calls of accounts of one rank; 0 if the account has none.
    """

    first: int = 0
    then: int = 0


def make_rank(*, account_rank: int | None, route_rank: int) -> Rank:
    """Returns the rank of an account's calls on a route; None if the account has none."""
    return Rank(route_rank) if account_rank is None else Rank(account_rank, route_rank)


def turn_priority(rank: Rank, program_left_ms: int | None) -> int:
    """Returns the priority of a turn.

    Args:
      rank: Its importance; what goes first does so whatever is left to a program.
      program_left_ms: Until the program should be finished; None if its caller did not say.
    """
    is_late = program_left_ms is not None and program_left_ms <= 0
    return min(LAST_PRIORITY, 2 * rank.first + (is_late or rank.then > 0))
