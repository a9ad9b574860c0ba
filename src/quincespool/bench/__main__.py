"""Command line: takes the slopes and prints them as JSON; see docs/CAPACITY.md."""

from __future__ import annotations

import hashlib
import os
import platform
import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING

import fire
import msgspec

from quincespool.bench import cluster_slopes
from quincespool.bench import load_slopes
from quincespool.bench import memory_slopes
from quincespool.bench import message_sizes
from quincespool.bench import path_slopes
from quincespool.bench import reducer_slopes
from quincespool.bench import takeover_slopes
from quincespool.bench.figures import load_average

if TYPE_CHECKING:
    from collections.abc import Callable

SLOPES: dict[str, Callable[[], dict[str, object]]] = {
    "messages": message_sizes.measure,
    "memory": memory_slopes.measure,
    "reducer": reducer_slopes.measure,
    "path": path_slopes.measure,
    "load": load_slopes.measure,
    "takeover": takeover_slopes.measure,
    "daemons": cluster_slopes.measure,
}
PACKAGE = Path(__file__).parents[1]


def measure(only: str = "", out: str = "") -> None:
    """Takes all slopes, or those named, and writes them as JSON.

    Args:
      only: Names of slopes with commas between; all if empty.
      out: File to write to; standard output if empty.
    """
    names = only.split(",") if isinstance(only, str) and only else list(only or SLOPES)
    unknown = [name for name in names if name not in SLOPES]
    if unknown:
        raise SystemExit(f"unknown slopes {unknown}; known are {', '.join(SLOPES)}")
    figures: dict[str, object] = {"machine": _machine()}
    for name in names:
        started_s = time.monotonic()
        sys.stderr.write(f"measuring {name}, load average {load_average()}\n")
        figures[name] = SLOPES[name]()
        figures[f"{name}_took_s"] = round(time.monotonic() - started_s, 1)
    text = msgspec.json.format(msgspec.json.encode(figures, enc_hook=_plain), indent=1)
    if out:
        Path(out).write_bytes(text + b"\n")
    else:
        sys.stdout.write(text.decode() + "\n")


def _machine() -> dict[str, object]:
    pages = os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE")
    return {
        "cores": os.cpu_count(),
        "memory_gb": round(pages / 1e9),
        "python": platform.python_version(),
        "source_digest": _source_digest(),
    }


def _source_digest() -> str:
    """Returns a hash of the sources that are measured, to tell whether figures are still theirs."""
    digest = hashlib.blake2b(digest_size=6)
    for path in sorted(PACKAGE.rglob("*.py")):
        if "bench" not in path.parts:
            digest.update(path.read_bytes())
    return digest.hexdigest()


def _plain(value: object) -> object:
    raise TypeError(f"{type(value)} is no figure")


if __name__ == "__main__":
    fire.Fire(measure)
