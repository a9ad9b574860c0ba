"""The reload of a changed settings file in a running daemon."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from quincespool.gateway.decision_log import DecisionLog
from quincespool.gateway.live_settings import LiveSettings
from quincespool.gateway.settings import GatewaySettings
from quincespool.gateway.settings import load_gateway_settings

if TYPE_CHECKING:
    from pathlib import Path

    import pytest

SETTINGS = GatewaySettings(
    member_id="a",
    zone="z",
    host="127.0.0.1",
    caller_address="127.0.0.1:1",
    ready_address="127.0.0.1:2",
    directory_address="127.0.0.1:3",
    metrics_port=4,
    peer_port=5,
    store_address="127.0.0.1:6",
    store_partitions=8,
)


def _reload(path: Path, changes: dict[str, object]) -> LiveSettings:
    path.write_bytes(msgspec.json.encode(msgspec.to_builtins(SETTINGS) | changes))
    log = DecisionLog(lambda: 0.0)
    live = LiveSettings(SETTINGS, load=lambda: load_gateway_settings(path), log=log)
    live.reload()
    return live


def test_only_reloadable_settings_are_applied(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    live = _reload(tmp_path / "s.json", {"addresses_valid_ms": 300, "peer_port": 9})

    assert live.current == msgspec.structs.replace(SETTINGS, addresses_valid_ms=300)
    line = caplog.records[-1].msg
    assert isinstance(line, dict)
    assert (line["applied"], line["after_restart"]) == (["addresses_valid_ms"], ["peer_port"])


def test_an_invalid_file_changes_nothing(tmp_path: Path, caplog: pytest.LogCaptureFixture) -> None:
    live = _reload(tmp_path / "s.json", {"addresses_valid_ms": 300, "stop_grace_s": -1})

    assert live.current == SETTINGS
    assert "stop_grace_s" in str(caplog.records[-1].msg)
