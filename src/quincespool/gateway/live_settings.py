"""The settings in force, and what a running daemon takes over when their file has changed."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import msgspec

from quincespool.settings import SettingsError

if TYPE_CHECKING:
    from collections.abc import Callable

    from quincespool.gateway.decision_log import DecisionLog
    from quincespool.gateway.settings import GatewaySettings

# The others are addresses, names and what all daemons share; a daemon that changed them under way
# would be another one.
LIVE_FIELDS = frozenset({"addresses_valid_ms", "backends_interval_ms", "log_level", "stop_grace_s"})


class LiveSettings:
    """Holds the settings.

    Attributes:
      current: In force.
    """

    def __init__(
        self,
        current: GatewaySettings,
        *,
        load: Callable[[], GatewaySettings],
        log: DecisionLog,
    ) -> None:
        self.current = current
        self._load = load
        self._log = log

    def reload(self) -> None:
        """Reads the file again; what is wrong with it is logged and changes nothing."""
        try:
            loaded = self._load()
        except SettingsError as error:
            self._log.write_always("settings not reloaded", detail=str(error))
            return
        changed = [
            name for name in loaded.__struct_fields__ if getattr(loaded, name) != self._get(name)
        ]
        live = {name: getattr(loaded, name) for name in changed if name in LIVE_FIELDS}
        self.current = msgspec.structs.replace(self.current, **live)
        logging.getLogger().setLevel(self.current.log_level.upper())
        self._log.write_always(
            "settings reloaded",
            applied=sorted(live),
            after_restart=[name for name in changed if name not in LIVE_FIELDS],
        )

    def _get(self, name: str) -> object:
        return getattr(self.current, name)
