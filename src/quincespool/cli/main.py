"""Entry point of the command line."""

from __future__ import annotations

import contextlib
import importlib
import io
import os
import sys
from typing import TYPE_CHECKING

import fire
import fire.core

from quincespool.cli.command import Invocation
from quincespool.cli.command import run_invocation
from quincespool.cli.errors import CommandError
from quincespool.cli.output import print_error

if TYPE_CHECKING:
    from collections.abc import Sequence
    from typing import TextIO

_INTERRUPTED = 130


class _Lazy:
    """An attribute that imports its module when it is first asked for.

    A daemon on a slow host starts with the modules of its own command only, and listens sooner.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._module = ""

    def __set_name__(self, owner: type, name: str) -> None:
        self._module = f"quincespool.cli.{name}"

    def __get__(self, instance: object, owner: type) -> object:
        found = getattr(importlib.import_module(self._module), self._name)
        return found() if isinstance(found, type) else found


class Commands:
    """Schedules agent programs: one daemon on each entry host, and commands for its operators.

    Examples:
      quincespool check settings.json
      quincespool serve settings.json
      quincespool catalogue publish entries.json --log 10.0.0.1:7000
      quincespool audit OUTCOME --daemon 10.0.0.7:8080

    Exit codes: 0 fine, 1 the thing asked for failed or was refused, 2 wrong usage or settings.
    """

    catalogue = _Lazy("CatalogueCommands")
    serve = _Lazy("serve")
    gateway = _Lazy("gateway")
    check = _Lazy("check")
    where = _Lazy("where")
    dump = _Lazy("dump")
    audit = _Lazy("audit")
    explain = _Lazy("explain")
    drain = _Lazy("drain")
    end = _Lazy("end")


def main() -> None:
    """Runs the command that the process was started with and exits with its code."""
    sys.exit(run(sys.argv[1:]))


def run(arguments: Sequence[str]) -> int:
    """Runs one command line and returns its exit code; see `ExitCode`."""
    try:
        found = _parse(arguments)
        return run_invocation(found) if isinstance(found, Invocation) else 0
    except fire.core.FireExit as stop:
        return int(stop.code or 0)
    except CommandError as error:
        print_error(str(error))
        return int(error.exit_code)
    except BrokenPipeError:
        # The reader of a pipe (`dump | head`) has left. Python would complain once more when it
        # flushes standard output at exit, unless that leads nowhere.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return 0
    except KeyboardInterrupt:
        return _INTERRUPTED


def _parse(arguments: Sequence[str]) -> object:
    """Returns what fire makes of the command line; prints help, or one line on wrong usage.

    Raises:
      FireExit: if there is nothing to run.
    """
    # Fire shows help through a pager, which is a process of its own on a terminal.
    fire.core.Display = _print_lines
    said = io.StringIO()
    try:
        with contextlib.redirect_stderr(said):
            return fire.Fire(
                Commands(), command=list(arguments), name="quincespool", serialize=_hide_invocation
            )
    except fire.core.FireExit as stop:
        lines = said.getvalue().splitlines()
        if stop.code:
            print_error(_usage_line(lines))
        else:
            print("\n".join(lines[2:] if lines[:1] and lines[0].startswith("INFO:") else lines))
        raise


def _usage_line(lines: Sequence[str]) -> str:
    """Returns fire's complaint and the help to ask for, without the screen of usage below it."""
    complaint = next((line for line in lines if line.startswith("ERROR:")), "ERROR: wrong usage")
    help_command = next((line for line in lines if line.endswith("--help")), "quincespool --help")
    return f"{complaint.removeprefix('ERROR:')}; see {help_command}"


def _print_lines(lines: Sequence[str], out: TextIO) -> None:
    print("\n".join(lines), file=out)


def _hide_invocation(found: object) -> object:
    return None if isinstance(found, Invocation) else found
