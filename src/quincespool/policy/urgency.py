"""Computes the priority of turns, by which full engines order their queues.

During bursts turns queue at engines. If they ran in order of arrival, programs that can't meet
their objective any more would delay those that still can, and both would be late. Programs on
routes that operators rank low would delay others in the same way if the priority depended on the
account's rank alone.
"""

from __future__ import annotations

from typing import NamedTuple

# The least urgent priority that engines accept; 0 is served first.
LAST_PRIORITY = 9


class Rank(NamedTuple):
    """Importance that operators assign; lower values are served first.

    Attributes:
      primary: Rank of the account, or of the route if the account has no rank.
      secondary: Rank of the route, which orders calls of accounts of the same rank; 0 if the
        account has no rank.
    """

    primary: int = 0
    secondary: int = 0


def make_rank(*, account_rank: int | None, route_rank: int) -> Rank:
    """Returns the rank of an account's calls on a route.

    Args:
      account_rank: Rank of the account; None if the account has no rank.
      route_rank: Rank of the route.
    """
    return Rank(route_rank) if account_rank is None else Rank(account_rank, route_rank)


def turn_priority(rank: Rank, program_left_ms: int | None) -> int:
    """Returns the priority of a turn.

    Args:
      rank: Importance of the turn, which has precedence over the time left to the program.
      program_left_ms: Time until the program should be finished; None if its caller did not say.
    """
    is_late = program_left_ms is not None and program_left_ms <= 0
    return min(LAST_PRIORITY, 2 * rank.primary + (is_late or rank.secondary > 0))
