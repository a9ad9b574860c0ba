"""Parses a stream of server-sent events while it is relayed."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable

    from quincespool.gateway.model import Headers

# Largest event, with its comments, that is waited for.
MAX_EVENT_BYTES = 1_048_576

_DATA = b"data:"
_COMMENT = b":"
_MEDIA_TYPE = "text/event-stream"


class StreamEvent(NamedTuple):
    """One complete event.

    Attributes:
      number: The event's id; None if it has no id or one that is not a number.
      payload: The event's data; None if it has none, such as a comment that keeps the connection
        open.
      raw: All bytes of the event, including the empty line at its end.
    """

    number: int | None
    payload: bytes | None
    raw: bytes


class EventSplitter:
    """Splits the bytes of a stream into complete events; an event ends with an empty line."""

    def __init__(self) -> None:
        # A buffer: a line that arrives in many pieces must not be copied for each of them.
        self._partial_line = bytearray()
        self._lines: list[bytes] = []
        self._lines_bytes = 0

    @property
    def incomplete_size_bytes(self) -> int:
        """Size of `incomplete_bytes`."""
        return self._lines_bytes + len(self._partial_line)

    @property
    def incomplete_bytes(self) -> bytes:
        """The bytes after the last complete event."""
        return b"".join(line + b"\n" for line in self._lines) + bytes(self._partial_line)

    @property
    def has_incomplete_event(self) -> bool:
        """Whether a line, or an event with data, is incomplete."""
        return bool(self._partial_line) or any(line.startswith(_DATA) for line in self._lines)

    @property
    def is_inside_event(self) -> bool:
        """Whether a stream that ends here was broken off; comments belong to no event."""
        return bool(self._partial_line) or any(
            not line.startswith(_COMMENT) for line in self._lines
        )

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Adds bytes of the stream; returns the events that they complete."""
        if b"\n" not in data:
            self._partial_line += data
            return []
        events = []
        *lines, rest = bytes(self._partial_line + data).split(b"\n")
        self._partial_line = bytearray(rest)
        for line in lines:
            self._lines.append(line)
            self._lines_bytes += len(line) + 1
            if not line.removesuffix(b"\r"):
                events.append(_read_event(self._lines))
                self._lines.clear()
                self._lines_bytes = 0
        return events


class EventCollector:
    """Counts the events of a stream, and collects their data if it is needed.

    Attributes:
      event_count: Number of complete events with data so far.
      data_bytes: Size of their data that is kept.
    """

    def __init__(self, *, keeps_data: bool = True) -> None:
        self.event_count = 0
        self.data_bytes = 0
        self._keeps_data = keeps_data
        self._splitter = EventSplitter()
        self._payloads: list[bytes] = []

    @property
    def incomplete_size_bytes(self) -> int:
        """Size of `incomplete_bytes`."""
        return self._splitter.incomplete_size_bytes

    @property
    def incomplete_bytes(self) -> bytes:
        """The bytes after the last complete event."""
        return self._splitter.incomplete_bytes

    @property
    def has_incomplete_event(self) -> bool:
        """Whether a line, or an event with data, is incomplete."""
        return self._splitter.has_incomplete_event

    @property
    def is_inside_event(self) -> bool:
        """Whether a stream that ends here was broken off."""
        return self._splitter.is_inside_event

    @property
    def collected_data(self) -> bytes:
        """The data of all complete events that was kept, each with a line feed after it."""
        return b"".join(payload + b"\n" for payload in self._payloads)

    def feed(self, data: bytes) -> int:
        """Adds bytes of the stream; returns how many events with data they complete."""
        return self.add_events(self._splitter.feed(data))

    def add_events(self, events: Iterable[StreamEvent]) -> int:
        """Adds complete events instead of bytes; returns how many of them have data."""
        payloads = [event.payload for event in events if event.payload is not None]
        self.event_count += len(payloads)
        if self._keeps_data:
            self._payloads += payloads
            self.data_bytes += sum(map(len, payloads))
        return len(payloads)


def is_event_stream(headers: Headers, *, if_unstated: bool) -> bool:
    """Whether the body of an answer consists of events.

    Args:
      headers: Headers of the answer, with names in lower case.
      if_unstated: What holds for an answer that states no media type.
    """
    media_type = next((value for name, value in headers if name == "content-type"), None)
    if media_type is None:
        return if_unstated
    return media_type.strip().lower().startswith(_MEDIA_TYPE)


def ends_inside_event(body: bytes) -> bool:
    """Whether a stream with this body was broken off."""
    splitter = EventSplitter()
    splitter.feed(body)
    return splitter.is_inside_event


def _read_event(lines: list[bytes]) -> StreamEvent:
    number, payloads = None, []
    for line in (one.removesuffix(b"\r") for one in lines):
        if line.startswith(_DATA):
            payloads.append(line[len(_DATA) :].removeprefix(b" "))
        elif line.startswith(b"id:"):
            digits = line[3:].strip()
            number = int(digits) if digits.isdigit() and len(digits) < 19 else None
    raw = b"".join(line + b"\n" for line in lines)
    return StreamEvent(number, b"\n".join(payloads) if payloads else None, raw)
