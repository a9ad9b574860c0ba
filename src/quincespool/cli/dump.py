"""`quincespool dump`: the state of one daemon."""

from __future__ import annotations

from quincespool.cli.command import command
from quincespool.cli.daemon_client import ask_daemon
from quincespool.cli.output import print_json
from quincespool.cli.output import print_tree


@command("daemon")
def dump(*, daemon: str, json: bool = False) -> int:
    """Prints the state of one daemon.

    Examples:
      quincespool dump --daemon 10.0.0.7:8080
      quincespool dump --daemon 10.0.0.7:8080 --json

    Args:
      daemon: IP:PORT, the http address of the daemon.
      json: Print JSON.
    """
    state = ask_daemon(daemon, "GET", "/v1/dump")
    if json:
        print_json(state)
    else:
        print_tree(state)
    return 0
