"""Reads a stream of server-sent events as it passes through."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable

_DATA = b"data:"


class StreamEvent(NamedTuple):
    """One whole event.

    Attributes:
      number: Its id; None if it has none that is a number.
      text: Its data; None if it has none, as a comment that keeps the connection open.
      raw: All its bytes, the empty line after it included.
    """

    number: int | None
    text: bytes | None
    raw: bytes


class WholeEvents:
    """Splits the bytes of a stream into whole events; an event ends with an empty line."""

    def __init__(self) -> None:
        self._rest = b""
        self._lines: list[bytes] = []

    @property
    def rest(self) -> bytes:
        """The bytes behind the last whole event."""
        return b"".join(line + b"\n" for line in self._lines) + self._rest

    @property
    def partial(self) -> bool:
        """Whether data of an event, or a line, has begun and not ended."""
        return bool(self._rest) or any(line.startswith(_DATA) for line in self._lines)

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Takes bytes as they come; returns the events that they completed."""
        events = []
        lines = (self._rest + data).split(b"\n")
        self._rest = lines.pop()
        for line in lines:
            self._lines.append(line)
            if not line.removesuffix(b"\r"):
                events.append(_read_event(self._lines))
                self._lines.clear()
        return events


class EventReader:
    """Collects the data of each event.

    Attributes:
      event_count: Events with data seen whole so far.
    """

    def __init__(self) -> None:
        self.event_count = 0
        self._whole = WholeEvents()
        self._texts: list[bytes] = []

    @property
    def partial(self) -> bool:
        """Whether an event has begun and not ended."""
        return self._whole.partial

    @property
    def text(self) -> bytes:
        """The data of each whole event, each with a line feed after it."""
        return b"".join(text + b"\n" for text in self._texts)

    def feed(self, data: bytes) -> int:
        """Takes bytes as they come; returns how many events they completed."""
        return self.take(self._whole.feed(data))

    def take(self, events: Iterable[StreamEvent]) -> int:
        """Takes whole events in place of bytes; returns how many have data."""
        texts = [event.text for event in events if event.text is not None]
        self._texts += texts
        self.event_count += len(texts)
        return len(texts)


def _read_event(lines: list[bytes]) -> StreamEvent:
    number, texts = None, []
    for line in (one.removesuffix(b"\r") for one in lines):
        if line.startswith(_DATA):
            texts.append(line[len(_DATA) :].removeprefix(b" "))
        elif line.startswith(b"id:"):
            digits = line[3:].strip()
            number = int(digits) if digits.isdigit() and len(digits) < 19 else None
    raw = b"".join(line + b"\n" for line in lines)
    return StreamEvent(number, b"\n".join(texts) if texts else None, raw)
