"""Tests of the quarantine: guilty requests are stopped after two crashes, innocent ones are not."""

from __future__ import annotations

import pytest

from quincespool.core import effects as fx
from quincespool.core import events as ev
from quincespool.core import messages as ms
from quincespool.core.quarantine import reducer as quarantine
from tests.core.keeper import keeper_bench as kb
from tests.core.keeper.keeper_bench import Bench


class Log:
    """The stream, as the daemons' benches append to it and read it."""

    def __init__(self) -> None:
        self.records: list[bytes] = []

    def write(self, bench: Bench, effects: fx.Effects, *, lose_answer: bool = False) -> None:
        """Carries out appends until no more come."""
        for append in kb.of(effects, fx.AppendRecord):
            self.records.append(append.body)
            done = ev.AppendDone("quarantine", append.append_id, len(self.records) - 1)
            failed = ev.AppendFailed("quarantine", append.append_id, True, 0, "lost")
            self.write(bench, bench.give(failed if lose_answer else done))

    def read(self, bench: Bench) -> fx.Effects:
        """Lets a daemon read to the end."""
        start = bench.quarantine.log.next_offset
        new = tuple(ev.LogRecord(start + n, body) for n, body in enumerate(self.records[start:]))
        end = len(self.records)
        return bench.give(ev.RecordsRead("quarantine", new, end, end))


@pytest.fixture
def bench() -> Bench:
    return Bench()


@pytest.fixture
def log() -> Log:
    return Log()


def complete(bench: Bench, fingerprint: str) -> fx.Effects:
    return bench.quarantine.note_completed(
        bench.context, fingerprint=fingerprint, program_id="p", call_number=1
    )


def test_blocked_at_once_and_for_good(bench: Bench, log: Log) -> None:
    """A request crashes one engine after the other.

    Its caller sends it again under new programs, so each crash is seen by another owner; the log is
    slow meanwhile, and all daemons are replaced afterwards.
    """
    assert bench.give(ev.Started())[0] == fx.FollowStream("quarantine", 0)
    first = kb.crash(bench, "f", "e1")
    assert [one.member_id for one in kb.of(first, fx.SendMessage)] == ["k1", "o1", "o2"]
    assert bench.quarantine.suspect("f")
    assert not bench.quarantine.blocked("f")
    bench.tell("o1", ms.CrashSeen("f", "e2", "q", 1))
    assert bench.quarantine.blocked("f")
    other = Bench()
    log.write(bench, first)
    log.write(other, kb.crash(other, "f", "e2"))
    newcomer = Bench()
    log.read(newcomer)
    assert newcomer.quarantine.blocked("f")
    assert complete(newcomer, "f") == []


def test_one_crash_is_counted_once(bench: Bench, log: Log) -> None:
    """An innocent request is blocked after one crash.

    Two pharmacists sent the same question, and both copies were on the engine that another's
    request crashed: two owners report it, by clocks that need not agree.
    """
    other = Bench()
    other.now_ms += 3_600_000
    effects = kb.crash(bench, "f", "e1")
    assert kb.crash(bench, "f", "e1") == []
    other.tell("k1", ms.CrashSeen("f", "e1", "p", 1))
    log.write(other, kb.crash(other, "f", "e1"))
    log.write(bench, effects, lose_answer=True)
    log.write(bench, bench.wait(1000))
    for daemon in (bench, other):
        log.read(daemon)
        assert daemon.quarantine.crashes("f") == 1
    assert len(log.records) == 3


def test_second_crash_of_the_only_server_counts(bench: Bench, log: Log) -> None:
    log.write(bench, kb.crash(bench, "f", "e1"))
    assert not bench.quarantine.may_try("f", "e1", now_ms=bench.now_ms + 5000)
    assert bench.quarantine.may_try("f", "e1", now_ms=bench.now_ms + 6000)
    bench.wait(6000)
    log.write(bench, kb.crash(bench, "f", "e1"))
    other = Bench()
    log.read(other)
    assert other.quarantine.blocked("f")


def test_trial_backend(bench: Bench) -> None:
    names = ["e1", "e2", "e3"]
    before = bench.quarantine.trial_backend("f", names)
    kb.crash(bench, "f", before)
    after = bench.quarantine.trial_backend("f", names)
    assert after != before
    assert bench.quarantine.trial_backend("f", names[::-1]) == after


def test_cleared_by_a_run_to_the_end(bench: Bench, log: Log) -> None:
    log.records = [b"{", b'{"kind":"crash"}', b'{"kind":"other"}']
    log.write(bench, kb.crash(bench, "f", "e1"))
    log.read(bench)
    log.write(bench, complete(bench, "f"))
    assert complete(bench, "f") == []
    assert bench.quarantine.suspect("f")
    log.read(bench)
    assert not bench.quarantine.suspect("f")


def test_repeated_clearing_spares_a_later_crash(bench: Bench, log: Log) -> None:
    """A guilty request is let through a third time.

    The record that clears it is written, its answer lost; a crash comes before the repeat.
    """
    log.write(bench, kb.crash(bench, "f", "e1"))
    log.read(bench)
    log.write(bench, complete(bench, "f"), lose_answer=True)
    other = Bench()
    log.write(other, kb.crash(other, "f", "e2"))
    log.write(bench, bench.wait(1000))
    log.read(bench)
    assert len(log.records) == 4
    assert bench.quarantine.crashes("f") == 1


def test_guilt_does_not_spread(log: Log) -> None:
    """Innocent requests are blocked for good because they ran next to a guilty one.

    An engine crashes with four requests on it. All are sent to the next engine at once; the guilty
    one crashes that too.
    """
    bench = Bench()
    names = ["f-i1", "f-guilty", "f-i2", "f-i3"]
    for name in names:
        log.write(bench, kb.crash(bench, name, "first"))
    log.read(bench)
    waiting = [bench.tell("o1", kb.dispatch(name[2:])) for name in names]
    running = [name for effects in waiting for name in kb.started(effects)]
    exchange_id = 0
    while running:
        assert len(running) == 1
        exchange_id += 1
        if running == ["guilty"]:
            bench.cut(exchange_id)
            log.write(bench, kb.crash(bench, "f-guilty", "e"))
            running = kb.started(bench.wait(1000))
            continue
        effects = bench.finish_chat(exchange_id)
        log.write(bench, complete(bench, f"f-{running[0]}"))
        log.read(bench)
        running = kb.started(effects)
    assert exchange_id == 4
    log.read(bench)
    assert [name for name in names if bench.quarantine.blocked(name)] == ["f-guilty"]
    assert not any(bench.quarantine.suspect(name) for name in names)


def test_log_outage(bench: Bench, log: Log) -> None:
    """Crashes seen while the log is out are forgotten with the process that saw them."""
    [first] = kb.of(kb.crash(bench, "f", "e1"), fx.AppendRecord)
    assert kb.of(kb.crash(bench, "g", "e1"), fx.AppendRecord) == []
    for _ in range(10):
        bench.give(ev.AppendFailed("quarantine", first.append_id, False, 0, "out"))
        [again] = kb.of(bench.wait(10_000), fx.AppendRecord)
        assert again == first
    log.write(bench, [again])
    other = Bench()
    log.read(other)
    assert set(other.quarantine.log.suspects) == {"f", "g"}


def test_blocked_outlives_retention(bench: Bench, log: Log) -> None:
    """A request blocked for good runs again, once the log has expired its crashes."""
    bench.members.ids = ["a1", "k1"]
    for backend in ("e1", "e2"):
        log.write(bench, kb.crash(bench, "f", backend))
    bench.give(ev.Started())
    log.read(bench)
    early = bench.wait(quarantine.CHECKPOINT_AGE_MS)
    assert kb.of(early, fx.AppendRecord) == []
    log.write(bench, bench.wait(quarantine.CHECKPOINT_TURN_MS + quarantine.CHECKPOINT_CHECK_MS))
    assert len(log.records) == 3
    newcomer = Bench()
    assert newcomer.give(ev.StreamExpired("quarantine", 2)) == [fx.FollowStream("quarantine", 2)]
    log.read(newcomer)
    assert newcomer.quarantine.blocked("f")
    assert newcomer.quarantine.log.complete
