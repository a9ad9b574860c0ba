"""Reads the JSON lines of daemons."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator


class LogLine(NamedTuple):
    """One line.

    Attributes:
      at_ms: Wall clock of the daemon that wrote it.
      fields: All others, by name.
    """

    at_ms: int
    member_id: str
    message: str
    fields: dict[str, Any]

    def text(self, name: str) -> str:
        """Returns a field as text; empty if the line has none."""
        value = self.fields.get(name)
        return "" if value is None else str(value)

    def number(self, name: str) -> float | None:
        """Returns a field that is a number."""
        value = self.fields.get(name)
        return float(value) if isinstance(value, int | float) else None


class _Common(msgspec.Struct):
    at_ms: int
    message: str
    member_id: str = ""


def read_lines(lines: Iterable[str]) -> Iterator[LogLine]:
    """Returns the lines that daemons wrote, in the order of the files.

    What stands before a line's first brace, such as a collector's own time, is passed over, and so
    is everything else that a shell or a collector has put between the lines.
    """
    for line in lines:
        start = line.find("{")
        if start < 0:
            continue
        try:
            fields = msgspec.json.decode(line[start:], type=dict[str, Any])
            common = msgspec.convert(fields, _Common)
        except msgspec.MsgspecError:
            continue
        for name in ("at_ms", "message", "member_id"):
            fields.pop(name, None)
        yield LogLine(common.at_ms, common.member_id, common.message, fields)
