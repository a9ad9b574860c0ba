"""Logs as JSON lines on standard error.

Every line has `at_ms` (wall clock), `level`, `message`, `member_id` and `zone`, then the fields of
the line itself, whose names carry their unit.
"""

from __future__ import annotations

import logging
import sys
from typing import TYPE_CHECKING

from pythonjsonlogger.json import JsonFormatter

if TYPE_CHECKING:
    from typing import Any

LOGGER_NAME = "quincespool"


def configure_logging(level: str, member_id: str, zone: str) -> None:
    """Sends all log records of the process to standard error, one JSON object a line.

    Calling it again replaces the earlier set-up.

    Args:
      level: One of `quincespool.settings.LOG_LEVELS`.
      member_id: This daemon.
      zone: Its availability zone.
    """
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(make_formatter(member_id, zone))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())


def make_formatter(member_id: str, zone: str) -> logging.Formatter:
    """Returns what turns a log record into one JSON object."""
    return _LineFormatter(member_id=member_id, zone=zone)


def write_line(level: str, message: str, fields: dict[str, object] | None = None) -> None:
    """Writes one line.

    Args:
      level: One of `quincespool.settings.LOG_LEVELS`.
      message: What happened, the same text each time.
      fields: JSON values that differ; names carry their unit.
    """
    # Handed over as the message itself: `extra=` raises KeyError for names that a log record has
    # already (`name`, `args`), and a field must not be able to bring a daemon's log down.
    line = {**(fields or {}), "message": message}
    logging.getLogger(LOGGER_NAME).log(logging.getLevelName(level.upper()), line)


class _LineFormatter(JsonFormatter):
    def __init__(self, *, member_id: str, zone: str) -> None:
        super().__init__("%(message)s")
        self._identity = {"member_id": member_id, "zone": zone}

    def add_fields(
        self,
        log_data: dict[str, Any],
        record: logging.LogRecord,
        message_dict: dict[str, Any],
    ) -> None:
        """Puts the fields that every line has in front; no field of the line replaces them."""
        common = {
            "at_ms": int(record.created * 1000),
            "level": record.levelname.lower(),
            "message": message_dict.get("message", record.message),
            **self._identity,
        }
        log_data.update(common)
        super().add_fields(log_data, record, message_dict)
        log_data.update(common)
