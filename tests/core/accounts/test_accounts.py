"""Tests of the client-account limits: a few daemons share one account through a changing home.

The oracle knows every call that may be running, those of dead and frozen processes included.
"""

from __future__ import annotations

import json
from typing import TYPE_CHECKING
from typing import NamedTuple
from typing import cast

import pytest
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import invariant
from hypothesis.stateful import rule

from quincespool.core.accounts import reducer as accounts
from quincespool.core.accounts.extents import Extent
from quincespool.core.accounts.extents import ExtentFold
from quincespool.core.accounts.home import FRESH_MS
from quincespool.core.accounts.home import Home
from quincespool.core.accounts.home import Limits
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
from quincespool.core.events import Woken
from quincespool.core.messages import AccountAsked
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


@pytest.fixture
def world() -> World:
    return World()


def test_the_whole_limit_can_be_used_and_no_more(world: World) -> None:
    for name in [*DAEMONS, *DAEMONS]:
        world.daemons[name].acquire()
    world.settle()
    assert len(world.running()) == PERMITS
    call = world.running()[0]
    world.daemons[call.member_id].release(call)
    world.settle(200)
    other = next(name for name in DAEMONS if name != call.member_id)
    world.daemons[other].acquire()
    world.settle()
    assert len(world.running()) == PERMITS


def test_a_busy_holder_does_not_ask_for_each_call(world: World) -> None:
    daemon = world.daemons["d1"]
    daemon.acquire()
    world.settle()
    asked = daemon.state.sequence
    for _ in range(20):
        daemon.release(world.running("d1")[0])
        daemon.acquire()
        assert len(world.running("d1")) == 1
    assert daemon.state.sequence == asked


def test_a_new_home_counts_what_the_dead_one_lent(world: World) -> None:
    """Symptom: an account passes its limit. Its home dies; the next one knows of no calls.

    d1 runs a call under a permit from d0 and freezes. d0 dies, d2 takes over and d2's own callers
    want the whole limit, while d1's call still runs.
    """
    world.daemons["d1"].acquire(tokens=60)
    world.settle()
    world.daemons["d1"].frozen = True
    world.restart("d0")
    world.take_over("d2")
    for tokens in (60, 0, 0, 0):
        world.daemons["d2"].acquire(tokens)
        world.settle()
    assert len(world.running("d1")) == 1
    assert len(world.running()) <= PERMITS
    world.tick(48_000)
    world.daemons["d2"].acquire(60)
    world.settle()
    assert sum(call.tokens for call in world.calls) <= TOKENS
    world.settle(1_500)
    for _ in range(PERMITS):
        world.daemons["d2"].acquire()
    world.settle()
    assert len(world.running("d2")) == PERMITS


def test_calls_of_a_dead_holder_count_until_their_end(world: World) -> None:
    """Symptom: an account passes its limit. A holder restarts; its calls run on at the engines."""
    world.daemons["d1"].acquire()
    world.settle()
    world.restart("d1")
    for by_ms, most in [(9_000, PERMITS - 1), (9_000, PERMITS - 1), (40_000, PERMITS)]:
        world.tick(by_ms)
        for _ in range(PERMITS):
            world.daemons["d2"].acquire()
        world.settle()
        assert len(world.running("d2")) <= most
    assert len(world.running("d2")) == PERMITS


def test_a_late_answer_gives_nothing_back(world: World) -> None:
    """Symptom: an account passes its limit. A holder uses permits that it has given back.

    d1 gives its permit back; then the answer to its older message comes once more.
    """
    world.daemons["d1"].acquire()
    world.settle(3)
    answer = world.delivered["d1"]
    world.daemons["d1"].release(world.running("d1")[0])
    world.settle(200)
    for _ in range(PERMITS):
        world.daemons["d2"].acquire()
    world.settle()
    world.daemons["d1"].acquire()
    world.daemons["d1"].handle(MessageReceived("d0", answer.message))
    world.settle()
    assert len(world.running()) == PERMITS


def test_an_answer_that_comes_twice_gives_its_tokens_once(world: World) -> None:
    """Symptom: an account passes its tokens per minute. A link doubled the home's answer."""
    world.daemons["d1"].acquire(40)
    world.settle()
    world.daemons["d1"].release(world.running("d1")[0])
    world.daemons["d1"].handle(MessageReceived("d0", world.delivered["d1"].message))
    world.daemons["d1"].acquire(40)
    assert len(world.calls) == 1


@pytest.mark.parametrize("jump_ms", [12_000, -12_000])
def test_nothing_starts_that_may_outlast_the_permit(world: World, jump_ms: int) -> None:
    """Symptom: an account passes its limit. A call began near the end of its permit's term.

    The home lends the permit again after the term; a clock that went back hides that it is near.
    """
    world.daemons["d1"].acquire()
    world.settle()
    world.daemons["d1"].release(world.running("d1")[0])
    world.now_ms += jump_ms
    if jump_ms < 0:
        world.daemons["d1"].handle(Woken(-jump_ms))
    started = len(world.calls)
    world.daemons["d1"].acquire()
    assert len(world.calls) == started


def test_permits_given_back_to_the_former_home_stay_counted_there() -> None:
    """Symptom: an account passes its limit. Two homes lend the same permits for a moment.

    A holder tells the new home that it keeps three, gives two of them back to the old home, which
    lends them again, and only then accepts an answer of the new one.
    """
    home, limits, new = Home("a", 2), Limits(3, 100), ("h", 1)
    home.open(Extent(2, 0, 3, 100, 60_000), [Extent(1, 0, 3, 0, 60_000)], since_ms=0)

    def granted(key: tuple[str, int], sequence: int, epoch: int, held: int, wanted: int) -> int:
        ask = AccountAsked("a", key[1], sequence, epoch, held, wanted, 0, 0, HOLD_MS)
        if not home.note(key, ask, now_ms=0):
            return -1
        grant = home.answer(key, ask, limits, now_ms=0)
        return grant.permits if grant else -2

    assert granted(new, 1, epoch=1, held=3, wanted=3) == 3
    assert granted(new, 3, epoch=1, held=1, wanted=1) == 1
    assert granted(new, 2, epoch=1, held=3, wanted=3) == -1
    assert granted(("other", 1), 1, epoch=-1, held=0, wanted=3) == 0
    assert granted(new, 4, epoch=2, held=0, wanted=0) == 0
    assert granted(("other", 1), 2, epoch=-1, held=0, wanted=3) == 1
    assert granted(new, 5, epoch=3, held=0, wanted=3) == -1
    home.extent = Extent(2, 1, 0, 100, 60_000)
    assert granted(("other", 1), 3, epoch=2, held=0, wanted=1) == -2


def test_extents_of_a_closed_epoch_are_void() -> None:
    """Symptom: an account passes its limit. A former home's late append raised what it may lend."""
    fold = ExtentFold()

    def apply(epoch: int, serial: int, permits: int, settled: bool = False) -> str | None:
        record = {"kind": "extent", "account": "a", "epoch": epoch, "serial": serial, "tokens": 0}
        more = {"permits": permits, "term_ms": 1, "settled": settled}
        return fold.apply(json.dumps({**record, **more}).encode())

    assert apply(1, 0, permits=5) == apply(2, 0, permits=1) == "a"
    assert apply(1, 1, permits=9) is None
    assert apply(2, 0, permits=9) is None
    assert fold.superseded("a", 1)
    assert [extent.permits for extent in fold.before("a", 2)] == [5]
    assert apply(2, 1, permits=1, settled=True) == "a"
    assert fold.before("a", 2) == []


def test_holders_keep_working_while_the_home_changes(world: World) -> None:
    """Symptom: calls in flight count for nothing and the account stands still for a minute."""
    for _ in range(PERMITS):
        world.daemons["d1"].acquire()
    world.settle()
    world.take_over("d2")
    for _ in range(6):
        world.settle(100)
        for call in world.running("d1"):
            world.daemons["d1"].release(call)
            world.daemons["d1"].acquire()
        assert len(world.running("d1")) == PERMITS


class AccountsMachine(RuleBasedStateMachine):
    """Any interleaving of calls, late, lost and doubled messages and appends, freezes, restarts."""

    def __init__(self) -> None:
        super().__init__()
        self.world = World()

    names = st.sampled_from(DAEMONS)
    some = st.sampled_from([DAEMONS, DAEMONS, ["d0"], ["d1"], ["d2"]])
    rounds = st.sampled_from([1, 3, 10, 20])
    mangles = st.sampled_from(["", "", "double", "reverse"])
    times_ms = st.sampled_from([300, 4_000, 9_000, 16_000, 60_000])

    @rule(names=some, tokens=st.sampled_from([0, 0, 0, 40]), rounds=rounds)
    def acquire(self, names: list[str], tokens: int, rounds: int) -> None:
        for name in names:
            for _ in range(0 if self.world.daemons[name].frozen else PERMITS):
                self.world.daemons[name].acquire(tokens)
        self.world.settle(rounds)

    @rule(names=some, count=st.integers(1, 3), rounds=rounds, mangle=mangles)
    def release(self, names: list[str], count: int, rounds: int, mangle: str) -> None:
        for daemon in [self.world.daemons[name] for name in names]:
            calls = self.world.running(daemon.self_id)
            mine = [call for call in calls if call.ticket in daemon.asked_tokens]
            for call in [] if daemon.frozen else mine[:count]:
                daemon.release(call)
        self.world.settle(rounds, mangle=mangle)

    @rule(by_ms=times_ms, rounds=rounds, mangle=mangles)
    def tick(self, by_ms: int, rounds: int, mangle: str) -> None:
        self.world.tick(by_ms)
        self.world.settle(rounds, mangle=mangle)

    @rule(name=names, by_ms=times_ms, rounds=rounds, wake=st.booleans())
    def freeze(self, name: str, by_ms: int, rounds: int, wake: bool) -> None:
        self.world.daemons[name].frozen = True
        self.tick(by_ms, rounds, "")
        for daemon in self.world.daemons.values() if wake else ():
            if daemon.frozen:
                daemon.frozen = False
                daemon.learned_ms = -FRESH_MS
                daemon.handle(Woken(by_ms))

    @rule(name=names, by_ms=times_ms, rounds=rounds, heal=st.sampled_from(["", "lost", "late"]))
    def cut(self, name: str, by_ms: int, rounds: int, heal: str) -> None:
        self.world.daemons[name].cut = True
        self.acquire(DAEMONS, 0, rounds)
        self.tick(by_ms, rounds, "")
        for daemon in self.world.daemons.values() if heal else ():
            daemon.cut = False
        if heal == "lost":
            self.world.mail.clear()
            self.world.unwritten.clear()

    @rule(name=names, rounds=rounds)
    def restart(self, name: str, rounds: int) -> None:
        self.world.restart(name)
        self.world.settle(rounds)

    @invariant()
    def limits_hold(self) -> None:
        now_ms = self.world.now_ms
        assert len(self.world.running()) <= PERMITS
        lately = [call for call in self.world.calls if call.started_ms > now_ms - 60_000]
        assert sum(call.tokens for call in lately) <= TOKENS


TestAccountsMachine = AccountsMachine.TestCase
TestAccountsMachine.settings = hypothesis_settings(
    derandomize=True, max_examples=300, stateful_step_count=30, deadline=None, database=None
)
