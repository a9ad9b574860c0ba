"""The log service of the virtual world, as data."""

from __future__ import annotations

import json


class LogService:
    """Streams with offsets; can be out, and can lose answers after the write."""

    def __init__(self) -> None:
        self.streams: dict[str, list[bytes]] = {}
        self.first_kept: dict[str, int] = {}
        self.out = False
        self.hides_end = False
        self.lose_answers = 0
        self.appends = 0

    def append(self, stream: str, body: bytes) -> int:
        """Appends a record; returns its offset."""
        records = self.streams.setdefault(stream, [])
        records.append(body)
        self.appends += 1
        return len(records) - 1

    def expire_old(self) -> None:
        """Expires what the newest whole checkpoint of each ledger stream stands for."""
        for stream, records in self.streams.items():
            for body in reversed(records):
                as_of = _whole_checkpoint(body)
                if as_of is not None:
                    self.first_kept[stream] = as_of
                    break


def _whole_checkpoint(body: bytes) -> int | None:
    if b'"checkpoint"' not in body:
        return None
    for group in json.loads(body).get("groups", []):
        for entry in group["entries"]:
            if entry["kind"] == "checkpoint" and entry["parts"] == 1:
                return int(entry["as_of"])
    return None
