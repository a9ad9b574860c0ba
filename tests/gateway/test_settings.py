"""The gateway's settings and the template that renders them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import pytest

from quincespool.cli.main import run
from quincespool.gateway.settings import GatewaySettings
from quincespool.gateway.settings import load_gateway_settings
from quincespool.settings import SettingsError
from tests.support.deploy_template import render

if TYPE_CHECKING:
    from pathlib import Path
    from typing import Any

FIELDS: dict[str, Any] = {
    "node_name": "edge-bole-1",
    "zone": "bole",
    "ip": "10.1.0.38",
    "listen.front": "10.1.0.38:8149",
    "listen.readiness": "10.1.0.38:8141",
    "listen.directory": "10.1.0.38:8143",
    "internal_ports.0": 7380,
    "internal_ports.1": 7381,
    "platform.address": "10.200.1.7:8142",
    "platform.parts": 8,
    "platform.min_ttl_ms": 1000,
}


def _render(**more: object) -> str:
    return render({**FIELDS, **more})


def _write(folder: Path, **changes: object) -> Path:
    values = {**msgspec.json.decode(_render()), **changes}
    path = folder / "settings.json"
    path.write_bytes(msgspec.json.encode(values))
    return path


def test_the_template_renders_valid_settings(tmp_path: Path) -> None:
    settings = load_gateway_settings(_write(tmp_path))

    assert isinstance(settings, GatewaySettings)
    assert settings.caller_address == "10.1.0.38:8149"
    assert (settings.peer_port, settings.owner_lease_ms) == (7381, 1000)


def test_limit_slack_and_overage_are_those_of_the_platform_or_zero() -> None:
    bounds = {"bounds.quota_window_s": 7, "bounds.quota_slack": 20, "bounds.quota_overage": 0.1}
    without = msgspec.json.decode(_render(), type=GatewaySettings)
    given = msgspec.json.decode(_render(**bounds), type=GatewaySettings)

    assert (without.limit_slack_calls, without.limit_overage_share) == (0, 0)
    assert (given.limit_window_s, given.limit_slack_calls) == (7, 20)
    assert given.limit_overage_share == 0.1


def test_memory_and_descriptors_are_those_of_the_host() -> None:
    """Guards against daemons that bound what they hold by another host's memory."""
    stated = {"limits.memory_mb": 88, "limits.max_fds": 600}
    without = msgspec.json.decode(_render(), type=GatewaySettings)
    given = msgspec.json.decode(_render(**stated), type=GatewaySettings)

    assert (without.memory_mb, without.max_descriptors) == (128, 4_096)
    assert (given.memory_mb, given.max_descriptors) == (88, 600)


def test_store_retention_is_that_of_the_platform() -> None:
    without = msgspec.json.decode(_render(), type=GatewaySettings)
    given = msgspec.json.decode(_render(**{"platform.retention_s": 20}), type=GatewaySettings)

    assert (without.store_retention_s, given.store_retention_s) == (300, 20)


@pytest.mark.parametrize(
    ("key", "value"),
    [
        ("peer_port", 0),
        ("peer_port", "7381"),
        ("store_address", "store:80"),
        ("owner_lease_ms", 10),
        ("log_level", "loud"),
        ("unknown_key", 1),
    ],
)
def test_the_error_names_the_key_of_an_invalid_value(
    tmp_path: Path, key: str, value: object
) -> None:
    with pytest.raises(SettingsError, match=key):
        load_gateway_settings(_write(tmp_path, **{key: value}))


def test_the_command_reports_the_invalid_setting(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.delenv("QUINCESPOOL_NODE_FILE", raising=False)
    assert run(["gateway"]) == 2
    assert "QUINCESPOOL_NODE_FILE" in capsys.readouterr().err
    assert run(["gateway", str(_write(tmp_path, metrics_port=70_000))]) == 2
    assert "metrics_port" in capsys.readouterr().err
