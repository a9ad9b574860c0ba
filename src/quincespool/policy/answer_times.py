"""When a request that has brought no answer is sent once more.

Answers the load of a store that loses answers, or that grows slow. A fixed limit fits neither: one
that is long enough for a slow store lets a lost answer stall everything that waits behind it, and
one that is short enough for lost answers gives up on a slow store just before it answers. So the
limit follows the answer times that are seen, as TCP's retransmission timer does (RFC 6298).
"""

from __future__ import annotations

# Weights of a new answer time in the mean and in the deviation, and how many deviations beyond the
# mean an answer may take: the figures of RFC 6298.
MEAN_WEIGHT = 1 / 8
DEVIATION_WEIGHT = 1 / 4
DEVIATIONS = 4
# Before the first answer: a few times the 4 ms in which a store nearby answers.
FIRST_MEAN_MS = 10.0
# Never sooner: pauses of the event loop, of some milliseconds, would look like lost answers.
LEAST_WAIT_MS = 20.0
# Never later: a store that took seconds to answer may be back, and only a new request shows it.
MOST_WAIT_MS = 500.0


class AnswerTimes:
    """The smoothed answer time of one service, and how far answers stray from it."""

    def __init__(self, *, first_mean_ms: float = FIRST_MEAN_MS) -> None:
        self.mean_ms = first_mean_ms
        self.deviation_ms = first_mean_ms / 2

    def observe(self, took_ms: float) -> None:
        """Takes in how long an answer took, counted from the copy that it answers."""
        took_ms = max(0.0, took_ms)
        strayed_ms = abs(took_ms - self.mean_ms)
        self.deviation_ms += DEVIATION_WEIGHT * (strayed_ms - self.deviation_ms)
        self.mean_ms += MEAN_WEIGHT * (took_ms - self.mean_ms)

    def wait_ms(self, copies: int) -> float:
        """Returns how long to wait for an answer after so many copies; doubles with each one.

        The doubling keeps a service that has grown slow from being flooded before its first slow
        answer has taught the new time.
        """
        limit_ms = self.mean_ms + DEVIATIONS * self.deviation_ms
        doubled_ms = max(LEAST_WAIT_MS, limit_ms) * 2.0 ** min(max(0, copies - 1), 8)
        return min(MOST_WAIT_MS, doubled_ms)
