"""`quincespool check`: checks a settings file without starting anything."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

from quincespool.cli.command import command
from quincespool.cli.errors import usage_error
from quincespool.settings import SettingsError
from quincespool.settings import load_settings

if TYPE_CHECKING:
    from quincespool.settings import Settings


@command("settings")
def check(settings: str) -> int:
    """Checks a settings file; names the first key at fault and exits with 2 if there is one.

    Examples:
      quincespool check settings.json

    Args:
      settings: Path of the settings file.
    """
    loaded = read_settings(settings)
    print(
        f"{settings}: fine; {loaded.member_id} in {loaded.zone}"
        f" on {loaded.host}, http {loaded.http_port}, peers {loaded.peer_port}"
    )
    return 0


def read_settings(path: str) -> Settings:
    """Returns the settings in a file.

    Raises:
      CommandError: with exit code 2, naming the key at fault.
    """
    try:
        return load_settings(Path(path))
    except SettingsError as error:
        raise usage_error(str(error)) from error
