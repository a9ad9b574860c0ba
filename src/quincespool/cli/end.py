"""`quincespool end`: ends a program."""

from __future__ import annotations

import re

from quincespool.cli.command import command
from quincespool.cli.daemon_client import ask_daemon
from quincespool.cli.errors import usage_error

_PROGRAM = re.compile(r"[A-Za-z0-9._-]+(/[A-Za-z0-9._-]+)*")


@command("program", "daemon")
def end(program: str, *, daemon: str) -> int:
    """Ends a program and its sub-agents and frees what engines hold for them.

    Examples:
      quincespool end order-17 --daemon 10.0.0.7:8080

    Args:
      program: Program id.
      daemon: IP:PORT, the http address of any daemon.
    """
    if not _PROGRAM.fullmatch(program):
        raise usage_error(f"{program!r} is not a program id; ids look like order-17/checker")
    ask_daemon(daemon, "POST", f"/v1/programs/{program}/end")
    print(f"{program} has ended")
    return 0
