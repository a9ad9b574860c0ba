"""Stand-ins and daemons as processes on loopback, for tests and the demo."""

from __future__ import annotations

import contextlib
import http.client
import os
import socket
import subprocess
import sys
import time
import uuid
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any
from typing import Self

import msgspec

if TYPE_CHECKING:
    import signal
    from collections.abc import Mapping

_REPOSITORY = Path(__file__).parents[2]
_POLL_S = 0.02
_READY_LIMIT_S = 30


class Process:
    """A process that the cluster started; its output goes to files.

    Attributes:
      name: Unique in the cluster.
      address: Where it listens, as `IP:PORT`.
    """

    def __init__(self, name: str, arguments: list[str], folder: Path) -> None:
        self.name = name
        self.address = ""
        self.arguments = arguments
        self._output = folder / f"{name}.out"
        self._errors = folder / f"{name}.err"
        self._starts = 0
        self._popen = self._spawn()

    @property
    def running(self) -> bool:
        """Whether the process has not ended yet."""
        return self._popen.poll() is None

    @property
    def process_id(self) -> int:
        """Of the process that was started last."""
        return self._popen.pid

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal: SIGSTOP, SIGCONT, SIGTERM (planned stop) or SIGKILL."""
        self._popen.send_signal(number)

    def kill(self) -> None:
        """Kills the process, stopped or not, and waits for its end."""
        self._popen.kill()
        self._popen.wait()

    def wait(self, limit_s: float = 30) -> int:
        """Waits for the end and returns the exit code."""
        return self._popen.wait(limit_s)

    def restart(self) -> None:
        """Starts the process anew with the same arguments; it must have ended."""
        self._popen = self._spawn()

    def logs(self) -> str:
        """Returns all it has written, over all restarts."""
        return self._output.read_text() + self._errors.read_text()

    def read_port(self) -> int:
        """Waits for the line that a stand-in prints when it is ready."""
        limit_s = time.monotonic() + _READY_LIMIT_S
        while time.monotonic() < limit_s and self.running:
            lines = self._output.read_text().split("\n")[:-1]
            if len(lines) == self._starts:
                return int(msgspec.json.decode(lines[-1])["port"])
            time.sleep(_POLL_S)
        raise RuntimeError(f"{self.name} did not start: {self.logs()}")

    def _spawn(self) -> subprocess.Popen[bytes]:
        self._starts += 1
        paths = os.pathsep.join([str(_REPOSITORY / "src"), str(_REPOSITORY)])
        with self._output.open("ab") as output, self._errors.open("ab") as errors:
            return subprocess.Popen(
                [sys.executable, "-m", *self.arguments],
                cwd=_REPOSITORY,
                env={**os.environ, "PYTHONPATH": paths},
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=errors,
            )


class Cluster:
    """A log service, other stand-ins and daemons; a context manager that ends them all.

    Args:
      folder: For settings and output.
      settings: Of every daemon, over the defaults; see `quincespool.settings.Settings`.
    """

    def __init__(self, folder: Path, *, settings: Mapping[str, object] | None = None) -> None:
        self.processes: dict[str, Process] = {}
        self._folder = folder
        self._settings = dict(settings or {})
        self._daemons: dict[str, dict[str, Any]] = {}

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_: object) -> None:
        for process in self.processes.values():
            process.kill()

    def __getitem__(self, name: str) -> Process:
        return self.processes[name]

    @property
    def daemon_addresses(self) -> list[str]:
        """HTTP addresses of all daemons, running or not."""
        return [self.processes[name].address for name in self._daemons]

    def start_stand_in(self, name: str, module: str, **knobs: object) -> str:
        """Starts `tests.support.standins.MODULE` and returns its address; see `http.run`."""
        options = [f"--{key.replace('_', '-')}={value}" for key, value in knobs.items()]
        process = self._start(name, [f"tests.support.standins.{module}", *options])
        process.address = f"127.0.0.1:{process.read_port()}"
        return process.address

    def restart_stand_in(self, name: str) -> None:
        """Starts a stand-in that has ended at its old address, with nothing kept."""
        process = self.processes[name]
        process.arguments.append(f"--port={process.address.rsplit(':', 1)[1]}")
        process.restart()
        process.read_port()

    def start_daemons(self, zones: Mapping[str, str]) -> None:
        """Starts daemons, each at an IP number of its own and with all others as its seeds.

        Args:
          zones: Availability zone by daemon name.
        """
        for number, (name, zone) in enumerate(zones.items(), start=1 + len(self._daemons)):
            host = f"127.0.1.{number}"
            self._daemons[name] = {
                "member_id": name,
                "zone": zone,
                "host": host,
                "http_port": _free_port(host),
                "peer_port": _free_port(host),
                "log_address": self["log"].address,
                "host_list_address": self["hosts"].address if "hosts" in self.processes else "",
            }
        for name in zones:
            self._start_daemon(name)

    def wait_ready(self, *names: str, limit_s: float = _READY_LIMIT_S) -> None:
        """Waits until the daemons named, or all, say that they are ready.

        Raises:
          RuntimeError: with their logs, if one has ended or the limit has passed.
        """
        for name in names or self._daemons:
            end_s = time.monotonic() + limit_s
            while not self._is_ready(name):
                if time.monotonic() > end_s or not self.processes[name].running:
                    raise RuntimeError(f"{name} is not ready: {self.processes[name].logs()}")
                time.sleep(_POLL_S)

    def publish(self, entries: Mapping[str, object], *, versions: Mapping[str, int]) -> int:
        """Publishes entries in one edit and returns the offset of its record.

        Args:
          entries: By full name, None to remove.
          versions: The versions they were made from; those not named are new.
        """
        changes = [
            {"name": name, "base_version": versions.get(name, -1), "entry": entry}
            for name, entry in entries.items()
        ]
        edit_id = uuid.uuid4().hex
        edit = {"kind": "edit", "edit_id": edit_id, "editor": "cluster", "changes": changes}
        reply = self.request("log", "POST", "/streams/catalogue/records", edit)
        return int(reply["offset"])

    def control(self, name: str, **knobs: object) -> None:
        """Changes options and faults of a stand-in."""
        self.request(name, "POST", "/control", knobs)

    def counts(self, name: str) -> Any:
        """Returns what a stand-in has counted."""
        return self.request(name, "GET", "/counts")

    def request(self, name: str, method: str, path: str, value: object = None) -> Any:
        """Sends a request to a process, waits for the answer and returns it decoded.

        Raises:
          RuntimeError: if the status is not 200.
          OSError: if there is no connection or it breaks.
        """
        body = b"" if value is None else msgspec.json.encode(value)
        connection = http.client.HTTPConnection(
            self.processes[name].address, timeout=_READY_LIMIT_S
        )
        with contextlib.closing(connection):
            connection.request(method, path, body)
            response = connection.getresponse()
            answer = response.read()
        if response.status != 200:
            raise RuntimeError(f"{name} {path}: {response.status} {answer!r}")
        return msgspec.json.decode(answer)

    def _start_daemon(self, name: str) -> None:
        place = self._daemons[name]
        others = [other for at, other in self._daemons.items() if at != name]
        seeds = [f"{other['host']}:{other['peer_port']}" for other in others]
        path = self._folder / f"{name}.json"
        path.write_bytes(msgspec.json.encode({**place, "seeds": seeds, **self._settings}))
        process = self._start(name, ["quincespool", "serve", str(path)])
        process.address = f"{place['host']}:{place['http_port']}"

    def _start(self, name: str, arguments: list[str]) -> Process:
        process = Process(name, arguments, self._folder)
        self.processes[name] = process
        return process

    def _is_ready(self, name: str) -> bool:
        try:
            return bool(self.request(name, "GET", "/v1/dump")["ready"])
        except (OSError, http.client.HTTPException, RuntimeError):
            return False


def _free_port(host: str) -> int:
    """Returns a port that is free for TCP and UDP, so far as one can know beforehand."""
    with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
        tcp.bind((host, 0))
        port = int(tcp.getsockname()[1])
        udp.bind((host, port))
        return port
