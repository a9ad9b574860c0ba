"""One daemon's reducer with all that surrounds it as data, and the processor time of each event.

No clock and no socket: time passes when told to, the log is a list, and the other daemons answer
their pings, grant what an account's home is asked for and do nothing else. So a deployment of any
size can surround the one that is measured.
"""

from __future__ import annotations

import gc
import time
from collections import defaultdict
from collections import deque
from typing import TYPE_CHECKING

from quincespool.bench import fixtures
from quincespool.bench.figures import spread
from quincespool.core import effects as fx
from quincespool.core import events as ev
from quincespool.core import reducer
from quincespool.core.messages import AccountAsked
from quincespool.core.messages import Ack
from quincespool.core.messages import CommitGroup
from quincespool.core.messages import MembersTold
from quincespool.core.messages import Ping

if TYPE_CHECKING:
    from quincespool.bench.figures import Spread
    from quincespool.bench.size import Size
    from quincespool.core.messages import Message

STEP_MS = 100
MAX_RECORDS_PER_READ = 200


class OneDaemon:
    """A daemon with the mean share of the log's streams, in a deployment of `size`.

    Attributes:
      number: Which daemon it is.
      others: Numbers of all others.
      state: The reducer's state.
      streams: The log.
      messages: What it has sent to other daemons, in order, until taken.
      exchanges: What it has asked of backend servers, until taken.
    """

    def __init__(self, size: Size) -> None:
        self.size = size
        self.number = fixtures.typical_daemon(size)
        self.others = [number for number in range(size.daemons) if number != self.number]
        self.now_ms = fixtures.START_MS
        self.streams: dict[str, list[bytes]] = defaultdict(list)
        self.messages: list[tuple[str, Message]] = []
        self.exchanges: list[fx.StartExchange] = []
        settings = fixtures.settings(size, self.number)
        self.state = reducer.make_daemon(settings, now_ms=self.now_ms, seed=1)
        self._follows: dict[str, int] = {}
        self._pending: deque[ev.Event] = deque()
        self._times_us: dict[str, list[float]] = defaultdict(list)
        self.give(ev.Started())

    def join(self) -> None:
        """Reads the catalogue and hears of all other daemons, then lets time pass."""
        self.append("catalogue", fixtures.edit(0, fixtures.catalogue_entries(self.size)))
        told = MembersTold(tuple(fixtures.update(number) for number in self.others))
        self.give(ev.MessageReceived(self.other_id(0), told))
        self.advance(6_000)

    def other_id(self, place: int) -> str:
        """Returns the id of another daemon."""
        return fixtures.member_id(self.others[place])

    def append(self, stream: str, body: bytes) -> int:
        """Appends a record to the log and lets the daemon read it if it follows the stream."""
        self.streams[stream].append(body)
        self._read(stream)
        self._run()
        return len(self.streams[stream]) - 1

    def give(self, event: ev.Event) -> None:
        """Hands over an event and all that follows from it at once."""
        self._pending.append(event)
        self._run()

    def receive(self, sender: str, message: Message) -> None:
        """Hands over a message of another daemon."""
        self.give(ev.MessageReceived(sender, message))

    def advance(self, for_ms: int) -> None:
        """Lets time pass; streams are read to their end all along."""
        until_ms = self.now_ms + for_ms
        while self.now_ms < until_ms:
            self.now_ms = min(until_ms, self.now_ms + STEP_MS)
            for stream in list(self._follows):
                self._read(stream, also_empty=self.now_ms % 500 < STEP_MS)
            self._pending.extend(self.state.timers.pop_due(self.now_ms))
            self._run()

    def take_messages(self) -> list[tuple[str, Message]]:
        """Returns what has been sent since the last time."""
        taken, self.messages = self.messages, []
        return taken

    def take_exchanges(self) -> list[fx.StartExchange]:
        """Returns what has been asked of backend servers since the last time."""
        taken, self.exchanges = self.exchanges, []
        return taken

    def held(self, prefix: str) -> list[str]:
        """Returns the held resources of a kind."""
        return sorted(name for name in self.state.ledger.held() if name.startswith(prefix))

    def forget_times(self) -> None:
        """Starts taking times anew."""
        self._times_us.clear()

    def times_us(self) -> dict[str, Spread]:
        """Returns the processor time of one event of each kind, in microseconds."""
        return {kind: _spread_us(values) for kind, values in sorted(self._times_us.items())}

    def total_us(self) -> dict[str, float]:
        """Returns the processor time of all events of each kind, in microseconds."""
        return {kind: sum(values) for kind, values in sorted(self._times_us.items())}

    def _run(self) -> None:
        while self._pending:
            event = self._pending.popleft()
            gc_was_on = gc.isenabled()
            gc.disable()
            started_ns = time.process_time_ns()
            effects = reducer.step(self.state, self.now_ms, event)
            taken_us = (time.process_time_ns() - started_ns) / 1_000
            if gc_was_on:
                gc.enable()
            self._times_us[kind_of(event)].append(taken_us)
            for effect in effects:
                self._carry_out(effect)

    def _carry_out(self, effect: fx.Effect) -> None:
        match effect:
            case fx.FollowStream(stream, from_offset):
                self._follows[stream] = from_offset
                self._read(stream, also_empty=True)
            case fx.UnfollowStream(stream):
                self._follows.pop(stream, None)
            case fx.AppendRecord(stream, append_id, body):
                self.streams[stream].append(body)
                offset = len(self.streams[stream]) - 1
                self._pending.append(ev.AppendDone(stream, append_id, offset))
                self._read(stream)
            case fx.SendMessage(_, CommitGroup() as message):
                self.streams[message.stream].append(b'{"groups":[' + message.group + b"]}")
                self._read(message.stream)
            case fx.SendMessage(home, AccountAsked() as ask):
                self._pending.append(ev.MessageReceived(home, fixtures.granted(ask)))
            case fx.SendMessage(member_id, message):
                self.messages.append((member_id, message))
            case fx.SendDatagram(host, port, Ping() as ping):
                self._answer_ping(host, port, ping)
            case fx.StartExchange():
                self.exchanges.append(effect)
            case _:
                pass

    def _answer_ping(self, host: str, port: int, ping: Ping) -> None:
        own = fixtures.update(port - fixtures.FIRST_PEER_PORT)
        ack = Ack(ping.sequence, own.member_id, own.member_id, (own,))
        self._pending.append(ev.DatagramReceived(host, port, ack))

    def _read(self, stream: str, *, also_empty: bool = False) -> None:
        offset = self._follows.get(stream)
        if offset is None:
            return
        bodies = self.streams[stream][offset : offset + MAX_RECORDS_PER_READ]
        if not bodies and not also_empty:
            return
        records = tuple(ev.LogRecord(offset + at, body) for at, body in enumerate(bodies))
        next_offset = offset + len(records)
        self._follows[stream] = next_offset
        end_offset = len(self.streams[stream])
        self._pending.append(ev.RecordsRead(stream, records, next_offset, end_offset))


def kind_of(event: ev.Event) -> str:
    """Returns the kind under which an event's time is booked."""
    match event:
        case ev.MessageReceived(_, message):
            return type(message).__name__
        case ev.DatagramReceived(_, _, datagram):
            return type(datagram).__name__
        case ev.TimerFired(part, name, _):
            return f"timer {part}/{name}"
        case ev.RecordsRead(stream, records):
            return f"{stream.split('-')[0]} read, {'records' if records else 'empty'}"
        case _:
            return type(event).__name__


def _spread_us(readings_us: list[float]) -> Spread:
    """Returns the spread of readings, without those of steps whose time was not counted.

    The kernel takes what the host of a virtual machine held back off the processor time of the step
    in which it was, which may then read as 0.
    """
    counted_us = [one for one in readings_us if one > 0] or readings_us
    figures = spread(counted_us)
    figures["samples"] = len(readings_us)
    return figures
