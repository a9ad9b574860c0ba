"""Selects the route, service and account of a call from the current configuration."""

from __future__ import annotations

import asyncio
import hashlib
from typing import TYPE_CHECKING

from expression import Error
from expression import Ok
from expression import Result

from quincespool.gateway.model import Configuration
from quincespool.gateway.model import Decision
from quincespool.gateway.model import Refusal
from quincespool.gateway.model import Service
from quincespool.gateway.model import not_run
from quincespool.policy.urgency import Rank
from quincespool.policy.urgency import make_rank

if TYPE_CHECKING:
    from collections.abc import Callable

    from quincespool.gateway.model import Account
    from quincespool.gateway.model import Call
    from quincespool.gateway.model import Route

# A daemon that has just started reads its configuration within some tens of milliseconds. While the
# store is unreachable, callers should wait longer before a retry, as they make only a few attempts.
UNCONFIGURED_RETRY_MS = 100
STORE_AWAY_RETRY_MS = 1_000


class RouteTable:
    """Routes of the newest known configuration; never returns to an older version.

    Attributes:
      configuration: Current configuration; None before the first one.
      configured: Set when the first configuration is adopted.
    """

    def __init__(self, *, is_store_responsive: Callable[[], bool]) -> None:
        self.configuration: Configuration | None = None
        self.configured = asyncio.Event()
        self._is_store_responsive = is_store_responsive
        self._by_host: dict[str, list[Route]] = {}

    @property
    def version(self) -> int:
        """Version of the current configuration; 0 before the first one."""
        return self.configuration.version if self.configuration is not None else 0

    def adopt(self, configuration: Configuration) -> bool:
        """Applies a configuration if it is newer than the current one; returns whether it was."""
        if configuration.version <= self.version:
            return False
        by_host: dict[str, list[Route]] = {}
        for route in configuration.routes:
            by_host.setdefault(route.host, []).append(route)
        for routes in by_host.values():
            routes.sort(key=lambda route: len(route.path_prefix), reverse=True)
        self.configuration = configuration
        self.configured.set()
        self._by_host = by_host
        return True

    def account(self, name: str) -> Account | None:
        """Returns an account of the current configuration; None if no account has that name."""
        configuration = self.configuration
        if configuration is None or configuration.accounts is None:
            return None
        return configuration.accounts.by_name.get(name)

    def decide(self, call: Call) -> Result[Decision, Refusal]:
        """Returns the route with the longest matching prefix, a service and the account.

        The service is drawn by weight. The error is the refusal of a call without a matching route
        or with an unknown key.
        """
        configuration = self.configuration
        if configuration is None:
            retry_ms = UNCONFIGURED_RETRY_MS if self._is_store_responsive() else STORE_AWAY_RETRY_MS
            return Error(not_run("no_configuration", retry_after_ms=retry_ms))
        for route in self._by_host.get(call.host, ()):
            if call.target.startswith(route.path_prefix):
                return _decide(configuration, route, call)
        return Error(not_run("no_route", status=404))


def _decide(configuration: Configuration, route: Route, call: Call) -> Result[Decision, Refusal]:
    service = _draw(configuration, route, call)
    accounts = configuration.accounts
    if accounts is None or route.is_public:
        return Ok(Decision(configuration.version, route, service, Rank(route.rank)))
    name = accounts.by_key.get(call.key_digest)
    if name is None:
        return Error(not_run("unknown_key", status=401))
    rank = make_rank(account_rank=accounts.by_name[name].rank, route_rank=route.rank)
    return Ok(Decision(configuration.version, route, service, rank, name))


def _draw(configuration: Configuration, route: Route, call: Call) -> Service:
    """Returns a service drawn by weight and by a hash of the program.

    The turns of one program get the same service, so that they share an engine's cache.
    """
    key = call.turn.program_id if call.turn is not None else call.call_id
    total = sum(share.weight for share in route.weighted_services)
    digest = hashlib.blake2b(f"{route.name}|{key}".encode(), digest_size=8).digest()
    point = int.from_bytes(digest, "big") % max(1, total)
    for share in route.weighted_services:
        point -= share.weight
        if point < 0:
            return configuration.services[share.service]
    return configuration.services[route.weighted_services[0].service]
