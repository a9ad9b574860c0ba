"""Tests of the settings' checks."""

from __future__ import annotations

import json
from pathlib import Path
from typing import TYPE_CHECKING

import pytest

from quincespool.settings import Settings
from quincespool.settings import SettingsError
from quincespool.settings import load_settings

if TYPE_CHECKING:
    from collections.abc import Callable

FINE: dict[str, object] = {
    "member_id": "bole-1",
    "zone": "bole",
    "host": "10.0.0.7",
    "http_port": 8080,
    "peer_port": 8081,
    "log_address": "10.0.0.1:7000",
    "seeds": ["10.0.0.8:8081"],
}
GONE = object()


@pytest.fixture
def load(tmp_path: Path) -> Callable[..., Settings]:
    def load_with(changes: dict[str, object]) -> Settings:
        values = {key: value for key, value in {**FINE, **changes}.items() if value is not GONE}
        path = tmp_path / "settings.json"
        path.write_text(json.dumps(values), encoding="utf-8")
        return load_settings(path)

    return load_with


def test_fine_settings_are_loaded_with_their_defaults(load: Callable[..., Settings]) -> None:
    settings = load({"licence_ms": 2000})
    assert settings.seeds == ("10.0.0.8:8081",)
    assert (settings.licence_ms, settings.stale_after_ms) == (2000, 1500)


@pytest.mark.parametrize(
    ("changes", "says"),
    [
        ({"colour": 1}, "colour: unknown key"),
        ({"licence_s": 3}, "licence_s: unknown key; did you mean licence_ms (a whole number, mill"),
        ({"zone": GONE}, "zone: missing"),
        ({"zone": ""}, "zone: must be"),
        ({"member_id": "a:b"}, "member_id: must be"),
        ({"http_port": "8080"}, "http_port: expected int, got str"),
        ({"stale_after_ms": 1.5}, "stale_after_ms: expected int, got float (a whole number, mill"),
        ({"peer_port": 8080}, "peer_port: 8080 is http_port as well"),
        ({"http_port": 0}, "http_port: 0 is not between 1 and 65535"),
        ({"stream_count": 0}, "stream_count: 0"),
        ({"partition_count": 70_000}, "partition_count: 70000"),
        ({"host": "localhost"}, "host: 'localhost' is not an IPv4 number"),
        ({"host": "10.0.0.256"}, "host: '10.0.0.256'"),
        ({"host": "0.0.0.0"}, "host: '0.0.0.0' is not an address that others can connect to"),
        ({"log_address": "10.0.0.1"}, "log_address: '10.0.0.1' is not IP:PORT"),
        ({"log_address": "10.0.0.7:8080"}, "log_address: 10.0.0.7:8080 is this daemon's own"),
        ({"host_list_address": "10.0.0.1:x"}, "host_list_address: '10.0.0.1:x' has no port"),
        ({"seeds": ["10.0.0.7:8081"]}, "seeds[0]: 10.0.0.7:8081 is this daemon's own address"),
        ({"seeds": ["10.0.0.7:8080"]}, "seeds[0]: 10.0.0.7:8080 is this daemon's http_port"),
        ({"seeds": ["10.0.0.8:1", "10.0.0.8:1"]}, "seeds[1]: 10.0.0.8:1 is named twice"),
        ({"seeds": [5]}, "seeds: expected str, got int"),
        ({"log_level": "loud"}, "log_level: 'loud' is none of debug"),
    ],
)
def test_a_fault_is_one_line_that_names_the_key(
    load: Callable[..., Settings], changes: dict[str, object], says: str
) -> None:
    with pytest.raises(SettingsError) as raised:
        load(changes)
    assert f"settings.json: {says}" in str(raised.value)
    assert "\n" not in str(raised.value)


@pytest.mark.parametrize("text", ["{", "[]", "", "\xff"])
def test_what_is_no_settings_file_is_refused(tmp_path: Path, text: str) -> None:
    path = tmp_path / "settings.json"
    path.write_bytes(text.encode("latin-1"))
    with pytest.raises(SettingsError):
        load_settings(path)
    with pytest.raises(SettingsError, match="cannot be read"):
        load_settings(tmp_path / "missing.json")


def test_the_operators_page_names_every_key() -> None:
    page = (Path(__file__).parents[1] / "docs" / "operating.md").read_text(encoding="utf-8")
    for key in Settings.__struct_fields__:
        assert f"| `{key}` |" in page
