"""Tests of the client-account limits: a few daemons share one account through a changing home.

The oracle knows every call that may be running, those of dead and frozen processes included.
"""

from __future__ import annotations

import json

import pytest
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import invariant
from hypothesis.stateful import rule

from quincespool.core.accounts.extents import Extent
from quincespool.core.accounts.extents import ExtentFold
from quincespool.core.accounts.home import FRESH_MS
from quincespool.core.accounts.home import Home
from quincespool.core.accounts.home import Limits
from quincespool.core.events import MessageReceived
from quincespool.core.events import Woken
from quincespool.core.messages import AccountAsked
from tests.core.accounts.accounts_world import DAEMONS
from tests.core.accounts.accounts_world import HOLD_MS
from tests.core.accounts.accounts_world import PERMITS
from tests.core.accounts.accounts_world import TOKENS
from tests.core.accounts.accounts_world import World


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
