"""Tracks which events of a stream were sent, so that another attempt can continue the stream.

Handles engines that break off a stream: they crash, are removed, or lose the rest of an answer.
Only complete events are sent, so that another attempt can continue after the last one.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from quincespool.gateway.turns.event_stream import EventSplitter

if TYPE_CHECKING:
    from quincespool.gateway.turns.event_stream import StreamEvent


class EventGapError(Exception):
    """Raised if an attempt does not continue the stream directly after the last relayed event."""


class StreamProgress:
    """The events of one answer, over all attempts at engines.

    Attributes:
      last_number: Number of the last event that the caller has; None before the first event, or if
        the last one has no number.
      has_begun: Whether an event of this answer was sent to the caller.
    """

    def __init__(self, *, after: int | None) -> None:
        """Starts at the first event that the caller does not have.

        Args:
          after: Number of the last event that the caller had before this answer, as given in its
            request; None if not given.
        """
        self.last_number = after
        self.has_begun = False
        self._has_unnumbered_event = False
        self._number_step: int | None = None
        self._splitter = EventSplitter()
        self._awaits_continuation = False
        # Whether the current attempt has returned an event that the caller did not have, and an
        # earlier one behind it.
        self._has_new_event = False
        self._has_gone_back = False

    @property
    def can_resume(self) -> bool:
        """Whether another attempt can be told after which event to continue."""
        return not self._has_unnumbered_event

    @property
    def incomplete_size_bytes(self) -> int:
        """Size of `incomplete_bytes`."""
        return self._splitter.incomplete_size_bytes

    @property
    def incomplete_bytes(self) -> bytes:
        """Bytes that the current attempt has returned after its last complete event."""
        return self._splitter.incomplete_bytes

    @property
    def is_inside_event(self) -> bool:
        """Whether the current attempt was broken off if it ends here."""
        return self._splitter.is_inside_event

    def begin_attempt(self) -> None:
        """Begins another attempt; drops an event that the last attempt returned incompletely."""
        self._splitter = EventSplitter()
        self._awaits_continuation = self.has_begun
        self._has_new_event = False
        self._has_gone_back = False

    def add_bytes(self, data: bytes) -> list[StreamEvent]:
        """Adds bytes of the current attempt; returns complete events that the caller does not have.

        Raises:
          EventGapError: if an attempt that continues a stream leaves events out before its first
            one, or returns an event without a number; if an attempt goes on after it has gone back
            to an earlier event, as it may do so without end.
        """
        if self._has_gone_back:
            raise EventGapError(f"an earlier event follows event {self.last_number}")
        return [event for event in self._splitter.feed(data) if self._is_new(event)]

    def _is_new(self, event: StreamEvent) -> bool:
        number, last = event.number, self.last_number
        if event.payload is None:
            return True
        if number is None:
            if self._awaits_continuation:
                raise EventGapError("the event that continues the stream has no number")
            self._has_unnumbered_event = True
        elif last is not None:
            if number <= last:
                self._has_gone_back = self._has_new_event
                # The engine has started from an earlier event than was requested.
                return False
            if (
                self._awaits_continuation
                and self._number_step is not None
                and number != last + self._number_step
            ):
                raise EventGapError(f"event {number} does not follow event {last}")
            self._number_step = number - last
        self.last_number = number
        self._awaits_continuation = False
        self._has_new_event = True
        self.has_begun = True
        return True
