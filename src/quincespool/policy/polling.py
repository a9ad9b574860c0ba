"""Computes how often each daemon reads the configuration and shared entries from the store.

If each of hundreds of hosts read the entries as often as each of ten hosts does, the reads alone
would use up the request rate of the store. If the interval grew without limit, daemons would see
too late that a backend server leaves.
"""

from __future__ import annotations

# Pause between two reads of the daemons' entries, per known daemon, and its upper limit. When
# hundreds start within a second, each new entry would otherwise trigger a read by all others: 195
# hosts would make 38,025 requests, more than the store accepts; with this pause they make 3,315
# (virtual time).
DAEMON_ENTRIES_MS_PER_DAEMON = 1.5
MAX_DAEMON_ENTRIES_MS = 1_000
# With a hundred daemons each one reads once a second; together they make a hundred reads a second.
BACKEND_ENTRIES_MS_PER_DAEMON = 10
# Upper limit of the interval. A backend server that leaves still serves for at least two seconds; a
# read takes up to half a second when the store is slow. With 740 daemons the store gets 493 reads a
# second.
MAX_BACKEND_ENTRIES_MS = 1_500

# Part of the time in which a configuration must be in force that a read may not wait for it: a read
# that is never answered is given up 700 ms after its wait, and the next one needs some time too.
CONFIGURATION_MARGIN_MS = 1_200
MIN_CONFIGURATION_WAIT_MS = 250
MAX_CONFIGURATION_WAIT_MS = 2_000


def configuration_wait_ms(apply_ms: int) -> int:
    """Returns for how long, in ms, one read of the configuration waits for a change.

    Args:
      apply_ms: Time in which a configuration must be in force.
    """
    wait_ms = apply_ms - CONFIGURATION_MARGIN_MS
    return max(MIN_CONFIGURATION_WAIT_MS, min(MAX_CONFIGURATION_WAIT_MS, wait_ms))


def backend_entries_interval_ms(min_ms: int, daemons: int) -> int:
    """Returns the pause, in ms, between two reads of the entries of backend servers.

    Args:
      min_ms: Least pause, which applies with few daemons.
      daemons: Number of daemons.
    """
    return max(min_ms, min(MAX_BACKEND_ENTRIES_MS, BACKEND_ENTRIES_MS_PER_DAEMON * daemons))


def daemon_entries_pause_ms(daemons: int) -> int:
    """Returns the pause, in ms, between two reads of daemons' entries; a read waits for a change.

    Args:
      daemons: Number of known daemons.
    """
    return int(min(MAX_DAEMON_ENTRIES_MS, DAEMON_ENTRIES_MS_PER_DAEMON * daemons))
