"""Several catalogue parts on one log that expires, fails and lags.

`Bench` carries out the effects of the parts one at a time, as the test or hypothesis chooses.
"""

from __future__ import annotations

import json
from collections import deque
from typing import NamedTuple
from typing import cast

from quincespool.core.catalogue import reducer as catalogue
from quincespool.core.context import ClaimsView
from quincespool.core.context import Context
from quincespool.core.context import MembersView
from quincespool.core.effects import AppendRecord
from quincespool.core.effects import Effects
from quincespool.core.effects import FollowStream
from quincespool.core.effects import Raise
from quincespool.core.effects import SendMessage
from quincespool.core.events import AppendFailed
from quincespool.core.events import CatalogueChanged
from quincespool.core.events import Event
from quincespool.core.events import LogRecord
from quincespool.core.events import MessageReceived
from quincespool.core.events import RecordsRead
from quincespool.core.events import Started
from quincespool.core.events import StreamExpired
from quincespool.core.events import StreamUnreachable
from quincespool.core.members import Member
from quincespool.core.timers import Timers
from quincespool.settings import Settings

NAMES = ["account/a", "account/b"]
READ_LIMIT = 3


class FakeMembers(NamedTuple):
    self_id: str
    everyone: list[Member]

    def alive(self) -> tuple[Member, ...]:
        return tuple(self.everyone)


class Daemon:
    def __init__(self, bench: Bench, member_id: str) -> None:
        self.bench = bench
        self.member_id = member_id
        config = Settings(
            member_id=member_id,
            zone="z",
            host="127.0.0.1",
            http_port=1,
            peer_port=2,
            log_address="127.0.0.1:3",
        )
        self.timers = Timers()
        self.state = catalogue.make_catalogue(config, incarnation=1)
        self.position = -1
        self.changed: list[str] = []
        self.handle(Started())

    def handle(self, event: Event) -> None:
        members = cast("MembersView", FakeMembers(self.member_id, self.bench.members))
        claims = cast("ClaimsView", None)
        context = Context(self.bench.now_ms, self.state, members, claims, self.timers)
        self.carry_out(catalogue.reduce(self.state, context, event))

    def carry_out(self, effects: Effects) -> None:
        for effect in effects:
            match effect:
                case FollowStream(from_offset=offset):
                    self.position = offset
                case AppendRecord():
                    self.append(effect)
                case SendMessage(member_id=to, message=message):
                    self.bench.mail.append((to, MessageReceived(self.member_id, message)))
                case Raise(event=CatalogueChanged(names=names)):
                    self.changed += names

    def append(self, effect: AppendRecord) -> None:
        if self.bench.log_up:
            self.bench.append(effect.body)
        if not self.bench.log_up or self.bench.lose_answers:
            failed = AppendFailed("catalogue", effect.append_id, self.bench.log_up, 0, "")
            self.handle(failed)

    def read(self) -> None:
        bench = self.bench
        if not bench.log_up:
            self.handle(StreamUnreachable("catalogue", ""))
        elif self.position < bench.earliest:
            self.handle(StreamExpired("catalogue", bench.earliest))
        else:
            bodies = bench.log[self.position : self.position + READ_LIMIT]
            first = self.position
            records = tuple(LogRecord(first + at, body) for at, body in enumerate(bodies))
            self.position += len(records)
            self.handle(RecordsRead("catalogue", records, self.position, len(bench.log)))

    def read_to_end(self) -> None:
        while self.position < len(self.bench.log):
            self.read()
        self.read()


class Bench:
    """Daemons, their mail and the log; `now_ms` moves only when told to."""

    def __init__(self, count: int) -> None:
        self.now_ms = 1_000_000
        self.log: list[bytes] = []
        self.earliest = 0
        self.log_up = True
        self.lose_answers = False
        self.mail: deque[tuple[str, Event]] = deque()
        self.members = [Member(f"d{at}", 1, "z", "127.0.0.1", 1, 2) for at in range(count)]
        self.daemons = {member.member_id: Daemon(self, member.member_id) for member in self.members}

    def append(self, body: bytes) -> None:
        self.log.append(body)

    def publish(self, name: str, base: int, calls: int | None) -> int:
        """Appends an edit; returns its offset."""
        entry = {"kind": "account", "owner": f"o{calls}", "tokens_per_minute": 1}
        full = None if calls is None else {**entry, "concurrent_calls": calls}
        change = {"name": name, "base_version": base, "entry": full}
        record = {"kind": "edit", "edit_id": f"e{len(self.log)}", "editor": "op"}
        self.append(json.dumps({**record, "changes": [change]}).encode())
        return len(self.log) - 1

    def restart(self, member_id: str) -> Daemon:
        self.daemons[member_id] = Daemon(self, member_id)
        return self.daemons[member_id]

    def tick(self, by_ms: int = 1_000) -> None:
        self.now_ms += by_ms
        for daemon in self.daemons.values():
            for event in daemon.timers.pop_due(self.now_ms):
                daemon.handle(event)

    def deliver(self) -> None:
        while self.mail:
            to, event = self.mail.popleft()
            if to in self.daemons:
                self.daemons[to].handle(event)

    def settle(self, rounds: int = 6) -> None:
        for _ in range(rounds):
            self.tick()
            self.deliver()
            for daemon in self.daemons.values():
                daemon.read_to_end()
