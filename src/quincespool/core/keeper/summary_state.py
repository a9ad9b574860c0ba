"""Who is told how busy a backend server is."""

from __future__ import annotations


class SummaryState:
    """Subscriptions by backend server and member (value: when it ends), and what was sent."""

    def __init__(self) -> None:
        self.until_ms: dict[str, dict[str, int]] = {}
        self.sent_ms: dict[str, int] = {}
        self.scheduled: set[str] = set()
