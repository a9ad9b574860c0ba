"""Checks that the program starts no other process, from source or as the one-file build.

`QUINCESPOOL_BINARY` names the build; without it the source is run.
"""

from __future__ import annotations

import json
import os
import socket
import subprocess
import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING

import pytest

from quincespool.cli.client import request
from quincespool.settings import load_settings

if TYPE_CHECKING:
    from quincespool.settings import Settings
    from tests.support.standins.log_service import LogService

# Read by the interpreter before the program; an audit hook sees also the shortest-lived child.
HOOK = """
import os, sys
def watch(event, arguments):
    if event in {"os.fork", "os.forkpty", "os.posix_spawn", "os.system", "os.exec",
                 "subprocess.Popen"}:
        os.write(2, f"STARTED A PROCESS: {event}\\n".encode())
        os._exit(99)
sys.addaudithook(watch)
"""


BINARY = os.environ.get("QUINCESPOOL_BINARY")
SOURCE = str(Path(__file__).parents[2] / "src")
PROGRAM = [sys.executable, BINARY] if BINARY else [sys.executable, "-m", "quincespool"]


@pytest.fixture
def environment(tmp_path: Path) -> dict[str, str]:
    (tmp_path / "sitecustomize.py").write_text(HOOK, encoding="utf-8")
    path = [str(tmp_path)] if BINARY else [str(tmp_path), SOURCE]
    shiv_root = str(tmp_path / "shiv")
    return {**os.environ, "PYTHONPATH": os.pathsep.join(path), "SHIV_ROOT": shiv_root}


@pytest.fixture
def settings(tmp_path: Path, log: LogService) -> Settings:
    place = {"member_id": "a", "zone": "bole", "host": "127.0.0.1", "log_address": log.address}
    with socket.socket() as http, socket.socket() as peers:
        http.bind(("127.0.0.1", 0))
        peers.bind(("127.0.0.1", 0))
        ports = {"http_port": http.getsockname()[1], "peer_port": peers.getsockname()[1]}
    (tmp_path / "settings.json").write_text(json.dumps({**place, **ports}), encoding="utf-8")
    return load_settings(tmp_path / "settings.json")


def test_the_watch_sees_a_child(environment: dict[str, str]) -> None:
    code = "import subprocess; subprocess.run(['true'])"
    run = subprocess.run([sys.executable, "-c", code], env=environment, check=False)
    assert run.returncode == 99


def test_no_command_starts_a_process(
    environment: dict[str, str], tmp_path: Path, settings: Settings
) -> None:
    path = str(tmp_path / "settings.json")
    for arguments in (["--help"], ["check", path]):
        run = subprocess.run([*PROGRAM, *arguments], env=environment, check=False, timeout=60)
        assert run.returncode == 0

    with subprocess.Popen([*PROGRAM, "serve", path], env=environment) as daemon:
        try:
            while request(f"127.0.0.1:{settings.http_port}", "GET", "/v1/dump").is_error():
                assert daemon.poll() is None
                time.sleep(0.05)
            children = Path(f"/proc/{daemon.pid}/task/{daemon.pid}/children")
            assert children.read_text(encoding="utf-8") == ""
            daemon.terminate()
            assert daemon.wait(timeout=60) == 0
        finally:
            daemon.kill()
