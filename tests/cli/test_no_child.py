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

if TYPE_CHECKING:
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


@pytest.fixture
def environment(tmp_path: Path) -> dict[str, str]:
    (tmp_path / "sitecustomize.py").write_text(HOOK, encoding="utf-8")
    path = [str(tmp_path)]
    if "QUINCESPOOL_BINARY" not in os.environ:
        path.append(str(Path(__file__).parents[2] / "src"))
    shiv_root = str(tmp_path / "shiv")
    return {**os.environ, "PYTHONPATH": os.pathsep.join(path), "SHIV_ROOT": shiv_root}


@pytest.fixture
def program() -> list[str]:
    binary = os.environ.get("QUINCESPOOL_BINARY")
    return [sys.executable, binary] if binary else [sys.executable, "-m", "quincespool"]


@pytest.fixture
def settings(tmp_path: Path, log: LogService) -> dict[str, object]:
    with socket.socket() as first, socket.socket() as second:
        first.bind(("127.0.0.1", 0))
        second.bind(("127.0.0.1", 0))
        ports = {"http_port": first.getsockname()[1], "peer_port": second.getsockname()[1]}
    place = {"member_id": "a", "zone": "bole", "host": "127.0.0.1", "log_address": log.address}
    (tmp_path / "settings.json").write_text(json.dumps({**place, **ports}), encoding="utf-8")
    return {**place, **ports}


def test_the_watch_sees_a_child(environment: dict[str, str]) -> None:
    code = "import subprocess; subprocess.run(['true'])"
    run = subprocess.run([sys.executable, "-c", code], env=environment, check=False)
    assert run.returncode == 99


def test_no_command_starts_a_process(
    environment: dict[str, str], program: list[str], tmp_path: Path, settings: dict[str, object]
) -> None:
    path = str(tmp_path / "settings.json")
    for arguments in (["--help"], ["check", path]):
        run = subprocess.run([*program, *arguments], env=environment, check=False, timeout=60)
        assert run.returncode == 0

    with subprocess.Popen([*program, "serve", path], env=environment) as daemon:
        try:
            while request(f"127.0.0.1:{settings['http_port']}", "GET", "/v1/dump").is_error():
                assert daemon.poll() is None
                time.sleep(0.05)
            children = Path(f"/proc/{daemon.pid}/task/{daemon.pid}/children")
            assert children.read_text(encoding="utf-8") == ""
            daemon.terminate()
            assert daemon.wait(timeout=60) == 0
        finally:
            daemon.kill()
