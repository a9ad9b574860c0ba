"""The decision log is rate-limited and never blocks the daemon."""

from __future__ import annotations

import logging
import os

from quincespool.gateway.decision_log import BURST_LINES
from quincespool.gateway.decision_log import MAX_UNSENT_BYTES
from quincespool.gateway.decision_log import DecisionLog
from quincespool.gateway.decision_log import DroppingHandler


def test_lines_are_dropped_when_the_reader_stops_reading() -> None:
    """A daemon must not stall without a log line when the reader of its output stops reading.

    A blocking write to a full pipe would wait for the reader.
    """
    reading, writing = os.pipe()
    handler = DroppingHandler(writing)
    handler.setFormatter(logging.Formatter("%(message)s"))
    record = logging.LogRecord("x", logging.INFO, "", 0, "y" * 1_000, None, None)
    for _ in range(1_000):
        handler.emit(record)

    assert handler.dropped > 0
    assert len(handler._unsent) <= MAX_UNSENT_BYTES + 2_000
    first = os.read(reading, 1_001)
    assert first == b"y" * 1_000 + b"\n"
    os.close(reading)
    os.close(writing)


def test_lines_beyond_the_rate_limit_are_counted() -> None:
    lines: list[str] = []
    now_s = 0.0
    log = DecisionLog(lambda: now_s)
    handler = logging.Handler()
    handler.emit = lambda record: lines.append(str(record.msg))  # type: ignore[method-assign]
    root = logging.getLogger()
    root.addHandler(handler)
    root.setLevel("INFO")
    try:
        for _ in range(BURST_LINES + 50):
            log.write("decision")
        assert len(lines) == BURST_LINES
        now_s = 1.0
        log.write("decision")
    finally:
        root.removeHandler(handler)

    assert any("lines left out" in line and "50" in line for line in lines)
