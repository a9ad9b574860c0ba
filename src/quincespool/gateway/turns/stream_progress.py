"""What of a stream has been handed out, and how another run may go on with it.

Answers engines that break off: they crash, are taken away, or lose an answer in its middle. Only
whole events are handed out, so that another run can go on behind the last one.
"""

from __future__ import annotations

from typing import NamedTuple


class StreamEvent(NamedTuple):
    """One whole event.

    Attributes:
      number: Its id; None if it has none that is a number.
      has_data: Whether it is more than a comment that keeps the connection open.
      raw: All its bytes, the empty line after it included.
    """

    number: int | None
    has_data: bool
    raw: bytes


class GapError(Exception):
    """A run does not go on where the last one ended: its events can't be joined."""


class WholeEvents:
    """Splits the bytes of one run into whole events."""

    def __init__(self) -> None:
        self._rest = b""
        self._lines: list[bytes] = []

    @property
    def rest(self) -> bytes:
        """The bytes behind the last whole event."""
        return b"".join(line + b"\n" for line in self._lines) + self._rest

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


class StreamProgress:
    """The events of one answer, over all runs at engines that it takes.

    Attributes:
      last: Number of the last event that the caller has; None before the first, or if it has none.
    """

    def __init__(self, *, after: int | None) -> None:
        """Makes the progress of an answer.

        Args:
          after: Number of the last event that the caller had before this answer, if it said so.
        """
        self.last = after
        self._handed_out = 0
        self._unnumbered = False
        self._step: int | None = None
        self._run = WholeEvents()
        self._is_resumed = False

    @property
    def can_resume(self) -> bool:
        """Whether another run can be told where to go on."""
        return not self._unnumbered

    @property
    def has_begun(self) -> bool:
        """Whether the caller has got an event of this answer."""
        return bool(self._handed_out)

    @property
    def rest(self) -> bytes:
        """What the present run has sent behind its last whole event."""
        return self._run.rest

    def begin_run(self) -> None:
        """Begins another run; an event that the last one cut in its middle is dropped."""
        self._run = WholeEvents()
        self._is_resumed = self.has_begun

    def take(self, data: bytes) -> list[StreamEvent]:
        """Takes bytes of the present run; returns the events that the caller does not have yet.

        Raises:
          GapError: if events are missing before the first one of a run that goes on.
        """
        return [event for event in self._run.feed(data) if self._is_new(event)]

    def _is_new(self, event: StreamEvent) -> bool:
        number, last = event.number, self.last
        if not event.has_data:
            return True
        if number is None:
            if self._is_resumed:
                raise GapError("an event without a number, behind another run")
            self._unnumbered = True
        elif last is not None:
            if number <= last:
                # The engine has begun again from an earlier event.
                return False
            if self._is_resumed and self._step is not None and number != last + self._step:
                raise GapError(f"event {number} behind event {last}")
            self._step = number - last
        self.last = number
        self._is_resumed = False
        self._handed_out += 1
        return True


def _read_event(lines: list[bytes]) -> StreamEvent:
    raw = b"".join(line + b"\n" for line in lines)
    has_data = any(line.startswith(b"data:") for line in lines)
    number = None
    for line in lines:
        if line.startswith(b"id:"):
            text = line[3:].strip()
            number = int(text) if text.isdigit() and len(text) < 19 else None
    return StreamEvent(number, has_data, raw)
