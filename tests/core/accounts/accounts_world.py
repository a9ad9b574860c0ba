"""Daemons that share one account through a changing home, and an oracle of what may run.

The oracle knows every call, those of dead and frozen processes included.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple
from typing import cast

from quincespool.core.accounts import reducer as accounts
from quincespool.core.accounts.home import FRESH_MS
from quincespool.core.context import CatalogueView
from quincespool.core.context import ClaimsView
from quincespool.core.context import Context
from quincespool.core.context import MembersView
from quincespool.core.effects import AppendRecord
from quincespool.core.effects import Effects
from quincespool.core.effects import FollowStream
from quincespool.core.effects import Raise
from quincespool.core.effects import SendMessage
from quincespool.core.events import Event
from quincespool.core.events import LogRecord
from quincespool.core.events import MessageReceived
from quincespool.core.events import RecordsRead
from quincespool.core.timers import Timers
from quincespool.settings import Settings

if TYPE_CHECKING:
    from quincespool.core.events import AccountDecided
    from quincespool.core.members import Member
    from quincespool.core.messages import Message

PERMITS = 3
TOKENS = 100
HOLD_MS = 20_000
DAEMONS = ["d0", "d1", "d2"]


class Running(NamedTuple):
    """A call that has been let start; it is over when released or at its end."""

    member_id: str
    ticket: str
    started_ms: int
    must_end_by_ms: int
    tokens: int


class Mail(NamedTuple):
    """A message on its way."""

    sender: str
    to: str
    message: Message


class Daemon:
    """One process, and its view of the claim, which is as fresh as `learn` made it."""

    def __init__(self, world: World, member_id: str, incarnation: int) -> None:
        self.world, self.self_id, self.incarnation = world, member_id, incarnation
        config = Settings(
            member_id=member_id,
            zone="z",
            host="127.0.0.1",
            http_port=1,
            peer_port=2,
            log_address="127.0.0.1:3",
        )
        self.state = accounts.make_accounts(config, incarnation=incarnation)
        self.timers, self.position = Timers(), -1
        self.frozen = self.cut = False
        self.ready, self.asked_tokens = True, dict[str, int]()
        self.known, self.learned_ms = ("", -1), 0

    def learn(self) -> None:
        self.known, self.learned_ms = self.world.claim, self.world.now_ms

    def epoch_held(self, resource: str) -> int | None:
        del resource
        fresh = self.world.now_ms - self.learned_ms <= FRESH_MS
        return self.known[1] if self.known[0] == self.self_id and fresh else None

    def holder(self, resource: str) -> str | None:
        del resource
        return self.known[0]

    def alive(self) -> tuple[Member, ...]:
        return ()

    def account_entry(self, name: str) -> dict[str, object]:
        del name
        return {"concurrent_calls": PERMITS, "tokens_per_minute": TOKENS}

    def context(self) -> Context:
        view = (cast("CatalogueView", self), cast("MembersView", self), cast("ClaimsView", self))
        return Context(self.world.now_ms, *view, self.timers)

    def handle(self, event: Event) -> None:
        if not self.frozen:
            self.carry_out(accounts.reduce(self.state, self.context(), event))

    def acquire(self, tokens: int = 0) -> None:
        ticket = f"{self.incarnation}:{len(self.asked_tokens)}"
        self.asked_tokens[ticket] = tokens
        decision, effects = accounts.acquire(
            self.state, self.context(), account="a", ticket=ticket, tokens=tokens, hold_ms=HOLD_MS
        )
        if isinstance(decision, accounts.Granted):
            self.start(ticket, decision.must_end_by_ms)
        self.carry_out(effects)

    def start(self, ticket: str, must_end_by_ms: int) -> None:
        now_ms, tokens = self.world.now_ms, self.asked_tokens[ticket]
        self.world.calls.append(Running(self.self_id, ticket, now_ms, must_end_by_ms, tokens))

    def release(self, call: Running) -> None:
        ended = call._replace(must_end_by_ms=self.world.now_ms)
        self.world.calls[self.world.calls.index(call)] = ended
        context = self.context()
        self.carry_out(accounts.release(self.state, context, account="a", ticket=call.ticket))

    def carry_out(self, effects: Effects) -> None:
        for effect in effects:
            match effect:
                case SendMessage(member_id=to, message=message):
                    self.world.mail.append(Mail(self.self_id, to, message))
                case FollowStream(from_offset=offset):
                    self.position = offset
                case AppendRecord(body=body):
                    self.world.unwritten.append((self.self_id, body))
                case Raise(event=event):
                    decided = cast("AccountDecided", event)
                    assert decided.granted or decided.retry_after_ms > 0
                    if decided.granted:
                        self.start(decided.ticket, decided.must_end_by_ms)

    def read(self) -> None:
        if self.position >= 0 and not self.frozen:
            stream = next(iter(self.state.extents))
            log = enumerate(self.world.log)
            new = tuple(LogRecord(at, body) for at, body in log if at >= self.position)
            self.position = len(self.world.log)
            self.handle(RecordsRead(stream, new, self.position, self.position))


class World:
    """The daemons, their mail, the log, and appends that may be written late, twice or never."""

    def __init__(self) -> None:
        self.now_ms = 1_000_000
        self.claim = ("d0", 1)
        self.log: list[bytes] = []
        self.unwritten: list[tuple[str, bytes]] = []
        self.mail: list[Mail] = []
        self.delivered: dict[str, Mail] = {}
        self.calls: list[Running] = []
        self.daemons = {name: Daemon(self, name, 1) for name in DAEMONS}
        self.settle(1)

    def running(self, member_id: str = "") -> list[Running]:
        calls = [call for call in self.calls if call.must_end_by_ms > self.now_ms]
        return [call for call in calls if call.member_id.startswith(member_id)]

    def tick(self, by_ms: int) -> None:
        self.now_ms += by_ms
        for daemon in self.daemons.values():
            for event in [] if daemon.frozen else daemon.timers.pop_due(self.now_ms):
                daemon.handle(event)

    def settle(self, rounds: int = 20, *, mangle: str = "") -> None:
        """Lets everything pass that no cut holds back, in rounds of 50 ms.

        A home that is cut off, frozen or dead loses its claim.
        """
        able = [name for name, daemon in self.daemons.items() if not daemon.frozen | daemon.cut]
        if able and rounds and self.claim[0] not in able:
            self.take_over(able[0])
        for _ in range(rounds):
            passing = [mail for mail in self.mail if not self.held_back(mail)]
            self.mail = [mail for mail in self.mail if self.held_back(mail)]
            passing = passing[::-1] if mangle == "reverse" else passing
            for sender, to, message in passing * (2 if mangle == "double" else 1):
                self.delivered[to] = Mail(sender, to, message)
                self.daemons[to].handle(MessageReceived(sender, message))
            written = [body for name, body in self.unwritten if not self.daemons[name].cut]
            self.unwritten = [item for item in self.unwritten if self.daemons[item[0]].cut]
            self.log += written * (2 if mangle == "double" else 1)
            for daemon in self.daemons.values():
                if not daemon.frozen and not daemon.cut:
                    daemon.learn()
                    daemon.read()
            self.tick(50)

    def held_back(self, mail: Mail) -> bool:
        return mail.sender != mail.to and (
            self.daemons[mail.sender].cut or self.daemons[mail.to].cut
        )

    def take_over(self, member_id: str) -> None:
        self.claim = (member_id, self.claim[1] + 1)

    def restart(self, member_id: str) -> None:
        incarnation = self.daemons[member_id].incarnation + 1
        self.daemons[member_id] = Daemon(self, member_id, incarnation)
        if self.claim[0] == member_id:
            self.take_over("")
