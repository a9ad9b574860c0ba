"""The settings of a daemon, read from one JSON file and checked at start."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from pathlib import Path


class SettingsError(Exception):
    """The settings cannot be used; the text names the key."""


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Everything a daemon knows before it reads the log. All daemons share the last block."""

    member_id: str
    zone: str
    host: str
    http_port: int
    peer_port: int
    log_address: str
    host_list_address: str = ""
    seeds: tuple[str, ...] = ()
    log_level: str = "info"

    stream_count: int = 4
    partition_count: int = 32
    log_appends_per_s: int = 200
    stale_after_ms: int = 1500
    licence_ms: int = 3000
    max_body_bytes: int = 8_000_000


def load_settings(path: Path) -> Settings:
    """Reads and checks a settings file.

    Raises:
      SettingsError: with one line that names the key at fault.
    """
    try:
        return msgspec.json.decode(path.read_bytes(), type=Settings)
    except (OSError, msgspec.DecodeError) as error:
        raise SettingsError(f"{path}: {error}") from error
