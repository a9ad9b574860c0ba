"""The settings of a gateway daemon, read from one JSON file and checked at start."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from quincespool.resource_limits import DEFAULT_DESCRIPTORS
from quincespool.resource_limits import DEFAULT_MEMORY_MB
from quincespool.settings import LOG_LEVELS
from quincespool.settings import SettingsError
from quincespool.settings import address_fault
from quincespool.settings import read_settings_file

if TYPE_CHECKING:
    from pathlib import Path

OWNER_TOPIC = "programs"
# Minimum and maximum allowed value of every number; with a value outside this range a daemon would
# start but misbehave.
RANGES: dict[str, tuple[int, int]] = {
    "memory_mb": (32, 10_000_000),
    "max_descriptors": (256, 100_000_000),
    "metrics_port": (1, 65_535),
    "peer_port": (1, 65_535),
    "stop_grace_s": (1, 600),
    "store_partitions": (1, 4_096),
    "owner_topics": (1, 64),
    "owner_lease_ms": (1_000, 60_000),
    "store_limit_ms": (50, 60_000),
    "store_retention_s": (1, 31_536_000),
    "backends_interval_ms": (50, 60_000),
    "configuration_apply_ms": (1_200, 600_000),
    "addresses_valid_ms": (100, 60_000),
    "limit_window_s": (1, 3_600),
    "limit_slack_calls": (0, 1_000_000),
    "limit_overage_share": (0, 1),
}


class GatewaySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Everything that a gateway daemon needs to know before it can read the store.

    Attributes:
      caller_address: Address that callers connect to.
      ready_address: Address of the platform's readiness checks.
      directory_address: Address at which callers request the addresses that they should use.
      metrics_port: Port on which metrics are read.
      peer_port: Port for other daemons, both TCP and UDP.
      store_partitions: Number of partitions of each topic in the store.
      owner_topics: Number of topics for program records. Times `store_partitions`, it gives the
        number of partitions that are distributed over the daemons. Four for each of ten daemons
        keep the daemons' shares within a quarter of one another.
      owner_lease_ms: A daemon that has not renewed its lease for this long loses its partitions to
        other daemons.
      store_limit_ms: Timeout of one request to the store.
      store_retention_s: How long the store retains a record. Records of programs that are retained
        for longer are written again before they expire.
      backends_interval_ms: Interval at which the entries of backend servers are read. It must be
        short enough to stop using a backend server before it has drained.
      configuration_apply_ms: Time from when operators have written a configuration until requests
        that are sent must be handled by it.
      addresses_valid_ms: How long callers may use an answer of the directory. A shorter time makes
        callers ask more often, and the host that they ask first may be without power, which costs
        them a second; a longer time makes it likelier that they connect to such a host. Three times
        this must fit into `stop_grace_s`, since some callers use an answer for that long.
      limit_window_s: Operators check an account's rate limit over every window of this length.
      limit_slack_calls: Number of calls by which an account may exceed its limit in a window.
      limit_overage_share: Share of its limit by which an account may exceed it in a window, in
        addition to `limit_slack_calls`.
      admission_control: Whether new programs are refused while the engines of their service are too
        full for them to end in time.
      memory_mb: Memory that the process may use, in millions of bytes. What callers and other
        daemons can make it hold is bounded accordingly.
      max_descriptors: Descriptors that the process may have open; bounds the connections.
      stop_grace_s: Time from SIGTERM until the platform kills the process.
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
    memory_mb: int = DEFAULT_MEMORY_MB
    max_descriptors: int = DEFAULT_DESCRIPTORS
    owner_topics: int = 4
    owner_lease_ms: int = 1_000
    store_limit_ms: int = 600
    store_retention_s: float = 300.0
    backends_interval_ms: int = 400
    configuration_apply_ms: int = 2_000
    addresses_valid_ms: int = 2_000
    limit_window_s: int = 5
    limit_slack_calls: int = 0
    limit_overage_share: float = 0.0
    admission_control: bool = False
    log_level: str = "info"

    @property
    def owner_topic_names(self) -> list[str]:
        """Names of the topics for program records."""
        return [f"{OWNER_TOPIC}.{number}" for number in range(self.owner_topics)]

    @property
    def peer_address(self) -> str:
        """Address that other daemons connect to and send datagrams to."""
        return f"{self.host}:{self.peer_port}"

    @property
    def side_addresses(self) -> tuple[str, str, str]:
        """Addresses of the ports for readiness checks, for the directory and for metrics."""
        metrics_address = f"{self.host}:{self.metrics_port}"
        return self.ready_address, self.directory_address, metrics_address


def load_gateway_settings(path: Path) -> GatewaySettings:
    """Reads and checks a settings file.

    Raises:
      SettingsError: If the file is invalid; its one-line message names the invalid key.
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
    """Returns a one-line description of the first invalid value; None if all are valid."""
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
