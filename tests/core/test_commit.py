"""Group commit: what is written, how often, and what becomes of lost answers."""

from __future__ import annotations

import json
from typing import Any
from typing import cast

import pytest

from quincespool.core import commit
from quincespool.core import effects as fx
from quincespool.core import events as ev
from quincespool.core import messages as ms
from quincespool.core.context import Context
from quincespool.core.members import Member
from quincespool.core.placement import stream_members
from quincespool.core.timers import Timers
from quincespool.settings import Settings

STREAM = "programs-0"
ENTRY: Any = {"kind": "yield", "resource": "partition/0", "epoch": 0, "unrecorded_tokens": {}}


class Members:
    """Two daemons; a test is one of them."""

    def __init__(self) -> None:
        self.members = tuple(Member(name, 1, "z", "127.0.0.1", 1, 2) for name in ("a", "b"))

    def alive(self) -> tuple[Member, ...]:
        return self.members


class Bench:
    """The commit part of the stream's committer, or of the other daemon."""

    def __init__(self, *, is_committer: bool) -> None:
        members = Members()
        ranked = [m.member_id for m in stream_members(STREAM, members.alive(), 1)]
        self.committer, self.other = ranked
        self.self_id = self.committer if is_committer else self.other
        settings = Settings(
            member_id=self.self_id,
            zone="z",
            host="127.0.0.1",
            http_port=1,
            peer_port=2,
            log_address="127.0.0.1:3",
            stream_count=1,
            log_appends_per_s=10,
        )
        self.state = commit.make_commit(settings, member_id=self.self_id, incarnation=1)
        self.now_ms = 1_000
        self.timers = Timers()
        self.members = members

    @property
    def context(self) -> Context:
        nothing = cast("Any", None)
        return Context(self.now_ms, nothing, cast("Any", self.members), nothing, self.timers)

    def submit(self) -> fx.Effects:
        return commit.submit(self.state, self.context, stream=STREAM, entries=[ENTRY])[1]

    def give(self, event: ev.Event) -> fx.Effects:
        return commit.reduce(self.state, self.context, event)

    def wait(self, for_ms: int) -> fx.Effects:
        effects: fx.Effects = []
        until_ms = self.now_ms + for_ms
        while (due_ms := self.timers.next_due_ms()) is not None and due_ms <= until_ms:
            self.now_ms = due_ms
            for fired in self.timers.pop_due(self.now_ms):
                effects += self.give(fired)
        self.now_ms = until_ms
        return effects

    def read_back(self, last_sequence: int) -> fx.Effects:
        return self.give(ev.LedgerAdvanced(STREAM, 9, True, last_sequence, (), ()))


def appended(effects: fx.Effects) -> list[list[int]]:
    """The sequence numbers of the groups in each append."""
    records = [json.loads(e.body) for e in effects if isinstance(e, fx.AppendRecord)]
    return [[group["sequence"] for group in record["groups"]] for record in records]


def last_append(effects: fx.Effects) -> fx.AppendRecord:
    return [effect for effect in effects if isinstance(effect, fx.AppendRecord)][-1]


@pytest.fixture
def bench() -> Bench:
    return Bench(is_committer=True)


def test_groups_that_wait_share_an_append(bench: Bench) -> None:
    first = bench.submit()
    assert appended(first) == [[1]]
    bench.submit()
    bench.submit()
    append_id = last_append(first).append_id
    assert appended(bench.give(ev.AppendDone(STREAM, append_id, 0))) == [[2, 3]]


def test_appends_keep_within_the_rate_whatever_the_load(bench: Bench) -> None:
    """Ten a second are allowed; after a quiet time a few may come at once."""
    appends = 0
    for _ in range(2_000):
        effects = [*bench.submit(), *bench.wait(5)]
        while appended(effects):
            appends += 1
            effects = bench.give(ev.AppendDone(STREAM, last_append(effects).append_id, 0))
    assert appends <= 10 * 10 + commit.BURST_APPENDS + 1
    assert appends >= 95


def test_other_daemons_groups_ride_along(bench: Bench) -> None:
    group = b'{"writer":"x","incarnation":1,"sequence":7,"entries":[]}'
    message = ms.CommitGroup(ticket=7, stream=STREAM, group=group)
    assert appended(bench.give(ev.MessageReceived("x", message))) == [[7]]
    assert appended(bench.give(ev.MessageReceived("x", message))) == []


def test_lost_answer_appends_the_same_again(bench: Bench) -> None:
    """Symptom: a caller waits for good.

    Events: the append's answer is lost. Cause: a group dropped with its append, though nobody knows
    whether it was written.
    """
    append_id = last_append(bench.submit()).append_id
    bench.submit()
    bench.give(ev.AppendFailed(STREAM, append_id, True, 0, "lost"))
    assert appended(bench.wait(300)) == [[1, 2]]


def test_writer_appends_for_itself_when_its_committer_is_silent() -> None:
    """Symptom: nothing is committed.

    Events: the committer froze with our groups in its buffer. Cause: only one daemon ever wrote.
    """
    bench = Bench(is_committer=False)
    sent = bench.submit()
    assert [e.member_id for e in sent if isinstance(e, fx.SendMessage)] == [bench.committer]
    assert appended(bench.wait(1_000)) == [[1]]
    assert bench.read_back(1) == []
    assert bench.state.unapplied() == 0


def test_slow_log_is_not_given_more_the_slower_it_is() -> None:
    """Symptom: a slow log drowns.

    Events: read-back takes seconds. Cause: each writer appends all it waits for again and again, as
    often as ever.
    """
    bench = Bench(is_committer=False)
    bench.submit()
    appends = 0
    for _ in range(30):
        effects = bench.wait(1_000)
        appends += len(appended(effects))
        if appended(effects):
            bench.give(ev.AppendDone(STREAM, last_append(effects).append_id, 0))
    assert appends <= 7


def test_steady_flow_does_not_put_off_sending_again() -> None:
    """Symptom: all calls of a daemon stall, for as long as new ones come.

    Events: the committer loses one group; the later ones are void, their sequence having a gap; new
    groups come several times a second. Cause: each new group moved the timer that sends again.
    """
    bench = Bench(is_committer=False)
    appends: list[list[int]] = []
    for _ in range(10):
        appends += appended(bench.submit())
        appends += appended(bench.wait(200))
    assert appends
    assert appends[0][0] == 1
