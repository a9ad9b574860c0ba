"""Tests of records of operators and backend servers, in the form that the platform documents."""

from __future__ import annotations

import msgspec
import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from quincespool.gateway.model import Account
from quincespool.gateway.model import Accounts
from quincespool.gateway.model import CallKind
from quincespool.gateway.model import Daemon
from quincespool.gateway.model import WeightedService
from quincespool.gateway.model import digest_key
from quincespool.platform.entries import read_backend
from quincespool.platform.entries import read_configuration
from quincespool.platform.entries import read_daemon
from quincespool.platform.entries import write_daemon

CONFIGURATION = b"""{"version":7,"routes":[{"name":"r-2b9wu3f","hostname":"Ficu95.example",
"path_prefix":"/pufi791/","kind":"streaming","timeout_ms":4000,"target_latency_ms":250,"priority":0,
"service":"huvo11a","max_attempts":2,"retain_context":true,"retention_s":60.0,"sticky_sessions":true,
"resumable":false,"target_gap_ms":200},{"name":"r-i9n73hh","hostname":"ficu95.example",
"path_prefix":"/lohu930/","kind":"idempotent","timeout_ms":4000,"target_latency_ms":250,"priority":1,
"weighted_backends":[{"service":"huvo11a","weight":90},{"service":"wuno96b","weight":10}],
"max_attempts":2}],"services":[{"name":"huvo11a","health_check":"/healthz","max_connections":150,
"protocol":"h1","tls":false,"engine":{"slots":12,"kv_capacity":95312,"stream_stride":9,"pin_ms":4000.0}},
{"name":"wuno96b","health_check":"/healthz","max_connections":96}],"limits":{"max_header_bytes":16384,
"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"""


TENANTS = [
    {"name": "hule930", "api_keys": ["k1", "k2"], "priority": 1, "rate_per_s": 183, "burst": 90},
    {"name": "other", "api_keys": ["k3"]},
]


def _with_tenants(tenants: object) -> bytes:
    return msgspec.json.encode({**msgspec.json.decode(CONFIGURATION), "tenants": tenants})


def test_accounts_are_read_without_their_keys() -> None:
    configuration = read_configuration(_with_tenants(TENANTS))
    accounts = configuration.accounts

    assert accounts is not None
    assert accounts.by_name["hule930"] == Account("hule930", 1, 183.0, 90)
    assert accounts.by_name["other"] == Account("other", None, 0.0, 0)
    assert accounts.by_key[digest_key("k2")] == "hule930"
    assert "k1" not in repr(configuration).replace(digest_key("k1"), "")


def test_missing_accounts_differ_from_an_empty_list() -> None:
    assert read_configuration(CONFIGURATION).accounts is None
    assert read_configuration(_with_tenants([])).accounts == Accounts({}, {})


@pytest.mark.parametrize(
    "tenants",
    [
        [{"name": "a", "api_keys": ["k"]}, {"name": "b", "api_keys": ["k"]}],
        [{"name": "a b", "api_keys": []}],
        [{"name": "", "api_keys": []}],
        [{"name": "a", "rate_per_s": -1}],
        [{"api_keys": ["k"]}],
    ],
)
def test_invalid_accounts_are_rejected(tenants: object) -> None:
    with pytest.raises(msgspec.ValidationError):
        read_configuration(_with_tenants(tenants))


def test_a_configuration_is_read() -> None:
    configuration = read_configuration(CONFIGURATION)
    first, second = configuration.routes

    assert configuration.version == 7
    assert (first.host, first.kind, first.keeps_history) == (
        "ficu95.example",
        CallKind.STREAMING,
        True,
    )
    assert first.retention_ms == 60_000
    assert first.max_event_gap_ms == 2_000
    assert first.weighted_services == (WeightedService("huvo11a", 1),)
    assert second.weighted_services == (
        WeightedService("huvo11a", 90),
        WeightedService("wuno96b", 10),
    )
    assert configuration.services["huvo11a"].tokens_per_event == 9
    assert configuration.services["wuno96b"].tokens_per_event == 0
    assert configuration.limits.max_head_bytes == 16_384


@pytest.mark.parametrize(
    ("latency", "gap", "patience_ms"), [(250, 200, 2_000), (200, 300, 2_400), (900, 300, 3_600)]
)
def test_the_longest_gap_between_events_depends_on_the_route(
    latency: int, gap: int, patience_ms: int
) -> None:
    """Guards against turns being cut off and run again although the store is back in time.

    The store is unreachable for two seconds at the end of turns whose callers wait for 2,400 ms.
    The time that callers wait must be that of their route, not one value for all routes.
    """
    changed = CONFIGURATION.replace(
        b'"target_latency_ms":250', f'"target_latency_ms":{latency}'.encode()
    )
    changed = changed.replace(b'"target_gap_ms":200', f'"target_gap_ms":{gap}'.encode())
    assert read_configuration(changed).routes[0].max_event_gap_ms == patience_ms


@pytest.mark.parametrize("value", [b"", b"{", b"[]", b'{"version":"7"}', CONFIGURATION[:-9]])
def test_an_invalid_configuration_raises(value: bytes) -> None:
    with pytest.raises(msgspec.MsgspecError):
        read_configuration(value)


def test_an_entry_of_a_backend_server_is_read() -> None:
    value = (
        b'{"service":"huvo11a","address":"10.128.0.9:8080","zone":"bole","version":"v1","slots":12,'
        b'"state":"draining","cold_remaining_ms":0,"phase":"both","models":[],"sequence":4}'
    )
    entry = read_backend("i-7f3a91c2", value)

    assert (entry.backend_id, entry.slots, entry.leaving) == ("i-7f3a91c2", 12, True)


FIELDS: dict[str, object] = {
    "service": "model",
    "address": "10.0.0.9:80",
    "zone": "z",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold_remaining_ms": 0,
    "sequence": 3,
    "born": 1_790_000_000_000,
}


def test_the_start_time_of_a_backend_server_is_read() -> None:
    assert read_backend("e", msgspec.json.encode(FIELDS)).born_ms == 1_790_000_000_000
    without = {name: value for name, value in FIELDS.items() if name != "born"}
    assert read_backend("e", msgspec.json.encode(without)).born_ms is None


@pytest.mark.parametrize("name", [name for name in FIELDS if name != "born"])
def test_an_entry_with_a_missing_field_is_rejected(name: str) -> None:
    """Guards against calls being sent to an address that no backend server has.

    Another program writes an entry under a backend server's key. Missing fields must not be filled
    with defaults.
    """
    without = {field: value for field, value in FIELDS.items() if field != name}
    with pytest.raises(msgspec.MsgspecError):
        read_backend("e", msgspec.json.encode(without))


@pytest.mark.parametrize(
    "changes",
    [
        {"state": "resting"},
        {"slots": 0},
        {"slots": "8"},
        {"slots": -3},
        {"slots": 10**30},
        {"address": "nowhere"},
        {"address": "10.0.0.9:99999"},
        {"address": "0.0.0.0:80"},
        {"cold_remaining_ms": -1},
        {"cold_remaining_ms": 1e300},
        {"sequence": "many"},
        {"service": 7},
        {"born": None},
        {"born": "1790000000000"},
        {"born": 1.5},
        {"born": True},
        {"born": -1},
    ],
)
def test_an_entry_with_an_invalid_field_is_rejected(changes: dict[str, object]) -> None:
    with pytest.raises(msgspec.MsgspecError):
        read_backend("e", msgspec.json.encode({**FIELDS, **changes}))


@settings(derandomize=True, deadline=None)
@given(
    st.one_of(
        st.binary(max_size=200),
        st.dictionaries(
            st.sampled_from(list(FIELDS)),
            st.one_of(
                st.none(),
                st.booleans(),
                st.integers(),
                st.floats(),
                st.text("0123456789:.ab", max_size=9),
            ),
        ).map(lambda changes: msgspec.json.encode({**FIELDS, **changes})),
    )
)
def test_any_record_gives_a_valid_entry_or_a_decode_error(value: bytes) -> None:
    """An error of another type would end the task that follows the entries without a report."""
    try:
        entry = read_backend("e", value)
    except msgspec.MsgspecError:
        return
    assert entry.slots > 0
    assert ":" in entry.address


def test_a_daemon_reads_what_another_one_wrote() -> None:
    daemon = Daemon("a", 7, "bole", "10.1.0.1:80", "10.1.0.1:81")
    assert read_daemon("a", write_daemon(daemon)) == daemon
