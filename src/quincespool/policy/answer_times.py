"""Decides when a request without an answer is sent again.

A store may lose answers or become slow, and a fixed timeout suits neither case: one that is long
enough for a slow store lets a lost answer block all requests that wait behind it, and one that is
short enough for lost answers expires at a slow store just before it answers. The timeout therefore
follows the measured answer times, as TCP's retransmission timer does (RFC 6298).
"""

from __future__ import annotations

# Weights of a new answer time in the mean and in the deviation, and the number of deviations that
# the timeout lies beyond the mean: the values of RFC 6298.
MEAN_WEIGHT = 1 / 8
DEVIATION_WEIGHT = 1 / 4
DEVIATIONS = 4
# Mean before the first answer: a few times the 4 ms in which a nearby store answers.
FIRST_MEAN_MS = 10.0
# Lower limit of the wait: with a shorter one, pauses of the event loop, of some milliseconds, would
# look like lost answers.
MIN_WAIT_MS = 20.0
# Upper limit of the wait: a store that took seconds to answer may have recovered, and only a new
# request shows it.
MAX_WAIT_MS = 500.0


class AnswerTimes:
    """The smoothed answer time of one service and its mean deviation."""

    def __init__(self, *, first_mean_ms: float = FIRST_MEAN_MS) -> None:
        self.mean_ms = first_mean_ms
        self.deviation_ms = first_mean_ms / 2

    def observe(self, took_ms: float) -> None:
        """Records an answer time, measured from when the answered copy of the request was sent."""
        took_ms = max(0.0, took_ms)
        error_ms = abs(took_ms - self.mean_ms)
        self.deviation_ms += DEVIATION_WEIGHT * (error_ms - self.deviation_ms)
        self.mean_ms += MEAN_WEIGHT * (took_ms - self.mean_ms)

    def wait_ms(self, copies: int) -> float:
        """Returns how long to wait for an answer before another copy of the request is sent.

        The wait doubles with each copy. Otherwise a service that has become slow would be flooded
        with copies before its first slow answer has lengthened the wait.

        Args:
          copies: Number of copies that have been sent.
        """
        limit_ms = self.mean_ms + DEVIATIONS * self.deviation_ms
        doubled_ms = max(MIN_WAIT_MS, limit_ms) * 2.0 ** min(max(0, copies - 1), 8)
        return min(MAX_WAIT_MS, doubled_ms)
