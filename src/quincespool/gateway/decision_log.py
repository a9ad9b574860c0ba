"""One JSON line for each decision, bounded in rate and never waited for."""

from __future__ import annotations

import logging
import os
import sys
from typing import TYPE_CHECKING

from quincespool.logs import make_formatter
from quincespool.logs import write_line

if TYPE_CHECKING:
    from collections.abc import Callable

# A busy daemon takes about fifty calls a second at a few lines each; more than this says nothing
# that the counters do not say, and costs processor time that calls need.
LINES_PER_S = 300
BURST_LINES = 600
MAX_UNSENT_BYTES = 65_536


class DroppingHandler(logging.Handler):
    """Writes lines to a descriptor that does not block; drops what does not fit.

    A reader that stops reading would otherwise stop the whole daemon at its next line: it would
    neither answer nor renew leases, with nothing in the log.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        os.set_blocking(descriptor, False)
        self.dropped = 0
        self._descriptor = descriptor
        self._unsent = b""

    def emit(self, record: logging.LogRecord) -> None:
        """Writes a line or counts it as dropped."""
        if len(self._unsent) > MAX_UNSENT_BYTES:
            self.dropped += 1
        else:
            self._unsent += self.format(record).encode() + b"\n"
        try:
            written = os.write(self._descriptor, self._unsent)
        except BlockingIOError:
            return
        except OSError:
            # Nobody reads any more; the daemon serves on without a log.
            self._unsent = b""
            self.dropped += 1
            return
        self._unsent = self._unsent[written:]


def configure_decision_log(level: str, member_id: str, zone: str) -> DroppingHandler:
    """Sends all log records of the process to standard output."""
    handler = DroppingHandler(sys.stdout.fileno())
    handler.setFormatter(make_formatter(member_id, zone))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    return handler


class DecisionLog:
    """Writes decisions at a bounded rate; how many were left out is told by a later line."""

    def __init__(self, now_s: Callable[[], float]) -> None:
        self._now_s = now_s
        self._tokens = float(BURST_LINES)
        self._refilled_s = now_s()
        self._left_out = 0

    def write(self, message: str, **fields: object) -> None:
        """Writes a line on a decision about a call; left out beyond the bound."""
        if self._take_token():
            self._flush_left_out()
            write_line("info", message, fields)
        else:
            self._left_out += 1

    def write_always(self, message: str, **fields: object) -> None:
        """Writes a line that must not be missed: start, stop, a dependency lost or regained."""
        write_line("warning", message, fields)

    def _flush_left_out(self) -> None:
        if self._left_out:
            write_line("warning", "lines left out", {"lines": self._left_out})
            self._left_out = 0

    def _take_token(self) -> bool:
        now_s = self._now_s()
        refill = (now_s - self._refilled_s) * LINES_PER_S
        self._tokens = min(float(BURST_LINES), self._tokens + refill)
        self._refilled_s = now_s
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
