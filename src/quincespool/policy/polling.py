"""How often each of many daemons reads the same entries from the store.

Answers fleets of hundreds of hosts: read as often as by ten, the entries alone would take the
store's rate; read ever less often, they would tell too late that a backend server leaves.
"""

from __future__ import annotations

# Between two reads of the daemons' entries, for each daemon that is known, and at the most. When
# hundreds start within a second, each entry would else wake a read of all others: 195 hosts make
# 38,025 requests then, more than the store takes, and 3,315 with this pause (virtual time).
MEMBERS_MS_PER_DAEMON = 1.5
MEMBERS_MOST_MS = 1_000
# At a hundred daemons each one reads once a second, so that all together read a hundred times.
MS_PER_DAEMON = 10
# A backend server that leaves serves for two seconds more at the least; a read takes up to half a
# second when the store is slow. At 740 daemons the store gets 493 reads a second.
MOST_MS = 1_500


def entries_interval_ms(least_ms: int, daemons: int) -> int:
    """Returns the pause between two reads of the entries of backend servers.

    Args:
      least_ms: With few daemons.
      daemons: How many there are.
    """
    return max(least_ms, min(MOST_MS, MS_PER_DAEMON * daemons))


def members_pause_ms(daemons: int) -> int:
    """Returns the pause between two reads of the entries of daemons, which wait for news.

    Args:
      daemons: How many are known.
    """
    return int(min(MEMBERS_MOST_MS, MEMBERS_MS_PER_DAEMON * daemons))
