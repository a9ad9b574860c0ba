"""The settings of a daemon, read from one JSON file and checked at start."""

from __future__ import annotations

import difflib
import ipaddress
import re
from typing import TYPE_CHECKING

import msgspec

from quincespool.resource_limits import DEFAULT_DESCRIPTORS
from quincespool.resource_limits import DEFAULT_MEMORY_MB

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path

MAX_PORT_DIGITS = 5

LOG_LEVELS = ("debug", "info", "warning", "error")

# Least and greatest value of every number; outside of these a daemon would start and then misbehave
# in ways that show only under load.
RANGES: dict[str, tuple[int, int]] = {
    "http_port": (1, 65_535),
    "peer_port": (1, 65_535),
    "stream_count": (1, 4_096),
    "partition_count": (1, 65_536),
    "log_appends_per_s": (1, 100_000),
    "stale_after_ms": (50, 60_000),
    "licence_ms": (50, 600_000),
    "checkpoint_records": (10, 1_000_000),
    "checkpoint_every_ms": (1_000, 86_400_000),
    "max_body_bytes": (1_024, 1_000_000_000),
    "memory_mb": (32, 10_000_000),
    "max_descriptors": (256, 100_000_000),
}

_NAME = re.compile(r"[A-Za-z0-9._-]{1,64}")
_UNITS = {"_ms": "milliseconds", "_s": "a second", "_bytes": "bytes"}
_MISSING_FIELD = re.compile(r"missing required field `(\w+)`")
_PATH = re.compile(r"(?P<problem>.*) - at `\$\.(?P<key>\w+)")


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
    memory_mb: int = DEFAULT_MEMORY_MB
    max_descriptors: int = DEFAULT_DESCRIPTORS

    stream_count: int = 4
    partition_count: int = 32
    log_appends_per_s: int = 200
    stale_after_ms: int = 1500
    licence_ms: int = 3000
    checkpoint_records: int = 2000
    checkpoint_every_ms: int = 600_000
    max_body_bytes: int = 8_000_000


def load_settings(path: Path) -> Settings:
    """Reads and checks a settings file.

    Raises:
      SettingsError: with one line that names the key at fault.
    """
    data = read_settings_file(path)
    try:
        values = msgspec.json.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: is not JSON: {error}") from error
    fault = find_fault(values)
    if fault:
        raise SettingsError(f"{path}: {fault}")
    return msgspec.convert(values, type=Settings)


def read_settings_file(path: Path) -> bytes:
    """Returns what is in a settings file.

    Raises:
      SettingsError: if it cannot be read.
    """
    try:
        return path.read_bytes()
    except OSError as error:
        raise SettingsError(f"{path}: cannot be read: {error.strerror}") from error


def find_fault(values: object) -> str | None:
    """Returns one line on the first thing that is wrong with decoded settings, None if all is well.

    Args:
      values: What the JSON text decodes to; should be an object.
    """
    if not isinstance(values, dict):
        return "must be one JSON object with the keys of the settings"
    for key in values:
        if key not in Settings.__struct_fields__:
            return _unknown_key(key)
    try:
        settings = msgspec.convert(values, type=Settings)
    except msgspec.ValidationError as error:
        return _convert_fault(str(error))
    return next(_value_faults(settings), None)


def _unknown_key(key: str) -> str:
    # A key with another unit (licence_s) must not be taken for the right one with a wrong value, so
    # it is refused like any unknown key, and the hint says which unit is wanted.
    stem = key.rsplit("_", 1)[0]
    same_stem = [field for field in Settings.__struct_fields__ if field.rsplit("_", 1)[0] == stem]
    nearest = same_stem or difflib.get_close_matches(key, Settings.__struct_fields__, n=1)
    if not nearest:
        return f"{key}: unknown key; known are {', '.join(Settings.__struct_fields__)}"
    return f"{key}: unknown key; did you mean {nearest[0]}{_unit_hint(nearest[0])}?"


def _convert_fault(message: str) -> str:
    if missing := _MISSING_FIELD.search(message):
        return f"{missing[1]}: missing; every daemon needs it"
    if match := _PATH.match(message):
        key = match["key"]
        problem = match["problem"].replace("`", "")
        return f"{key}: {problem[:1].lower()}{problem[1:]}{_unit_hint(key)}"
    return message


def _unit_hint(key: str) -> str:
    for suffix, unit in _UNITS.items():
        if key.endswith(suffix):
            return f" (a whole number, {unit})"
    return ""


def _value_faults(settings: Settings) -> Iterator[str]:
    # Member ids and zones become parts of attempt ids and of hashed placement keys, where ":" and
    # "|" separate; with one of these inside, two different ids could be taken for one.
    for key in ("member_id", "zone"):
        if not _NAME.fullmatch(getattr(settings, key)):
            yield f"{key}: must be 1 to 64 letters, digits, dots, underscores or hyphens"
    if fault := _ip_fault(settings.host):
        yield f"host: {fault}"
    for key, (least, greatest) in RANGES.items():
        value = getattr(settings, key)
        if not least <= value <= greatest:
            yield f"{key}: {value} is not between {least} and {greatest}{_unit_hint(key)}"
    yield from _address_faults(settings)
    if settings.log_level not in LOG_LEVELS:
        yield f"log_level: {settings.log_level!r} is none of {', '.join(LOG_LEVELS)}"


def _address_faults(settings: Settings) -> Iterator[str]:
    if settings.http_port == settings.peer_port:
        yield f"peer_port: {settings.peer_port} is http_port as well; give each its own port"
    if fault := address_fault(settings.log_address):
        yield f"log_address: {fault}"
    if settings.host_list_address and (fault := address_fault(settings.host_list_address)):
        yield f"host_list_address: {fault}"
    own_http = f"{settings.host}:{settings.http_port}"
    own_peer = f"{settings.host}:{settings.peer_port}"
    for key in ("log_address", "host_list_address"):
        if getattr(settings, key) in (own_http, own_peer):
            yield f"{key}: {getattr(settings, key)} is this daemon's own address"
    for position, seed in enumerate(settings.seeds):
        if fault := address_fault(seed):
            yield f"seeds[{position}]: {fault}"
        if seed == own_peer:
            yield f"seeds[{position}]: {seed} is this daemon's own address; name other daemons"
        if seed == own_http:
            yield f"seeds[{position}]: {seed} is this daemon's http_port; seeds name peer ports"
        if seed in settings.seeds[:position]:
            yield f"seeds[{position}]: {seed} is named twice"


def address_fault(address: str) -> str | None:
    """Returns what is wrong with an `IP:PORT` text, None if nothing is."""
    host, colon, port = address.rpartition(":")
    if not colon:
        return f"{address!r} is not IP:PORT"
    is_number = port.isascii() and port.isdigit() and len(port) <= MAX_PORT_DIGITS
    if not (is_number and 1 <= int(port) <= 65_535):
        return f"{address!r} has no port between 1 and 65535"
    return _ip_fault(host)


def _ip_fault(host: str) -> str | None:
    try:
        address = ipaddress.IPv4Address(host)
    except ValueError:
        return f"{host!r} is not an IPv4 number such as 10.0.0.7"
    # Daemons tell each other and callers this address; with 0.0.0.0 each would connect to itself.
    if address.is_unspecified or address.is_multicast:
        return f"{host!r} is not an address that others can connect to"
    return None
