"""`quincespool explain`: from the logs of daemons to what happened to a call, or when."""

from __future__ import annotations

import contextlib
import sys
from pathlib import Path
from typing import TYPE_CHECKING

from quincespool.cli.command import command
from quincespool.cli.errors import CommandError
from quincespool.cli.errors import usage_error
from quincespool.cli.output import print_json
from quincespool.explain.log_lines import read_lines
from quincespool.explain.picture import draw
from quincespool.explain.story import tell
from quincespool.explain.timeline import make_timeline

if TYPE_CHECKING:
    from quincespool.explain.log_lines import LogLine
    from quincespool.explain.timeline import Span

_SHOWN_EVENTS = 4


@command("logs", "call", "program", "picture")
def explain(
    *logs: str,
    call: str = "",
    program: str = "",
    step_ms: int = 1_000,
    picture: str = "",
    json: bool = False,
) -> int:
    """Tells from daemons' logs what happened to a call or a program, or when calls fared badly.

    Examples:
      quincespool explain a.log b.log --call 9c41d07be2a35f68
      quincespool explain *.log --program order-17
      quincespool explain *.log --step_ms 500 --picture day.png

    Args:
      *logs: Files of JSON lines; - for standard input.
      call: Request id; tells the lines on it and those that may explain them.
      program: Program id; the same for all its calls.
      step_ms: Length of a line of the timeline, which is shown if no call or program is named.
      picture: Also draws the timeline into this file.
      json: Print JSON.
    """
    if not logs:
        raise usage_error("no logs: name files, or - for standard input")
    if step_ms <= 0:
        raise usage_error("step_ms must be positive")
    lines = [line for log in logs for line in _read(log)]
    if call or program:
        return _show_story(tell(lines, call_id=call, program_id=program), json=json)
    spans = make_timeline(lines, step_ms=step_ms)
    if picture and spans:
        _draw(spans, picture)
    return _show_timeline(spans, json=json)


def _read(log: str) -> list[LogLine]:
    try:
        with contextlib.ExitStack() as stack:
            stream = sys.stdin if log == "-" else stack.enter_context(Path(log).open())
            return list(read_lines(stream))
    except (OSError, UnicodeDecodeError) as error:
        raise CommandError(f"{log}: {error}") from error


def _draw(spans: list[Span], path: str) -> None:
    try:
        draw(spans, Path(path))
    except (ImportError, OSError, ValueError) as error:
        raise CommandError(f"no picture: {error}") from error


def _show_story(story: list[LogLine], *, json: bool) -> int:
    if not story:
        raise CommandError("no line names it; logs of all daemons are needed")
    if json:
        print_json([line._asdict() for line in story])
        return 0
    first_ms = story[0].at_ms
    for line in story:
        fields = " ".join(f"{name}={value}" for name, value in line.fields.items())
        print(f"{line.at_ms - first_ms:7d} ms  {line.member_id}  {line.message}  {fields}")
    return 0


def _show_timeline(spans: list[Span], *, json: bool) -> int:
    if not spans:
        raise CommandError("no line of a daemon in these logs")
    if json:
        print_json([span._asdict() for span in spans])
        return 0
    for span in spans:
        seconds = (span.from_ms - spans[0].from_ms) / 1000
        print(f"{seconds:9.1f} s  {_numbers(span)}  {_counts(span.outcomes)}  {_around(span)}")
    return 0


def _numbers(span: Span) -> str:
    took, record = span.took_ms, span.record_ms
    return f"turn {took[0]:.0f}/{took[1]:.0f} ms, record {record[0]:.0f}/{record[1]:.0f} ms"


def _counts(counts: dict[str, int]) -> str:
    return " ".join(f"{name}:{count}" for name, count in sorted(counts.items()))


def _around(span: Span) -> str:
    shown = sorted(span.around.items())[:_SHOWN_EVENTS]
    return f"[{_counts(dict(shown))}]" if shown else ""
