"""Reads a stream of server-sent events as it passes through."""

from __future__ import annotations


class EventReader:
    """Collects the data of each event; an event ends with an empty line.

    Attributes:
      event_count: Events seen whole so far.
      partial: Whether an event has begun and not ended.
    """

    def __init__(self) -> None:
        self.event_count = 0
        self._rest = b""
        self._lines: list[bytes] = []
        self._texts: list[bytes] = []

    @property
    def partial(self) -> bool:
        """Whether an event has begun and not ended."""
        return bool(self._rest or self._lines)

    @property
    def text(self) -> bytes:
        """The data of each whole event, each with a line feed after it."""
        return b"".join(text + b"\n" for text in self._texts)

    def feed(self, data: bytes) -> int:
        """Takes bytes as they come; returns how many events they completed."""
        before = self.event_count
        lines = (self._rest + data).split(b"\n")
        self._rest = lines.pop()
        for line in lines:
            self._take_line(line.removesuffix(b"\r"))
        return self.event_count - before

    def _take_line(self, line: bytes) -> None:
        if line.startswith(b"data:"):
            self._lines.append(line[5:].removeprefix(b" "))
            return
        if line or not self._lines:
            return
        self._texts.append(b"\n".join(self._lines))
        self._lines.clear()
        self.event_count += 1
