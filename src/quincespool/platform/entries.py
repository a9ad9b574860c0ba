"""Decodes the records of operators, backend servers and daemons in the store."""

from __future__ import annotations

from typing import Annotated
from typing import Literal
from typing import TypeVar

import msgspec

from quincespool.gateway.model import Account
from quincespool.gateway.model import Accounts
from quincespool.gateway.model import BackendEntry
from quincespool.gateway.model import CallerLimits
from quincespool.gateway.model import CallKind
from quincespool.gateway.model import Configuration
from quincespool.gateway.model import Daemon
from quincespool.gateway.model import Route
from quincespool.gateway.model import Service
from quincespool.gateway.model import WeightedService
from quincespool.gateway.model import digest_key
from quincespool.settings import address_fault

T = TypeVar("T")

CONFIGURATION_TOPIC = "keyed.op"
CONFIGURATION_KEY = "config"
BACKENDS_TOPIC = "keyed.servers"
DAEMONS_TOPIC = "keyed.status"

# Callers disconnect from a stream after the longest of three times without an event: this fixed
# time, this multiple of the route's target latency of the first event, and this multiple of its
# target pause between events.
EVENT_GAP_FLOOR_MS = 2_000
EVENT_GAP_LATENCY_FACTOR = 4
EVENT_GAP_PAUSE_FACTOR = 8


class _Weighted(msgspec.Struct):
    service: str
    weight: int = 1


class _Route(msgspec.Struct):
    name: str
    hostname: str
    path_prefix: str
    kind: Literal["idempotent", "non_idempotent", "streaming"]
    timeout_ms: float
    target_latency_ms: float = 0
    priority: int = 5
    service: str = ""
    weighted_backends: list[_Weighted] = []
    max_attempts: int = 1
    # Turns carry only their new input; the gateway prepends the turns that they continue.
    retain_context: bool = False
    retention_s: float = 0
    # Longest pause between events for a stream to meet its target.
    target_gap_ms: float = 0
    public: bool = False
    # An interrupted stream may be resumed after its last event, at any engine.
    resumable: bool = False


class _Engine(msgspec.Struct):
    # Number of tokens in one event.
    stream_stride: int = 1


class _Service(msgspec.Struct):
    name: str
    engine: _Engine | None = None


class _Limits(msgspec.Struct):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3_000
    idle_timeout_ms: float = 15_000


class _Tenant(msgspec.Struct):
    # Sent as a header of calls, and part of program ids, hence no spaces.
    name: Annotated[str, msgspec.Meta(pattern="^[!-~]{1,128}$")]
    api_keys: list[str] = []
    priority: int | None = None
    # 0 means unlimited.
    rate_per_s: Annotated[float, msgspec.Meta(ge=0)] = 0
    burst: Annotated[float, msgspec.Meta(ge=0)] = 0


class _Config(msgspec.Struct):
    version: int
    routes: list[_Route]
    services: list[_Service]
    # Requests carry API keys only if this is present.
    tenants: list[_Tenant] | None = None
    limits: _Limits = msgspec.field(default_factory=_Limits)


# Beyond any count or time (ms): a larger one, once taken, would outlast all later entries.
_MAX_COUNT = 2**53

_Count = Annotated[int, msgspec.Meta(ge=0, le=_MAX_COUNT)]


class _Server(msgspec.Struct):
    # Every entry that a backend server writes about itself has all fields except the last. An entry
    # in which a field is missing or has another type is not from a backend server and is rejected.
    service: str
    address: str
    zone: str
    # Version of its software.
    version: str
    slots: Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]
    state: Literal["ready", "draining"]
    cold_remaining_ms: Annotated[float, msgspec.Meta(ge=0, le=1e9)]
    # Number of orders that the backend server has accepted since its start.
    sequence: _Count
    # Start time of its process in ms; present only if the server may restart under the same id.
    born: _Count | msgspec.UnsetType = msgspec.UNSET


def read_configuration(value: bytes) -> Configuration:
    """Returns the configuration in a record.

    Raises:
      msgspec.DecodeError: if it is not a valid configuration, or two accounts have the same key.
    """
    config = _decode(_CONFIG_DECODER, value)
    return Configuration(
        version=config.version,
        routes=tuple(_route(route) for route in config.routes),
        services={service.name: _service(service) for service in config.services},
        limits=CallerLimits(
            max_head_bytes=config.limits.max_header_bytes,
            max_body_bytes=config.limits.max_body_bytes,
            head_timeout_ms=int(config.limits.header_timeout_ms),
            idle_timeout_ms=int(config.limits.idle_timeout_ms),
        ),
        accounts=None if config.tenants is None else _accounts(config.tenants),
    )


def read_backend(backend_id: str, value: bytes) -> BackendEntry:
    """Returns the entry of a backend server.

    Raises:
      msgspec.DecodeError: if the record is not a valid entry.
    """
    server = _decode(_SERVER_DECODER, value)
    _check_address(server.address)
    return BackendEntry(
        backend_id=backend_id,
        service=server.service,
        address=server.address,
        zone=server.zone,
        slots=server.slots,
        leaving=server.state == "draining",
        cold_ms=int(server.cold_remaining_ms),
        born_ms=None if server.born is msgspec.UNSET else server.born,
    )


def read_daemon(member_id: str, value: bytes) -> Daemon:
    """Returns the entry of a daemon.

    Raises:
      msgspec.DecodeError: if the record is not a valid entry.
    """
    daemon = _decode(_DAEMON_DECODER, value)
    _check_address(daemon.caller_address)
    _check_address(daemon.peer_address)
    return daemon._replace(member_id=member_id)


def write_daemon(daemon: Daemon) -> bytes:
    """Encodes the entry of a daemon as a record."""
    return msgspec.json.encode(daemon)


def _check_address(address: str) -> None:
    fault = address_fault(address)
    if fault is not None:
        raise msgspec.ValidationError(fault)


_CONFIG_DECODER = msgspec.json.Decoder(_Config)
_SERVER_DECODER = msgspec.json.Decoder(_Server)
_DAEMON_DECODER = msgspec.json.Decoder(Daemon)


def _decode(decoder: msgspec.json.Decoder[T], value: bytes) -> T:
    try:
        return decoder.decode(value)
    except RecursionError as error:
        raise msgspec.DecodeError("nested too deeply") from error


def _route(route: _Route) -> Route:
    shares = tuple(WeightedService(item.service, item.weight) for item in route.weighted_backends)
    return Route(
        name=route.name,
        host=route.hostname.lower(),
        path_prefix=route.path_prefix,
        kind=CallKind(route.kind),
        weighted_services=shares or (WeightedService(route.service, 1),),
        timeout_ms=int(route.timeout_ms),
        max_event_gap_ms=_max_event_gap_ms(route),
        rank=route.priority,
        max_attempts=max(1, route.max_attempts),
        keeps_history=route.retain_context,
        retention_ms=int(route.retention_s * 1000),
        is_public=route.public,
        is_resumable=route.resumable,
    )


def _accounts(tenants: list[_Tenant]) -> Accounts:
    by_name: dict[str, Account] = {}
    by_key: dict[str, str] = {}
    for tenant in tenants:
        by_name[tenant.name] = Account(
            name=tenant.name,
            rank=tenant.priority,
            rate_per_s=tenant.rate_per_s,
            burst=int(tenant.burst),
        )
        for key in tenant.api_keys:
            if by_key.setdefault(digest_key(key), tenant.name) != tenant.name:
                raise msgspec.ValidationError("two accounts have the same key")
    return Accounts(by_name, by_key)


def _max_event_gap_ms(route: _Route) -> int:
    longest_ms = max(
        EVENT_GAP_FLOOR_MS,
        EVENT_GAP_LATENCY_FACTOR * route.target_latency_ms,
        EVENT_GAP_PAUSE_FACTOR * route.target_gap_ms,
    )
    return int(longest_ms)


def _service(service: _Service) -> Service:
    engine = service.engine
    return Service(
        name=service.name,
        tokens_per_event=engine.stream_stride if engine is not None else 0,
    )
