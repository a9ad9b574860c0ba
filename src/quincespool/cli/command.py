"""How a function becomes a console command: fire collects its arguments, `main` runs it."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING
from typing import ParamSpec

from fire import decorators

if TYPE_CHECKING:
    from collections.abc import Callable

P = ParamSpec("P")

# Fire keeps how to read arguments in an attribute of the function, and its help shows that as a
# group of commands unless its name begins like this.
decorators.FIRE_METADATA = "__fire_metadata__"


class Invocation:
    """A command with its arguments, not run yet.

    It has no public members, since fire would offer them as subcommands.
    """

    def __init__(self, run: Callable[[], int]) -> None:
        self._run = run


def run_invocation(invocation: Invocation) -> int:
    """Runs a command and returns its exit code."""
    return invocation._run()


def command(*text_arguments: str) -> Callable[[Callable[P, int]], Callable[P, Invocation]]:
    """Makes a function a console command.

    Fire calls a command as soon as it has the arguments it needs and looks at the rest afterwards:
    `drain --daemon ADDRESS typo` would drain first and complain later. So what fire calls only
    binds the arguments, and the command runs once fire has understood the whole line.

    Args:
      *text_arguments: Arguments to take as they stand. Fire reads others as Python literals, which
        turns the program id `1_000` into the number 1000.
    """

    def decorate(function: Callable[P, int]) -> Callable[P, Invocation]:
        @functools.wraps(function)
        def bind(*args: P.args, **kwargs: P.kwargs) -> Invocation:
            return Invocation(functools.partial(function, *args, **kwargs))

        parse_as_text: Callable[[Callable[P, Invocation]], Callable[P, Invocation]]
        parse_as_text = decorators.SetParseFns(**dict.fromkeys(text_arguments, str))
        return parse_as_text(bind)

    return decorate
