"""The shell of a daemon: one loop that hands events to the reducer and carries out its effects."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import resource
import secrets
import signal
import sys
import time
from collections import deque
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any
from typing import Protocol

from quincespool.core import effects as fx
from quincespool.core.events import AuditReceived
from quincespool.core.events import CallReceived
from quincespool.core.events import DrainRequested
from quincespool.core.events import EndReceived
from quincespool.core.events import Started
from quincespool.core.events import WhereReceived
from quincespool.logs import LOGGER_NAME
from quincespool.logs import write_line
from quincespool.net.clock import Clock
from quincespool.net.gossip import Gossip
from quincespool.net.held_memory import HeldMemory
from quincespool.net.host_list import poll_host_list
from quincespool.net.http_client import Exchanges
from quincespool.net.http_server import HttpServer
from quincespool.net.http_server import internal_error
from quincespool.net.log_client import LogClient
from quincespool.net.metrics import Metrics
from quincespool.net.peers import Peers
from quincespool.resource_limits import make_resource_limits

if TYPE_CHECKING:
    from collections.abc import Callable

    from quincespool.core.events import Event
    from quincespool.core.members import Member
    from quincespool.core.timers import Timers
    from quincespool.settings import Settings

EXIT_OK = 0
EXIT_CANNOT_BIND = 2

_logger = logging.getLogger(LOGGER_NAME)


class MemberFinder(Protocol):
    """The part of membership that the shell needs: addresses."""

    def find(self, member_id: str) -> Member | None:
        """Returns a member believed alive."""


class DaemonState(Protocol):
    """What the shell sees of the reducer's state."""

    @property
    def timers(self) -> Timers:
        """The timer service."""

    @property
    def members(self) -> MemberFinder:
        """Who is alive."""

    @property
    def ready(self) -> bool:
        """Whether the daemon has read what it needs to serve."""


class Reducer(Protocol):
    """The module `quincespool.core.reducer`, or a small one in tests."""

    def make_daemon(self, settings: Settings, *, now_ms: int, seed: int) -> Any:
        """Returns the state of a daemon that has just started, a `DaemonState`."""

    def step(self, state: Any, now_ms: int, event: Event) -> list[fx.Effect]:
        """Handles one event."""

    def tick(self, state: Any, now_ms: int) -> list[fx.Effect]:
        """Handles the timers that are due."""

    def dump(self, state: Any) -> dict[str, object]:
        """Returns the state for people to read."""


def serve(settings: Settings) -> int:
    """Runs a daemon until its planned stop is complete; returns the exit code."""
    from quincespool.core import reducer  # noqa: PLC0415

    return asyncio.run(run(settings, reducer))


async def run(settings: Settings, reducer: Reducer) -> int:
    """Runs a daemon with a given reducer; returns the exit code."""
    shell = Shell(settings, reducer)
    try:
        await shell.start()
    except OSError as error:
        sys.stderr.write(f"quincespool: cannot listen on {settings.host}: {error}\n")
        shell.abandon()
        return EXIT_CANNOT_BIND
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, shell.post, DrainRequested())
    await shell.stopped.wait()
    await shell.close()
    return EXIT_OK


class Shell:
    """Queue, timers and effects of one daemon.

    Attributes:
      stopped: Set when the reducer says that the planned stop is complete.
    """

    def __init__(self, settings: Settings, reducer: Reducer) -> None:
        self.stopped = asyncio.Event()
        self._settings = settings
        self._reducer = reducer
        self._clock = Clock()
        self._started_ms = self._clock.now_ms()
        self._state: DaemonState = reducer.make_daemon(
            settings, now_ms=self._started_ms, seed=secrets.randbits(63)
        )
        self._queue: deque[Event] = deque()
        self._running = False
        self._timer: asyncio.TimerHandle | None = None
        self._armed_ms: int | None = None
        self._host_list: asyncio.Task[None] | None = None
        self._metrics = Metrics()
        self._make_parts()
        self._carry_out = self._make_handlers()

    async def start(self) -> None:
        """Binds the ports and hands over the first event.

        Raises:
          OSError: if a port cannot be had.
        """
        await self._peers.start()
        await self._gossip.start()
        await self._http.start()
        if self._settings.host_list_address:
            poller = poll_host_list(self._settings.host_list_address, self.post)
            self._host_list = asyncio.get_running_loop().create_task(poller)
        self.post(Started())

    def post(self, event: Event) -> None:
        """Handles an event now, or after the present one.

        The reducer must not be entered while it is at work, nor while its effects are carried out:
        an effect that fails at once (a link that cannot be made) would change the state under it.
        """
        self._queue.append(event)
        self._run_queue()

    async def close(self) -> None:
        """Ends everything, answers to callers first."""
        if self._timer is not None:
            self._timer.cancel()
        await self._http.close()
        await self._peers.flush()
        self.abandon()

    def abandon(self) -> None:
        """Ends everything but the callers' connections at once."""
        if self._host_list is not None:
            self._host_list.cancel()
        self._log.close()
        self._exchanges.stop_all()
        self._peers.close()
        self._gossip.close()

    def _run_queue(self) -> None:
        if self._running:
            return
        self._running = True
        try:
            while self._queue:
                self._handle(self._queue.popleft())
        finally:
            self._running = False
        self._arm()

    def _handle(self, event: Event) -> None:
        if isinstance(event, DrainRequested):
            self._http.draining = True
        try:
            effects = self._reducer.step(self._state, self._clock.now_ms(), event)
        except Exception:
            # One event that the reducer cannot handle must not end the service of all others; the
            # traceback and the metric show it.
            _logger.exception("event failed", extra={"event": type(event).__name__})
            self._metrics.count("event_failures_total", event=type(event).__name__)
            self._answer_failed(event)
            return
        self._perform(effects)

    def _answer_failed(self, event: Event) -> None:
        if isinstance(event, CallReceived | EndReceived | WhereReceived | AuditReceived):
            answer = internal_error(event.request_id)
            self._perform([fx.Respond(request_id=event.request_id, answer=answer)])

    def _perform(self, effects: list[fx.Effect]) -> None:
        for effect in effects:
            try:
                self._carry_out[type(effect)](effect)
            except Exception:
                # As above, for effects: the others of the same event are still carried out, since
                # the state already counts on them.
                _logger.exception("effect failed", extra={"effect": type(effect).__name__})
                self._metrics.count("effect_failures_total", effect=type(effect).__name__)

    def _arm(self) -> None:
        due_ms = self._state.timers.next_due_ms()
        if due_ms == self._armed_ms:
            return
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._armed_ms = due_ms
        if due_ms is not None and not self.stopped.is_set():
            delay_s = max(0, due_ms - self._clock.now_ms()) / 1000
            self._timer = asyncio.get_running_loop().call_later(delay_s, self._tick)

    def _tick(self) -> None:
        self._armed_ms = None
        self._timer = None
        self._running = True
        try:
            self._perform(self._reducer.tick(self._state, self._clock.now_ms()))
        except Exception:
            _logger.exception("timers failed")
            self._metrics.count("event_failures_total", event="TimerFired")
        finally:
            self._running = False
        self._run_queue()

    def _make_parts(self) -> None:
        settings, post, metrics, clock = self._settings, self.post, self._metrics, self._clock
        resources = make_resource_limits(
            memory_mb=settings.memory_mb, max_descriptors=settings.max_descriptors
        )
        memory = HeldMemory(resources.held_bytes)
        self._http = HttpServer(
            settings=settings,
            memory=memory,
            max_connections=resources.caller_connections,
            post=post,
            metrics=metrics,
            dump=self._dump,
            is_ready=lambda: self._state.ready,
        )
        self._exchanges = Exchanges(
            post=post, clock=clock, metrics=metrics, stale_after_ms=settings.stale_after_ms
        )
        self._log = LogClient(
            address=settings.log_address,
            post=post,
            clock=clock,
            metrics=metrics,
            stale_after_ms=settings.stale_after_ms,
        )
        self._peers = Peers(
            settings=settings,
            memory=memory,
            max_incoming=resources.incoming_links,
            incarnation=self._started_ms,
            find_member=self._state.members.find,
            post=post,
            clock=clock,
            metrics=metrics,
        )
        self._gossip = Gossip(settings=settings, post=post, metrics=metrics)
        metrics.watch("ready", lambda: float(self._state.ready))
        metrics.watch("processor_seconds", time.process_time)
        metrics.watch("resident_bytes", _resident_bytes)

    def _make_handlers(self) -> dict[type[Any], Callable[[Any], None]]:
        return {
            fx.Respond: self._http.respond,
            fx.RespondText: self._http.respond_text,
            fx.SendMessage: lambda effect: self._peers.send(effect.member_id, effect.message),
            fx.SendDatagram: self._gossip.send,
            fx.CloseLinks: lambda _: self._peers.close_links(),
            fx.FollowStream: self._log.follow,
            fx.UnfollowStream: lambda effect: self._log.unfollow(effect.stream),
            fx.AppendRecord: self._log.append,
            fx.StartExchange: self._exchanges.start,
            fx.StopExchange: lambda effect: self._exchanges.stop(effect.exchange_id),
            fx.Log: lambda effect: write_line(effect.level, effect.message, effect.fields),
            fx.Count: lambda e: self._metrics.count(e.metric, e.amount, **dict(e.labels)),
            fx.Observe: lambda e: self._metrics.observe(e.metric, e.value, **dict(e.labels)),
            fx.Raise: lambda effect: self.post(effect.event),
            fx.Stop: lambda _: self.stopped.set(),
        }

    def _dump(self) -> dict[str, object]:
        return self._reducer.dump(self._state)


def _resident_bytes() -> float:
    with contextlib.suppress(OSError, ValueError, IndexError):
        pages = int(Path("/proc/self/statm").read_text().split()[1])
        return float(pages * resource.getpagesize())
    return 0.0
