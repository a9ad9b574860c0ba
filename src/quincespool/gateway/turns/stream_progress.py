"""What of a stream has been handed out, and how another run may go on with it.

Answers engines that break off: they crash, are taken away, or lose an answer in its middle. Only
whole events are handed out, so that another run can go on behind the last one.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from quincespool.gateway.turns.event_stream import WholeEvents

if TYPE_CHECKING:
    from quincespool.gateway.turns.event_stream import StreamEvent


class GapError(Exception):
    """A run does not go on where the last one ended: its events can't be joined."""


class StreamProgress:
    """The events of one answer, over all runs at engines that it takes.

    Attributes:
      last: Number of the last event that the caller has; None before the first, or if it has none.
      has_begun: Whether the caller has got an event of this answer.
    """

    def __init__(self, *, after: int | None) -> None:
        """Makes the progress of an answer.

        Args:
          after: Number of the last event that the caller had before this answer, if it said so.
        """
        self.last = after
        self.has_begun = False
        self._unnumbered = False
        self._step: int | None = None
        self._run = WholeEvents()
        self._is_resumed = False

    @property
    def can_resume(self) -> bool:
        """Whether another run can be told where to go on."""
        return not self._unnumbered

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
        if event.text is None:
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
        self.has_begun = True
        return True
