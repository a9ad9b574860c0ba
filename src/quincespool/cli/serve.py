"""`quincespool serve`: runs a daemon."""

from __future__ import annotations

from quincespool.cli.check import read_settings
from quincespool.cli.command import command
from quincespool.logs import configure_logging


@command("settings")
def serve(settings: str) -> int:
    """Runs a daemon until it is drained or gets SIGTERM.

    Logs JSON lines on standard error. Exits with 0 after a planned stop.

    Examples:
      quincespool serve settings.json

    Args:
      settings: Path of the settings file.
    """
    loaded = read_settings(settings)
    configure_logging(loaded.log_level, loaded.member_id, loaded.zone)
    # Imported here, so that the commands that only ask a daemon don't load the whole of it.
    from quincespool.net.daemon import serve as serve_daemon  # noqa: PLC0415

    return serve_daemon(loaded)
