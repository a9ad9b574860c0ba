"""The settings of a gateway daemon, read from one JSON file and checked at start."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from quincespool.settings import LOG_LEVELS
from quincespool.settings import SettingsError
from quincespool.settings import address_fault
from quincespool.settings import read_settings_file

if TYPE_CHECKING:
    from pathlib import Path

# Least and greatest value of every number; outside of these a daemon would start and misbehave.
OWNER_TOPIC = "programs"
RANGES: dict[str, tuple[int, int]] = {
    "metrics_port": (1, 65_535),
    "peer_port": (1, 65_535),
    "stop_grace_s": (1, 600),
    "store_partitions": (1, 4_096),
    "owner_topics": (1, 64),
    "owner_lease_ms": (1_000, 60_000),
    "store_limit_ms": (50, 60_000),
    "store_retention_s": (1, 31_536_000),
    "backends_interval_ms": (50, 60_000),
    "addresses_valid_ms": (100, 60_000),
    "limit_window_s": (1, 3_600),
    "limit_slack_calls": (0, 1_000_000),
    "limit_overage_share": (0, 1),
}


class GatewaySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Everything a gateway daemon knows before it reads the store.

    Attributes:
      caller_address: Where callers connect.
      ready_address: Where the platform asks whether the daemon is ready.
      directory_address: Where callers ask which addresses to use.
      peer_port: TCP and UDP, for other daemons.
      store_partitions: Partitions of each topic in the store.
      owner_topics: Topics of program records; with `store_partitions` the number of partitions that
        daemons share among themselves. Four for each of ten daemons keeps the shares within a
        quarter of one another.
      owner_lease_ms: After this long without a renewal a daemon's partitions go to others.
      store_limit_ms: How long one request to the store may take.
      store_retention_s: How long the store keeps a record. Programs that live longer are written
        again before that.
      backends_interval_ms: How often the entries of backend servers are read; must leave time to
        stop using one within the time that it drains.
      addresses_valid_ms: How long callers keep an answer of the directory. Whoever must ask again
        may ask a host without power first, for a second; whoever keeps an answer may connect to
        one. Three times as long must fit into `stop_grace_s`, since some callers keep it for that.
      limit_window_s: Operators look at an account's limit over any time as long as this.
      limit_slack_calls: By how many calls an account may pass it there.
      limit_overage_share: By which part of it an account may pass it besides.
      admission_control: Whether new programs are refused while the engines of their service are so
        full that they can't end in time.
      stop_grace_s: From SIGTERM until the platform kills the process.
    """

    member_id: str
    zone: str
    host: str
    caller_address: str
    ready_address: str
    directory_address: str
    metrics_port: int
    peer_port: int
    store_address: str
    store_partitions: int
    stop_grace_s: float = 8.0
    owner_topics: int = 4
    owner_lease_ms: int = 1_000
    store_limit_ms: int = 600
    store_retention_s: float = 300.0
    backends_interval_ms: int = 400
    addresses_valid_ms: int = 2_000
    limit_window_s: int = 5
    limit_slack_calls: int = 0
    limit_overage_share: float = 0.0
    admission_control: bool = False
    log_level: str = "info"

    @property
    def owner_topic_names(self) -> list[str]:
        """Topics of program records."""
        return [f"{OWNER_TOPIC}.{number}" for number in range(self.owner_topics)]

    @property
    def peer_address(self) -> str:
        """Where other daemons connect and send datagrams."""
        return f"{self.host}:{self.peer_port}"

    @property
    def side_addresses(self) -> tuple[str, str, str]:
        """Where readiness, addresses for callers, and metrics are asked for."""
        metrics_address = f"{self.host}:{self.metrics_port}"
        return self.ready_address, self.directory_address, metrics_address


def load_gateway_settings(path: Path) -> GatewaySettings:
    """Reads and checks a settings file.

    Raises:
      SettingsError: with one line that names the key at fault.
    """
    data = read_settings_file(path)
    try:
        settings = msgspec.json.decode(data, type=GatewaySettings)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: {error}") from error
    fault = find_fault(settings)
    if fault:
        raise SettingsError(f"{path}: {fault}")
    return settings


def find_fault(settings: GatewaySettings) -> str | None:
    """Returns one line on the first value that cannot be used, None if all can."""
    for key, (least, greatest) in RANGES.items():
        value = getattr(settings, key)
        if not least <= value <= greatest:
            return f"{key}: {value} is not between {least} and {greatest}"
    for key in ("caller_address", "ready_address", "directory_address", "store_address"):
        if fault := address_fault(getattr(settings, key)):
            return f"{key}: {fault}"
    if settings.log_level not in LOG_LEVELS:
        return f"log_level: {settings.log_level!r} is none of {', '.join(LOG_LEVELS)}"
    return None
