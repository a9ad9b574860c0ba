"""Tests of the catalogue part: several daemons on one log that expires, fails and lags.

`Bench` carries out the effects of the parts one at a time, as the test or hypothesis chooses.
"""

from __future__ import annotations

import json
from typing import TYPE_CHECKING
from typing import Any

import pytest
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import invariant
from hypothesis.stateful import rule

from quincespool.core.catalogue import writer as catalogue_writer
from quincespool.core.catalogue.checkpoint import CheckpointWrite
from quincespool.core.events import LogRecord
from quincespool.core.events import MessageReceived
from quincespool.core.events import RecordsRead
from quincespool.core.events import StreamUnreachable
from quincespool.core.events import Woken
from quincespool.core.messages import CatalogueTold
from tests.core.catalogue.catalogue_bench import NAMES
from tests.core.catalogue.catalogue_bench import READ_LIMIT
from tests.core.catalogue.catalogue_bench import Bench

if TYPE_CHECKING:
    from quincespool.core.catalogue.reducer import CatalogueState


@pytest.fixture
def bench() -> Bench:
    return Bench(3)


def calls_of(state: CatalogueState, name: str) -> int | None:
    entry = state.account_entry(name.partition("/")[2])
    return entry["concurrent_calls"] if entry else None


def test_a_newcomer_shows_nothing_before_the_end(bench: Bench) -> None:
    """Symptom: an edit reverts at one host. It starts, replays the log, and acts on old entries."""
    for at in range(READ_LIMIT + 2):
        bench.publish("account/a", at - 1, at + 1)
    daemon = bench.restart("d0")
    daemon.read()
    assert not daemon.state.ready
    assert daemon.state.find("account/a") is None
    daemon.read_to_end()
    assert calls_of(daemon.state, "account/a") == READ_LIMIT + 2
    assert daemon.changed == ["account/a"]
    described = daemon.state.describe("account/a", 1)
    assert described == {"name": "account/a", "version": 1, "owner": "o2", "editor": "op"}


def test_a_checkpoint_outlives_the_records(bench: Bench, monkeypatch: pytest.MonkeyPatch) -> None:
    """Symptom: a new host has no catalogue. The accepted records have expired from the log."""
    monkeypatch.setattr("quincespool.core.catalogue.checkpoint.PART_BYTES", 100)
    bench.publish("account/a", -1, 5)
    bench.settle(40)
    end = len(bench.log)
    assert end > 2
    assert all(json.loads(body)["kind"] == "checkpoint" for body in bench.log[1:])
    bench.earliest = 1
    bench.publish("account/b", -1, 6)
    newcomer = bench.restart("d0")
    newcomer.read_to_end()
    assert calls_of(newcomer.state, "account/a") == 5
    assert calls_of(newcomer.state, "account/b") == 6
    assert newcomer.state.next_offset == len(bench.log)


def test_lost_answers_do_not_stop_a_checkpoint(bench: Bench) -> None:
    """Symptom: no checkpoint is ever whole. The answer to each append is lost after the write."""
    bench.lose_answers = True
    bench.publish("account/a", -1, 5)
    bench.settle(20)
    assert not any(daemon.state.write for daemon in bench.daemons.values())
    assert [json.loads(body)["kind"] for body in bench.log] == ["edit", "checkpoint"]


def test_the_next_in_rank_writes_when_the_first_does_not(bench: Bench) -> None:
    """Symptom: checkpoints stop. The daemon that should write them is frozen, yet seems alive."""
    bench.publish("account/a", -1, 5)
    bench.settle()
    writer = json.loads(bench.log[-1])["writer"]
    del bench.daemons[writer]
    bench.settle(3)
    written = len(bench.log)
    bench.tick(catalogue_writer.CHECKPOINT_INTERVAL_MS * 7 // 4)
    bench.settle(3)
    assert len(bench.log) == written + 1
    assert json.loads(bench.log[-1])["writer"] != writer


def test_a_newcomer_asks_its_peers_while_the_log_is_out(bench: Bench) -> None:
    """Symptom: a host replaced in a log outage refuses everything until the log is back."""
    bench.publish("account/a", -1, 5)
    bench.settle()
    bench.log_up = False
    newcomer = bench.restart("d0")
    newcomer.read()
    bench.tick()
    bench.deliver()
    assert newcomer.state.ready
    assert calls_of(newcomer.state, "account/a") == 5
    assert newcomer.state.dump(bench.now_ms)["stale"]
    bench.log_up = True
    bench.publish("account/a", 0, 7)
    newcomer.read_to_end()
    assert calls_of(newcomer.state, "account/a") == 7


def test_a_host_cut_off_from_the_log_gets_edits_from_its_peers(bench: Bench) -> None:
    """Symptom: an edit is in force nearly everywhere. One host's way to the log is broken."""
    bench.settle()
    bench.publish("account/a", -1, 5)
    cut = bench.daemons["d0"]
    for _ in range(10):
        bench.tick()
        bench.deliver()
        cut.handle(StreamUnreachable("catalogue", ""))
        for name in ("d1", "d2"):
            bench.daemons[name].read_to_end()
    assert calls_of(cut.state, "account/a") == 5
    assert cut.changed == ["account/a"]


def test_an_answer_to_an_older_read_is_not_applied(bench: Bench) -> None:
    """Symptom: one host judges edits unlike the rest. A late answer skipped records for it."""
    for at in range(3):
        bench.publish("account/a", at - 1, at + 1)
    daemon = bench.restart("d0")
    daemon.handle(RecordsRead("catalogue", (LogRecord(2, bench.log[2]),), 3, 3))
    assert not daemon.state.ready
    assert daemon.position == 0
    daemon.read_to_end()
    daemon.handle(RecordsRead("catalogue", (LogRecord(0, bench.log[0]),), 1, 3))
    assert calls_of(daemon.state, "account/a") == 3


def test_an_older_catalogue_of_a_peer_is_not_adopted(bench: Bench) -> None:
    """Symptom: an edit reverts in a log outage. A host asked a peer that had read less."""
    bench.publish("account/a", -1, 1)
    bench.settle()
    as_of, old = bench.daemons["d1"].state.checkpoint()
    bench.publish("account/a", 0, 2)
    bench.settle()
    daemon = bench.daemons["d0"]
    bench.now_ms += 60_000
    daemon.handle(MessageReceived("d1", CatalogueTold(as_of, old)))
    assert calls_of(daemon.state, "account/a") == 2


def test_a_checkpoint_that_does_not_reach_the_kept_records_is_no_use(bench: Bench) -> None:
    """Symptom: a new host misses an edit that expired between a checkpoint and the kept records."""
    bench.publish("account/a", -1, 1)
    bench.daemons["d1"].read_to_end()
    as_of, state = bench.daemons["d1"].state.checkpoint()
    bench.publish("account/a", 0, 2)
    bench.append(CheckpointWrite(state, as_of=as_of, writer="d1", now_ms=0).body(0))
    bench.earliest = 2
    newcomer = bench.restart("d0")
    newcomer.read_to_end()
    assert not newcomer.state.ready


def test_a_peer_bridges_a_gap_without_edits(bench: Bench) -> None:
    """Symptom: a host stays stale for half an hour. It slept until its place had expired."""
    bench.publish("account/a", -1, 1)
    bench.settle()
    bench.log += [b"{}"] * 3
    bench.daemons["d1"].read_to_end()
    bench.earliest = len(bench.log)
    daemon = bench.daemons["d0"]
    daemon.read()
    assert daemon.state.dump(bench.now_ms)["waiting_for_checkpoint"]
    bench.settle()
    assert not daemon.state.dump(bench.now_ms)["waiting_for_checkpoint"]
    assert daemon.state.lag_ms(bench.now_ms) == 0


class CatalogueMachine(RuleBasedStateMachine):
    """Any interleaving of edits, reads, expiry, outages, restarts, wakes and lost messages."""

    def __init__(self) -> None:
        super().__init__()
        self.bench = Bench(3)
        self.truth: list[dict[str, tuple[int, int | None]]] = []
        self.seen: dict[CatalogueState, int] = {}

    def versions(self) -> dict[str, tuple[int, int | None]]:
        return self.truth[-1] if self.truth else {}

    def catch_up_truth(self) -> None:
        """The oracle: compare and set by name, on the whole log that no reader gets to see."""
        for offset in range(len(self.truth), len(self.bench.log)):
            now = dict(self.versions())
            record = json.loads(self.bench.log[offset])
            for change in record.get("changes", ()):
                version, calls = now.get(change["name"], (-1, None))
                new = change["entry"] and change["entry"]["concurrent_calls"]
                if version == change["base_version"] and (new or calls):
                    now[change["name"]] = (offset, new)
            self.truth.append(now)

    daemon_ids = st.sampled_from(["d0", "d1", "d2"])

    @rule(name=st.sampled_from(NAMES), calls=st.none() | st.integers(1, 9), behind=st.booleans())
    def edit(self, name: str, calls: int | None, behind: bool) -> None:
        version = self.versions().get(name, (-1, None))[0]
        self.bench.publish(name, version - behind, calls)

    @rule(member_id=daemon_ids)
    def read(self, member_id: str) -> None:
        self.bench.daemons[member_id].read()

    @rule(member_id=daemon_ids)
    def read_to_end(self, member_id: str) -> None:
        if self.bench.log_up:
            self.bench.daemons[member_id].read_to_end()

    @rule(by_ms=st.sampled_from([1_000, 6_000, 2_000_000]))
    def tick(self, by_ms: int) -> None:
        self.bench.tick(by_ms)

    @rule(drop=st.booleans(), twice=st.booleans())
    def deliver(self, drop: bool, twice: bool) -> None:
        if self.bench.mail:
            to, event = self.bench.mail.popleft()
            for _ in range((not drop) * (1 + twice)):
                self.bench.daemons[to].handle(event)

    @rule(member_id=daemon_ids)
    def restart(self, member_id: str) -> None:
        self.bench.restart(member_id)

    @rule(member_id=daemon_ids)
    def wake(self, member_id: str) -> None:
        self.bench.daemons[member_id].handle(Woken(60_000))

    @rule()
    def switch_log(self) -> None:
        self.bench.log_up = not self.bench.log_up

    @rule()
    def expire(self) -> None:
        """Retention is longer than the time between checkpoints: the newest whole one stays."""
        for offset, body in reversed(list(enumerate(self.bench.log))):
            record = json.loads(body)
            if record["kind"] == "checkpoint" and record["parts"] == 1:
                self.bench.earliest = max(self.bench.earliest, min(record["as_of"], offset))
                return

    @invariant()
    def shows_a_true_state_and_never_an_older_one(self) -> None:
        self.catch_up_truth()
        for daemon in self.bench.daemons.values():
            state = daemon.state
            if not state.ready:
                assert calls_of(state, NAMES[0]) is None
                continue
            at = state.fold.next_offset
            assert at >= self.seen.get(state, 0)
            self.seen[state] = at
            truth = self.truth[at - 1] if at else {}
            for name in NAMES:
                assert calls_of(state, name) == truth.get(name, (-1, None))[1]
                assert state.fold.version_of(name) == truth.get(name, (-1, None))[0]

    def teardown(self) -> None:
        self.bench.log_up = True
        self.bench.settle(3)
        self.catch_up_truth()
        for daemon in self.bench.daemons.values():
            assert daemon.state.ready
            for name in NAMES:
                assert calls_of(daemon.state, name) == self.versions().get(name, (-1, None))[1]


TestCatalogueMachine = CatalogueMachine.TestCase
TestCatalogueMachine.settings = hypothesis_settings(
    derandomize=True, max_examples=60, stateful_step_count=40, deadline=None, database=None
)


def test_backends_are_found_by_what_they_serve(bench: Bench) -> None:
    def backend(base: int, serves: list[str] | None) -> None:
        entry: dict[str, Any] = {"kind": "backend", "owner": "o", "address": "127.0.0.1:1"}
        entry |= {"zone": "z", "backend_kind": "model", "serves": serves, "slots": 1}
        change = {"name": "backend/x", "base_version": base, "entry": serves and entry}
        record = {"kind": "edit", "edit_id": str(base), "editor": "op", "changes": [change]}
        bench.append(json.dumps(record).encode())
        bench.daemons["d0"].read_to_end()

    state = bench.daemons["d0"].state
    backend(-1, ["m", "n"])
    assert (state.backends_for("m"), state.backends_for("n")) == (["x"], ["x"])
    backend(0, ["n"])
    assert (state.backends_for("m"), state.backends_for("n")) == ([], ["x"])
    backend(1, None)
    assert (state.backends_for("n"), state.backends()) == ([], {})
