"""Tests of the keeper: what it sends, when, and what it says of it."""

from __future__ import annotations

import json

import pytest

from quincespool.core import effects as fx
from quincespool.core import events as ev
from quincespool.core import messages as ms
from tests.core.keeper import keeper_bench as kb
from tests.core.keeper.keeper_bench import Bench


@pytest.fixture
def bench() -> Bench:
    return Bench()


def advanced(*resources: str) -> ev.LedgerAdvanced:
    return ev.LedgerAdvanced("programs-0", 1, True, 0, resources, ())


def test_model_call_is_streamed_and_settled(bench: Bench) -> None:
    [start] = kb.of(bench.tell("o1", kb.dispatch("a")), fx.StartExchange)
    body = json.loads(start.body)
    assert body["stream"] is True
    assert body["stream_options"] == {"include_usage": True}
    assert body["max_tokens"] == 9
    assert dict(start.headers)["x-fencing-number"] == "41"
    assert dict(start.headers)["x-program-id"] == "p-a"
    effects = bench.finish_chat(start.exchange_id)
    assert kb.told(effects, ms.DispatchText) == [ms.DispatchText("a", "in stock")]
    [done] = kb.told(effects, ms.DispatchDone)
    assert (done.verdict, done.finish_reason, done.body) == ("ran", "stop", b"")
    assert (done.prompt_tokens, done.cached_tokens, done.completion_tokens) == (7, 5, 2)


def test_broken_stream_is_not_taken_for_the_whole_answer(bench: Bench) -> None:
    """A pharmacist gets half an answer.

    The engine ends the response in good order in the midst of generating, without a finish reason.
    """
    bench.tell("o1", kb.dispatch("a"))
    effects = bench.finish_chat(1, b'data: {"choices":[{"delta":{"content":"in"}}]}\n\n')
    assert kb.ends(effects) == [("a", "may_have_run", "backend_failed")]


def test_duplicate_dispatch_is_sent_once(bench: Bench) -> None:
    """A plate order runs twice: the same attempt reaches the keeper twice, also after its end."""
    attempt = kb.dispatch("a", backend="s", non_idempotent=True)
    assert kb.started(bench.tell("o1", attempt)) == ["a"]
    assert kb.started(bench.tell("o1", attempt)) == []
    bench.answer(1, 200)
    bench.wait(20_000)
    assert kb.started(bench.tell("o1", attempt)) == []


def test_backend_of_another_keeper(bench: Bench) -> None:
    bench.claims.holders["backend/e"] = "o2"
    del bench.claims.epochs["backend/e"]
    effects = bench.tell("o1", kb.dispatch("a"))
    assert kb.told(effects, ms.KeeperElsewhere) == [ms.KeeperElsewhere("a", "e", "o2")]
    bench.claims.holders["backend/e"] = "k1"
    bench.claims.epochs["backend/e"] = 50
    assert kb.started(bench.tell("o1", kb.dispatch("a"))) == ["a"]


def test_superseded_owner_is_refused(bench: Bench) -> None:
    """A program's calls take effect out of order.

    An owner stands still, another takes the partition over and sends the next call; the first one
    wakes up and sends on, and what it sent before still waits in the queue.
    """
    for number in (1, 2):
        bench.tell("o2", kb.dispatch(f"busy{number}"))
    bench.tell("o1", kb.dispatch("old", program_id="p", epoch=10))
    bench.tell("o2", kb.dispatch("new", program_id="p", epoch=11))
    late = bench.tell("o1", kb.dispatch("late", program_id="p", epoch=10))
    assert kb.ends(late) == [("late", "not_run", "no_owner")]
    effects = bench.finish_chat(1)
    assert ("old", "not_run", "no_owner") in kb.ends(effects)
    assert kb.started(effects) == ["new"]


def test_leaving_backend_gets_nothing_new(bench: Bench) -> None:
    """A backend server that is leaving still gets calls that had been waiting for it."""
    for name in ("a", "b", "c"):
        bench.tell("o1", kb.dispatch(name))
    bench.members.leaving.add("127.0.0.1:e")
    assert kb.ends(bench.give(ev.HostsRead({}))) == [("c", "not_run", "no_backend")]
    assert kb.ends(bench.tell("o1", kb.dispatch("d"))) == [("d", "not_run", "no_backend")]
    assert kb.ends(bench.finish_chat(1)) == [("a", "ran", "")]


def test_order_of_the_queue_and_shedding(bench: Bench) -> None:
    for number in range(2 + 16):
        bench.tell("o1", kb.dispatch(f"n{number}", priority=5))
    worse = bench.tell("o1", kb.dispatch("worse", priority=6))
    assert kb.ends(worse) == [("worse", "not_run", "overload")]
    better = bench.tell("o1", kb.dispatch("better", priority=1))
    assert kb.ends(better) == [("n17", "not_run", "overload")]
    assert kb.started(bench.finish_chat(1)) == ["better"]
    assert kb.started(bench.finish_chat(2)) == ["n2"]
    assert bench.keeper.busy() == 16
    assert bench.keeper.holds_work("e")
    assert not bench.keeper.holds_work("s")


def test_time_limits(bench: Bench) -> None:
    """A licensed order starts after its program was told "may have run" and has gone on."""
    bench.tell("o1", kb.dispatch("a", backend="s", time_limit_ms=9000))
    bench.tell("o1", kb.dispatch("b", backend="s", time_limit_ms=9000))
    bench.tell("o1", kb.dispatch("licensed", backend="s", non_idempotent=True))
    bench.tell("o1", kb.dispatch("patient", backend="s", time_limit_ms=5000))
    assert kb.ends(bench.wait(4000)) == [("licensed", "not_run", "overload")]
    assert kb.ends(bench.wait(2000)) == [("patient", "not_run", "overload")]
    effects = bench.wait(4000)
    assert kb.ends(effects) == [
        ("a", "may_have_run", "deadline"),
        ("b", "may_have_run", "deadline"),
    ]
    assert kb.of(effects, fx.StopExchange) == [fx.StopExchange(1), fx.StopExchange(2)]


def test_cancel(bench: Bench) -> None:
    """An order is called "not run" although it ran.

    The keeper's process dies with the order sent; its successor under the same name gets the
    cancel, and knows nothing of the attempt.
    """
    for name in ("a", "b", "c"):
        bench.tell("o1", kb.dispatch(name))
    assert kb.ends(bench.tell("o2", ms.DispatchCancel("a"))) == []
    assert kb.ends(bench.tell("o1", ms.DispatchCancel("c"))) == [("c", "not_run", "cancelled")]
    effects = bench.tell("o1", ms.DispatchCancel("a"))
    assert kb.ends(effects) == [("a", "may_have_run", "cancelled")]
    assert kb.of(effects, fx.StopExchange) == [fx.StopExchange(1)]
    unknown = bench.tell("o1", ms.DispatchCancel("x"))
    assert kb.ends(unknown) == [("x", "may_have_run", "cancelled")]
    assert kb.started(bench.tell("o1", kb.dispatch("x"))) == []


@pytest.mark.parametrize(
    ("sent", "cut", "expected"),
    [
        (False, True, ("not_run", "no_backend", False)),
        (True, True, ("may_have_run", "backend_failed", True)),
        (True, False, ("may_have_run", "deadline", False)),
    ],
)
def test_exchange_breaks_off(
    bench: Bench, sent: bool, cut: bool, expected: tuple[str, str, bool]
) -> None:
    bench.tell("o1", kb.dispatch("a"))
    failed = ev.ExchangeFailed(1, sent=sent, cut=cut, detail="")
    [done] = kb.told(bench.give(failed), ms.DispatchDone)
    assert (done.verdict, done.reason, done.crashed) == expected


@pytest.mark.parametrize(
    ("backend", "checks_fencing", "status", "expected"),
    [
        ("e", True, 412, ("not_run", "no_owner", 0)),
        ("s", False, 412, ("ran", "", 0)),
        ("e", False, 429, ("not_run", "overload", 2000)),
        ("e", False, 500, ("may_have_run", "backend_failed", 0)),
        ("e", False, 400, ("ran", "", 0)),
        ("s", False, 503, ("ran", "backend_failed", 0)),
    ],
)
def test_statuses(
    bench: Bench, backend: str, checks_fencing: bool, status: int, expected: tuple[str, str, int]
) -> None:
    bench.backends[backend]["checks_fencing"] = checks_fencing
    bench.tell("o1", kb.dispatch("a", backend=backend))
    [done] = kb.told(bench.answer(1, status, {"retry-after": "2"}), ms.DispatchDone)
    assert (done.verdict, done.reason, done.retry_after_ms) == expected


def test_bodies_are_bounded(bench: Bench) -> None:
    bench.tell("o1", kb.dispatch("a", backend="s"))
    bench.give(ev.ExchangeHead(1, 200, {}))
    effects = bench.give(ev.ExchangeData(1, b"x" * 8_000_001))
    assert kb.ends(effects) == [("a", "may_have_run", "backend_failed")]
    assert kb.ends(bench.give(ev.ExchangeEnd(1))) == []
    malformed = bench.tell("o1", kb.dispatch("b", body=b"["))
    assert kb.ends(malformed) == [("b", "not_run", "malformed")]


def test_owner_is_gone(bench: Bench) -> None:
    """An order's outcome is lost although it is known.

    The owner's link breaks while the order runs. It must run on; if the owner asks again later, it
    gets the outcome. What can be repeated is stopped, or the engine works for nobody.
    """
    bench.tell("o1", kb.dispatch("plate", backend="s", non_idempotent=True))
    bench.tell("o1", kb.dispatch("chat"))
    effects = bench.give(ev.LinkDown("o1"))
    assert kb.of(effects, fx.StopExchange) == [fx.StopExchange(2)]
    bench.members.ids = ["k1", "o2"]
    bench.give(ev.MembersChanged(bench.members.alive()))
    assert kb.ends(bench.answer(1, 201)) == []
    bench.members.ids = ["k1", "o1", "o2"]
    assert kb.ends(bench.tell("o1", ms.DispatchCancel("plate"))) == [("plate", "ran", "")]


def test_process_that_stood_still(bench: Bench) -> None:
    """An order takes effect after a later call of its program.

    The keeper stands still with orders in its queue; owners give up and programs go on; the keeper
    wakes up and works its queue off. New work waits until the ledger is fresh.
    """
    for name in ("a", "b", "c"):
        bench.tell("o1", kb.dispatch(name, backend="s", non_idempotent=True))
    bench.claims.fresh = False
    assert kb.ends(bench.give(ev.Woken(60_000))) == [("c", "not_run", "no_backend")]
    bench.answer(1, 200)
    assert kb.started(bench.tell("o1", kb.dispatch("d", backend="s"))) == []
    bench.claims.fresh = True
    assert kb.started(bench.give(advanced())) == ["d"]


def test_claim_is_lost(bench: Bench) -> None:
    for name in ("a", "b", "c"):
        bench.tell("o1", kb.dispatch(name))
    bench.claims.holders["backend/e"] = "o2"
    del bench.claims.epochs["backend/e"]
    effects = bench.give(advanced("backend/e"))
    assert kb.told(effects, ms.KeeperElsewhere) == [ms.KeeperElsewhere("c", "e", "o2")]
    assert kb.ends(bench.finish_chat(1)) == [("a", "ran", "")]


def test_drain_finishes_what_runs(bench: Bench) -> None:
    for name in ("a", "b", "c"):
        bench.tell("o1", kb.dispatch(name))
    assert kb.ends(bench.give(ev.DrainRequested())) == [("c", "not_run", "draining")]
    assert kb.ends(bench.tell("o1", kb.dispatch("d"))) == [("d", "not_run", "draining")]
    assert kb.ends(bench.finish_chat(1)) == [("a", "ran", "")]
    assert bench.keeper.busy() == 1


def test_summaries_on_change_for_a_while(bench: Bench) -> None:
    bench.give(advanced("backend/e"))
    [first] = kb.told(bench.tell("o1", ms.SummaryAsked("e")), ms.BackendSummary)
    assert first == ms.BackendSummary("e", 0, 0, 0, 2, bench.now_ms)
    for name in ("a", "b", "c"):
        bench.tell("o1", kb.dispatch(name))
    summaries = kb.told(bench.wait(1000), ms.BackendSummary)
    assert [(one.running, one.waiting) for one in summaries] == [(2, 1)]
    assert summaries[0].waiting_tokens == 36
    bench.wait(6000)
    bench.finish_chat(1)
    assert kb.told(bench.wait(1000), ms.BackendSummary) == []


def test_suspects_run_one_at_a_time(bench: Bench) -> None:
    """An innocent request is blocked for good.

    A backend server crashes with several requests on it; sent to the next one together, they crash
    it together again, and each stands there with two crashes.
    """
    for name in ("guilty", "innocent"):
        kb.crash(bench, f"f-{name}", "other")
    bench.wait(100)
    assert kb.started(bench.tell("o1", kb.dispatch("innocent"))) == ["innocent"]
    assert kb.started(bench.tell("o1", kb.dispatch("guilty"))) == []
    assert kb.started(bench.tell("o1", kb.dispatch("clean"))) == ["clean"]
    assert kb.started(bench.finish_chat(1)) == ["guilty"]


def test_blocked_requests_are_stopped_everywhere(bench: Bench) -> None:
    """A request goes on crashing servers: copies ran or waited when it was found guilty."""
    assert kb.started(bench.tell("o1", kb.dispatch("copy", fingerprint="f"))) == ["copy"]
    bench.tell("o1", kb.dispatch("fine"))
    bench.tell("o1", kb.dispatch("waits", fingerprint="f"))
    for backend in ("other1", "other2"):
        kb.crash(bench, "f", backend)
    effects = bench.tell("o2", ms.CrashSeen("f", "other2", "p", 1))
    assert kb.ends(effects) == [
        ("copy", "may_have_run", "quarantined"),
        ("waits", "not_run", "quarantined"),
    ]
    again = bench.tell("o1", kb.dispatch("again", fingerprint="f"))
    assert kb.ends(again) == [("again", "not_run", "quarantined")]
