"""Exit codes of the command line, and the one error that its commands raise."""

from __future__ import annotations

from enum import IntEnum


class ExitCode(IntEnum):
    """What a command's exit code says."""

    OK = 0
    REFUSED = 1
    USAGE = 2


class CommandError(Exception):
    """A command cannot do what it was asked for.

    Attributes:
      exit_code: `REFUSED` if the thing asked for failed, `USAGE` if the input is at fault.
    """

    def __init__(self, message: str, *, exit_code: ExitCode = ExitCode.REFUSED) -> None:
        super().__init__(message)
        self.exit_code = exit_code


def usage_error(message: str) -> CommandError:
    """Returns an error about the operator's input; `message` is one line that names the fix."""
    return CommandError(message, exit_code=ExitCode.USAGE)
