"""`quincespool gateway`: runs a gateway daemon on the users' platform."""

from __future__ import annotations

import asyncio
import functools
import os
from pathlib import Path
from typing import NoReturn

from quincespool.cli.command import command
from quincespool.cli.errors import usage_error
from quincespool.gateway.settings import load_gateway_settings
from quincespool.logs import write_line
from quincespool.settings import SettingsError

SETTINGS_VARIABLE = "QUINCESPOOL_NODE_FILE"


@command("settings")
def gateway(settings: str = "") -> NoReturn:
    """Runs a gateway daemon until SIGTERM, then ends the process.

    Logs JSON lines on standard output. Exits with 0 after a planned stop.

    Examples:
      quincespool gateway settings.json

    Args:
      settings: Path of the settings file; from QUINCESPOOL_NODE_FILE if not given.
    """
    path = settings or os.environ.get(SETTINGS_VARIABLE, "")
    if not path:
        raise usage_error(f"no settings: name a file or set {SETTINGS_VARIABLE}")
    load = functools.partial(load_gateway_settings, Path(path))
    try:
        loaded = load()
    except SettingsError as error:
        raise usage_error(str(error)) from error
    # Imported here, so that the commands that only ask a daemon don't load the whole of it.
    from quincespool.gateway.event_loop import make_event_loop  # noqa: PLC0415
    from quincespool.platform.serve import serve  # noqa: PLC0415

    with asyncio.Runner(loop_factory=make_event_loop) as runner:
        runner.run(serve(loaded, load_settings=load))
    # Tells a task that does not end from a process that does not.
    write_line("warning", "event loop closed")
    # On a busy host the interpreter needs seconds to free all objects, beyond the stop's grace.
    os._exit(0)
