"""Reads what real daemons have used: processor time, memory, bytes and messages."""

from __future__ import annotations

import time
from typing import NamedTuple

from quincespool.cli import client

PREFIX = "quincespool_"
_COUNTERS = {
    "datagram_bytes": ("datagram_bytes_sent_total", "datagram_bytes_received_total"),
    "link_bytes": ("link_bytes_sent_total", "link_bytes_received_total"),
    "log_bytes": ("log_bytes_sent_total", "log_bytes_received_total"),
}


class Usage(NamedTuple):
    """Sums since a daemon's start, its memory now, and when that is.

    Bytes are those sent and received. Reads of the host list are not among them.
    """

    at_s: float
    processor_s: float
    resident_bytes: float
    datagram_bytes: float
    link_bytes: float
    log_bytes: float
    log_reads: float
    link_messages: float

    @property
    def control_bytes(self) -> float:
        """All bytes but those to and from callers and backend servers."""
        return self.datagram_bytes + self.link_bytes + self.log_bytes


def read_usage(address: str) -> Usage:
    """Returns what a daemon has used.

    Raises:
      RuntimeError: if it does not answer.
    """
    answer = client.request(address, "GET", "/metrics")
    if answer.is_error():
        raise RuntimeError(f"{address} does not answer: {answer.error}")
    values = sum_metrics(answer.ok.body.decode())
    return Usage(
        at_s=time.monotonic(),
        processor_s=values["processor_seconds"],
        resident_bytes=values["resident_bytes"],
        log_reads=values.get("log_reads_total", 0.0),
        link_messages=values["link_messages_sent_total"],
        **{
            field: sum(values[counter] for counter in counters)
            for field, counters in _COUNTERS.items()
        },
    )


def sum_metrics(text: str) -> dict[str, float]:
    """Returns the sum over the labels of each metric."""
    values: dict[str, float] = {}
    for line in text.splitlines():
        if not line.startswith(PREFIX):
            continue
        name, _, value = line.rpartition(" ")
        name = name.split("{")[0].removeprefix(PREFIX)
        values[name] = values.get(name, 0.0) + float(value)
    return values
