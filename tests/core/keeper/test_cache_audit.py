"""Tests of the cache audit: no engine memory stays held by programs that have ended."""

from __future__ import annotations

import json

import pytest

from quincespool.core import effects as fx
from quincespool.core import events as ev
from quincespool.core import messages as ms
from quincespool.core.keeper.cache_audit import MAX_PROGRAMS_PER_MESSAGE
from quincespool.core.keeper.cache_audit import MAX_PROGRAMS_PER_PERIOD
from quincespool.core.placement import partition_of
from tests.core.keeper import keeper_bench as kb
from tests.core.keeper.keeper_bench import Bench


@pytest.fixture
def bench() -> Bench:
    bench = Bench()
    for number in range(8):
        bench.claims.holders[f"partition/{number}"] = "o1"
    return bench


def take_over(bench: Bench) -> fx.StartExchange:
    """Takes the engine over; returns the listing asked for."""
    event = ev.LedgerAdvanced("programs-0", 1, True, 0, ("backend/e", "backend/s"), ())
    [listing] = kb.of(bench.give(event), fx.StartExchange)
    assert (listing.method, listing.path) == ("GET", "/v1/cache")
    return listing


def list_cache(bench: Bench, exchange_id: int, program_ids: list[str]) -> fx.Effects:
    programs = [{"program_id": one, "tokens": 1} for one in program_ids]
    bench.give(ev.ExchangeHead(exchange_id, 200, {}))
    bench.give(ev.ExchangeData(exchange_id, json.dumps({"programs": programs}).encode()))
    return bench.give(ev.ExchangeEnd(exchange_id))


def released(effects: fx.Effects) -> list[str]:
    starts = [
        start for start in kb.of(effects, fx.StartExchange) if start.path == "/v1/cache/release"
    ]
    assert all(dict(start.headers)["x-fencing-number"] == "41" for start in starts)
    return [json.loads(start.body)["program_id"] for start in starts]


def test_ended_programs_are_released_on_taking_over(bench: Bench) -> None:
    """An engine's cache stays full of programs that have ended.

    They ended while the engine had no keeper, so the owner's `ms.CacheRelease` reached nobody. The
    next keeper knows none of them; what it runs itself must stay.
    """
    bench.tell("o1", kb.dispatch("a", program_id="running"))
    listing = take_over(bench)
    cached = ["lost", "open", "over", "running"]
    [asked] = kb.told(list_cache(bench, listing.exchange_id, cached), ms.ProgramsAsked)
    assert asked.program_ids == ("lost", "open", "over")
    answer = ms.ProgramsOver(asked.ticket, "e", ("over", "not asked"), ("lost",))
    assert released(bench.tell("o2", answer)) == []
    assert released(bench.tell("o1", answer)) == ["over", "lost"]
    assert released(bench.tell("o1", answer)) == []


def test_unknown_counts_only_from_the_owner(bench: Bench) -> None:
    """A living program's cache is dropped: its partition moved while its old owner was asked."""
    listing = take_over(bench)
    [asked] = kb.told(list_cache(bench, listing.exchange_id, ["p"]), ms.ProgramsAsked)
    bench.claims.holders[partition_of("p", 8)] = "o2"
    assert released(bench.tell("o1", ms.ProgramsOver(asked.ticket, "e", (), ("p",)))) == []


def test_failed_release_is_found_by_the_next_audit(bench: Bench) -> None:
    """An ended program holds memory for good: the engine could not be reached for the release."""
    listing = take_over(bench)
    bench.give(ev.ExchangeFailed(listing.exchange_id, sent=False, cut=True, detail="refused"))
    effects = bench.tell("o1", ms.CacheRelease("e", "p"))
    assert released(effects) == ["p"]
    [release] = kb.of(effects, fx.StartExchange)
    bench.give(ev.ExchangeFailed(release.exchange_id, sent=False, cut=True, detail="refused"))
    [listing] = kb.of(bench.wait(5000), fx.StartExchange)
    [asked] = kb.told(list_cache(bench, listing.exchange_id, ["p"]), ms.ProgramsAsked)
    assert released(bench.tell("o1", ms.ProgramsOver(asked.ticket, "e", ("p",), ()))) == ["p"]


def test_work_is_bounded_and_gets_round(bench: Bench) -> None:
    program_ids = [f"p{number:04}" for number in range(MAX_PROGRAMS_PER_PERIOD + 100)]
    listing = take_over(bench)
    first = kb.told(list_cache(bench, listing.exchange_id, program_ids), ms.ProgramsAsked)
    assert max(len(one.program_ids) for one in first) <= MAX_PROGRAMS_PER_MESSAGE
    [listing] = kb.of(bench.wait(5000), fx.StartExchange)
    second = kb.told(list_cache(bench, listing.exchange_id, program_ids), ms.ProgramsAsked)
    asked = [one for message in first for one in message.program_ids]
    assert len(asked) == MAX_PROGRAMS_PER_PERIOD
    asked += [one for message in second for one in message.program_ids]
    assert set(asked) == set(program_ids)
    over = second[0]
    effects = bench.tell("o1", ms.ProgramsOver(over.ticket, "e", over.program_ids, ()))
    assert len(released(effects)) == 4
    [first_release, *_] = kb.of(effects, fx.StartExchange)
    bench.give(ev.ExchangeHead(first_release.exchange_id, 200, {}))
    assert len(released(bench.give(ev.ExchangeEnd(first_release.exchange_id)))) == 1


def test_audit_ends_with_the_claim(bench: Bench) -> None:
    take_over(bench)
    bench.claims.holders["backend/e"] = "o2"
    bench.give(ev.LedgerAdvanced("programs-0", 2, True, 0, ("backend/e",), ()))
    assert kb.of(bench.wait(20_000), fx.StartExchange) == []
