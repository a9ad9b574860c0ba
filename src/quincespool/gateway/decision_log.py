"""The decision log: JSON lines on standard output, rate-limited and written without blocking."""

from __future__ import annotations

import logging
import os
import sys
from typing import TYPE_CHECKING

from quincespool.logs import make_formatter
from quincespool.logs import write_line

if TYPE_CHECKING:
    from collections.abc import Callable

# A busy daemon handles about fifty calls per second and writes a few lines for each. More lines
# than this would add nothing to the metrics and would use processor time that calls need.
LINES_PER_S = 300
BURST_LINES = 600
MAX_UNSENT_BYTES = 65_536


class DroppingHandler(logging.Handler):
    """Writes lines to a non-blocking file descriptor and drops those that do not fit the buffer.

    With blocking writes, a reader that stops reading would stall the whole daemon at its next line:
    the daemon would neither answer calls nor renew leases, and nothing in the log would show it.

    Attributes:
      dropped: Number of lines that were dropped.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        os.set_blocking(descriptor, False)
        self.dropped = 0
        self._descriptor = descriptor
        self._unsent = b""

    def emit(self, record: logging.LogRecord) -> None:
        """Writes a record as one line, or counts it as dropped."""
        if len(self._unsent) > MAX_UNSENT_BYTES:
            self.dropped += 1
        else:
            self._unsent += self.format(record).encode() + b"\n"
        try:
            written = os.write(self._descriptor, self._unsent)
        except BlockingIOError:
            return
        except OSError:
            # The reader has closed its end; the daemon continues without a log.
            self._unsent = b""
            self.dropped += 1
            return
        self._unsent = self._unsent[written:]


def configure_decision_log(level: str, member_id: str, zone: str) -> DroppingHandler:
    """Directs all log records of the process to standard output.

    Returns:
      The handler that writes them.
    """
    handler = DroppingHandler(sys.stdout.fileno())
    handler.setFormatter(make_formatter(member_id, zone))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    return handler


class DecisionLog:
    """Writes log lines at a limited rate; a later line reports how many were dropped."""

    def __init__(self, now_s: Callable[[], float]) -> None:
        self._now_s = now_s
        self._tokens = float(BURST_LINES)
        self._refilled_s = now_s()
        self._dropped_lines = 0

    def write(self, message: str, **fields: object) -> None:
        """Writes a line, or drops it if the rate limit is exceeded."""
        if self._take_token():
            self._report_dropped_lines()
            write_line("info", message, fields)
        else:
            self._dropped_lines += 1

    def write_always(self, message: str, **fields: object) -> None:
        """Writes a line regardless of the rate limit, such as on start, stop or loss of the store.

        Meant for rare lines that operators must not miss.
        """
        write_line("warning", message, fields)

    def _report_dropped_lines(self) -> None:
        if self._dropped_lines:
            write_line("warning", "lines left out", {"lines": self._dropped_lines})
            self._dropped_lines = 0

    def _take_token(self) -> bool:
        now_s = self._now_s()
        refill = (now_s - self._refilled_s) * LINES_PER_S
        self._tokens = min(float(BURST_LINES), self._tokens + refill)
        self._refilled_s = now_s
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
