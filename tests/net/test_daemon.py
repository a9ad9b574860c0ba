"""Tests of the shell: queue, timers, effects, start and stop."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import socket
from typing import TYPE_CHECKING

import msgspec

from quincespool.core import effects as fx
from quincespool.core import events as ev
from quincespool.core.call import Answer
from quincespool.core.messages import ForwardGone
from quincespool.core.timers import TimerKey
from quincespool.net.daemon import EXIT_CANNOT_BIND
from quincespool.net.daemon import Shell
from quincespool.net.daemon import run
from tests.net.conftest import ask
from tests.net.conftest import typed
from tests.net.conftest import until
from tests.net.test_http_server import CALL
from tests.net.test_http_server import CLOSE
from tests.net.test_http_server import http
from tests.support.standins.http import StandIn

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    import pytest

    from quincespool.settings import Settings
    from tests.net.conftest import FakeReducer
    from tests.support.standins.http import Exchange


@contextlib.asynccontextmanager
async def running(settings: Settings, reducer: FakeReducer) -> AsyncIterator[Shell]:
    shell = Shell(settings, reducer)
    await shell.start()
    yield shell
    await shell.close()


async def test_events_that_effects_make_come_after_the_present_one(
    settings: Settings, reducer: FakeReducer
) -> None:
    """The reducer entered twice.

    Symptom: state that contradicts itself under load. Events: an effect fails at once and makes an
    event while the effects of another are carried out. Cause: the event is handled right there.
    """
    effects: list[fx.Effect] = [
        fx.SendMessage("nobody", ForwardGone(1)),
        fx.Raise(ev.MembersChanged(())),
    ]
    later: list[fx.Effect] = [fx.Raise(ev.CatalogueChanged(()))]
    answers = {ev.Started: effects, ev.LinkDown: later}
    reducer.answer = lambda event: answers.get(type(event), [])
    async with running(settings, reducer):
        await until(lambda: len(reducer.events) == 4)
    last = ev.CatalogueChanged(())
    expected: list[ev.Event] = [ev.Started(), ev.LinkDown("nobody"), ev.MembersChanged(()), last]
    assert typed(reducer.events) == typed(expected)


async def test_timers_fire_and_may_be_set_again(settings: Settings, reducer: FakeReducer) -> None:
    def answer(_: ev.Event) -> list[fx.Effect]:
        if len(reducer.events) < 4:
            reducer.state.timers.subscribe(TimerKey("part", "name"), at_ms=len(reducer.events))
        return []

    reducer.answer = answer
    async with running(settings, reducer):
        await until(lambda: len(reducer.events) == 4)
    expected: list[ev.Event] = [ev.Started(), *[ev.TimerFired("part", "name", "")] * 3]
    assert typed(reducer.events) == typed(expected)


async def test_event_or_effect_that_fails_is_counted_and_the_rest_goes_on(
    settings: Settings, reducer: FakeReducer, caplog: pytest.LogCaptureFixture
) -> None:
    """A fault in the reducer.

    Symptom: one bad event ends a daemon with all its calls, or leaves a caller waiting for good.
    Events: the reducer raises on a call; an effect cannot be carried out. Cause: the exception ends
    the loop, or nobody answers.
    """

    def answer(event: ev.Event) -> list[fx.Effect]:
        if isinstance(event, ev.CallReceived):
            raise ZeroDivisionError
        return [fx.Count("no_such_metric"), fx.Log("warning", "still here", {"name": "x"})]

    reducer.answer = answer
    async with running(settings, reducer) as shell:
        text = await ask(shell._http.port, CALL)
        metrics = await ask(shell._http.port, http("GET", "/metrics", b"", CLOSE))
        dump = await ask(shell._http.port, http("GET", "/v1/dump", b"", CLOSE))
    assert text.startswith("HTTP/1.1 500 ")
    assert '"verdict":"may_have_run"' in text
    assert 'event_failures_total{event="CallReceived"} 1' in metrics
    assert 'effect_failures_total{effect="Count"} 1' in metrics
    assert dump.endswith('{"events":2}')
    assert "ZeroDivisionError" in caplog.text
    assert "still here" in caplog.text


async def test_host_list_is_read(settings: Settings, reducer: FakeReducer) -> None:
    class HostList(StandIn[msgspec.Struct]):
        async def handle(self, exchange: Exchange) -> None:
            host = {"address": "127.0.0.1:5", "state": "leaving", "role": "backend"}
            await exchange.reply(200, {"hosts": [host]})

    async with HostList(msgspec.Struct()) as host_list:
        changed = msgspec.structs.replace(settings, host_list_address=host_list.address)
        async with running(changed, reducer):
            await until(lambda: len(reducer.events) == 2)
    assert reducer.events[1] == ev.HostsRead({"127.0.0.1:5": "leaving"})


async def test_sigterm_drains_and_the_call_in_flight_is_answered(
    settings: Settings, reducer: FakeReducer
) -> None:
    """A planned stop with a call in flight, and an impatient operator.

    Symptom: a pharmacist's answer is cut off by an upgrade. Events: SIGTERM twice while a call is
    under way. Cause: the process leaves at the signal instead of at the end of its work.
    """

    def drains() -> int:
        return sum(isinstance(event, ev.DrainRequested) for event in reducer.events)

    reducer.answer = lambda _: (
        [fx.Respond(1, Answer(200, b"whole")), fx.Stop()] if drains() == 2 else []
    )
    with socket.create_server(("127.0.0.1", 0)) as taken:
        port = taken.getsockname()[1]
    stopped = asyncio.ensure_future(run(msgspec.structs.replace(settings, http_port=port), reducer))
    await until(lambda: reducer.events)
    asking = asyncio.ensure_future(ask(port, CALL))
    await until(lambda: len(reducer.events) == 2)
    os.kill(os.getpid(), signal.SIGTERM)
    await until(lambda: drains() == 1)
    os.kill(os.getpid(), signal.SIGTERM)

    assert (await asking).endswith("whole")
    assert await stopped == 0


async def test_port_that_is_taken_ends_with_one_line(
    settings: Settings, reducer: FakeReducer, capsys: pytest.CaptureFixture[str]
) -> None:
    with socket.create_server(("127.0.0.1", 0)) as taken:
        changed = msgspec.structs.replace(settings, http_port=taken.getsockname()[1])
        assert await run(changed, reducer) == EXIT_CANNOT_BIND
    assert capsys.readouterr().err.count("\n") == 1
    assert reducer.events == []
