"""Holds the settings in force and reloads the settings file in a running daemon."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import msgspec

from quincespool.settings import SettingsError

if TYPE_CHECKING:
    from collections.abc import Callable

    from quincespool.gateway.decision_log import DecisionLog
    from quincespool.gateway.settings import GatewaySettings

# The other settings are addresses, names and values that all daemons share; a daemon that changed
# them while it runs would no longer match what the other daemons know about it.
RELOADABLE_FIELDS = frozenset(
    {"addresses_valid_ms", "backends_interval_ms", "log_level", "stop_grace_s"}
)


class LiveSettings:
    """The settings of a running daemon.

    Attributes:
      current: The settings in force.
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
        """Reads the settings file again and applies what may change in a running daemon.

        If the file is invalid, the reason is logged and the settings stay as they are.
        """
        try:
            loaded = self._load()
        except SettingsError as error:
            self._log.write_always("settings not reloaded", detail=str(error))
            return
        changed = [
            name
            for name in loaded.__struct_fields__
            if getattr(loaded, name) != self._current_value(name)
        ]
        live = {name: getattr(loaded, name) for name in changed if name in RELOADABLE_FIELDS}
        self.current = msgspec.structs.replace(self.current, **live)
        logging.getLogger().setLevel(self.current.log_level.upper())
        self._log.write_always(
            "settings reloaded",
            applied=sorted(live),
            after_restart=[name for name in changed if name not in RELOADABLE_FIELDS],
        )

    def _current_value(self, name: str) -> object:
        return getattr(self.current, name)
