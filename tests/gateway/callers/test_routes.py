"""Tests of the selection of route, service and account."""

from __future__ import annotations

from quincespool.gateway.callers.routes import STORE_AWAY_RETRY_MS
from quincespool.gateway.callers.routes import UNCONFIGURED_RETRY_MS
from quincespool.gateway.callers.routes import RouteTable
from quincespool.gateway.model import Account
from quincespool.gateway.model import Accounts
from quincespool.gateway.model import Call
from quincespool.gateway.model import CallerLimits
from quincespool.gateway.model import CallKind
from quincespool.gateway.model import Configuration
from quincespool.gateway.model import Route
from quincespool.gateway.model import Service
from quincespool.gateway.model import WeightedService
from quincespool.gateway.model import digest_key
from quincespool.policy.urgency import Rank


def _route(prefix: str, *shares: WeightedService) -> Route:
    return Route(prefix, "h", prefix, CallKind.IDEMPOTENT, shares, 1000, 100, 1, 1, False, 0)


def _configuration(version: int, *routes: Route) -> Configuration:
    services = {name: Service(name, 0) for name in ("s", "t")}
    return Configuration(version, routes, services, CallerLimits())


def _call(target: str, call_id: str = "c", host: str = "h") -> Call:
    return Call(call_id, "GET", host, target, (), b"", 1000, None)


def _with_accounts(version: int, keys: dict[str, str], *routes: Route) -> Configuration:
    """Returns a configuration whose account `ranked` has rank 0 instead of the route's rank."""
    by_name = {"ranked": Account("ranked", 0, 0, 0), "plain": Account("plain", None, 0, 0)}
    by_key = {digest_key(key): name for key, name in keys.items()}
    return _configuration(version, *routes)._replace(accounts=Accounts(by_name, by_key))


def _call_with(key: str, target: str = "/a/x") -> Call:
    return _call(target)._replace(key_digest=digest_key(key) if key else "")


def test_a_key_selects_the_account() -> None:
    table = RouteTable(is_store_responsive=lambda: True)
    route = _route("/a/", WeightedService("s", 1))
    table.adopt(_with_accounts(1, {"k1": "ranked", "k2": "plain"}, route))

    ranked, plain = table.decide(_call_with("k1")).ok, table.decide(_call_with("k2")).ok
    assert (ranked.account, ranked.rank) == ("ranked", Rank(0, route.rank))
    assert (plain.account, plain.rank) == ("plain", Rank(route.rank))
    for key in ("", "k3", "ranked"):
        assert table.decide(_call_with(key)).error.status == 401
    assert table.decide(_call_with("k3", "/b/")).error.status == 404


def test_a_public_route_needs_no_key_and_selects_no_account() -> None:
    table = RouteTable(is_store_responsive=lambda: True)
    public = _route("/a/", WeightedService("s", 1))._replace(is_public=True)
    table.adopt(_with_accounts(1, {"k1": "ranked"}, public))

    for key in ("", "k1", "k3"):
        assert table.decide(_call_with(key)).ok.account == ""


def test_a_removed_key_is_refused() -> None:
    table = RouteTable(is_store_responsive=lambda: True)
    route = _route("/a/", WeightedService("s", 1))
    table.adopt(_with_accounts(2, {"k2": "plain"}, route))
    assert not table.adopt(_with_accounts(1, {"k1": "ranked", "k2": "plain"}, route))

    assert table.decide(_call_with("k1")).error.status == 401
    assert table.decide(_call_with("k2")).is_ok()


def test_the_longest_prefix_wins() -> None:
    table = RouteTable(is_store_responsive=lambda: True)
    table.adopt(
        _configuration(
            1, _route("/a/", WeightedService("s", 1)), _route("/a/b/", WeightedService("t", 1))
        )
    )

    assert table.decide(_call("/a/x")).ok.service.name == "s"
    assert table.decide(_call("/a/b/x")).ok.service.name == "t"
    assert table.decide(_call("/b/")).error.status == 404
    assert table.decide(_call("/a/x", host="other")).error.status == 404


def test_without_a_configuration_calls_get_503_instead_of_404() -> None:
    """Guards against valid requests getting 404 right after a start.

    A daemon that starts while the store is unreachable knows no routes yet, so it can't tell which
    requests are allowed.
    """
    refusal = RouteTable(is_store_responsive=lambda: True).decide(_call("/a/")).error
    assert refusal.status == 503
    assert refusal.retry_after_ms == UNCONFIGURED_RETRY_MS


def test_callers_retry_later_while_no_configuration_can_be_read() -> None:
    """Guards against programs failing in an outage of the store during which daemons restart.

    All daemons are restarted while the store is unreachable. Callers are refused, and must not be
    told to retry at once, or they use up their attempts before a configuration can be read.
    """
    refusal = RouteTable(is_store_responsive=lambda: False).decide(_call("/a/")).error
    assert refusal.retry_after_ms == STORE_AWAY_RETRY_MS


def test_an_older_configuration_is_not_applied() -> None:
    table = RouteTable(is_store_responsive=lambda: True)
    assert table.adopt(_configuration(7, _route("/new/", WeightedService("s", 1))))
    assert not table.adopt(_configuration(5, _route("/old/", WeightedService("s", 1))))
    assert not table.adopt(_configuration(7, _route("/old/", WeightedService("s", 1))))

    assert table.decide(_call("/new/")).is_ok()
    assert table.decide(_call("/old/")).is_error()


def test_shares_are_drawn_by_weight() -> None:
    table = RouteTable(is_store_responsive=lambda: True)
    table.adopt(
        _configuration(1, _route("/a/", WeightedService("s", 90), WeightedService("t", 10)))
    )
    drawn = [table.decide(_call("/a/", f"c{n}")).ok.service.name for n in range(2_000)]

    assert 120 < drawn.count("t") < 280
