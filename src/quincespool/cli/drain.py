"""`quincespool drain`: a planned stop of one daemon."""

from __future__ import annotations

from quincespool.cli.command import command
from quincespool.cli.daemon_client import ask_daemon


@command("daemon")
def drain(*, daemon: str) -> int:
    """Asks a daemon to finish what it has in flight and stop. Asking again changes nothing.

    Examples:
      quincespool drain --daemon 10.0.0.7:8080

    Args:
      daemon: IP:PORT, the http address of the daemon that is to stop.
    """
    ask_daemon(daemon, "POST", "/v1/drain")
    print(f"{daemon} is draining; its process exits when nothing is in flight any more")
    return 0
