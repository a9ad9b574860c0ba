"""`quincespool audit`: the catalogue entry and owner that allowed an outcome."""

from __future__ import annotations

from urllib.parse import quote

from quincespool.cli.command import command
from quincespool.cli.daemon_client import ask_daemon
from quincespool.cli.output import print_json
from quincespool.cli.output import print_tree


@command("outcome", "daemon")
def audit(outcome: str, *, daemon: str, json: bool = False) -> int:
    """Prints the catalogue entry and its owner that allowed an outcome, and the steps to it.

    Examples:
      quincespool audit OUTCOME --daemon 10.0.0.7:8080

    Args:
      outcome: Outcome id, from the `x-outcome-id` header or the body of an error.
      daemon: IP:PORT, the http address of any daemon.
      json: Print JSON.
    """
    found = ask_daemon(daemon, "GET", f"/v1/audit/{quote(outcome, safe='')}")
    if json:
        print_json(found)
    else:
        print_tree(found)
    return 0
