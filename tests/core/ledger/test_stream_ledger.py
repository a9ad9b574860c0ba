"""The rules by which records of a stream count."""

from __future__ import annotations

import json
from typing import Any

import pytest

from quincespool.core.ledger import stream_ledger
from quincespool.core.ledger.program_record import next_chain
from quincespool.core.ledger.stream_ledger import FORGET_ENDED_MS
from quincespool.core.ledger.stream_ledger import StreamLedger

PARTITION = "partition/0"


class Stream:
    """A ledger with its stream, one partition, and writers that number their groups."""

    def __init__(self) -> None:
        self.ledger = StreamLedger(partition_count=1)
        self.offset = 0
        self.sequences: dict[tuple[str, int], int] = {}

    def write(self, writer: str, *entries: dict[str, Any], incarnation: int = 1) -> int:
        """Appends the writer's next group; returns its offset."""
        key = (writer, incarnation)
        self.sequences[key] = self.sequences.get(key, 0) + 1
        return self.write_numbered(writer, self.sequences[key], *entries, incarnation=incarnation)

    def write_numbered(
        self, writer: str, sequence: int, *entries: dict[str, Any], incarnation: int = 1
    ) -> int:
        group = {
            "writer": writer,
            "incarnation": incarnation,
            "sequence": sequence,
            "entries": entries,
        }
        self.ledger.apply(self.offset, json.dumps({"groups": [group]}).encode())
        self.offset += 1
        return self.offset - 1

    def claim(self, writer: str, previous: int, *, incarnation: int = 1) -> int:
        entry = {
            "kind": "claim",
            "resource": PARTITION,
            "holder": writer,
            "incarnation": incarnation,
            "previous": previous,
        }
        return self.write(writer, entry, incarnation=incarnation)

    def granted(self) -> int:
        record = self.ledger.program("p")
        assert record is not None
        return record.granted_tokens


def opened(epoch: int) -> dict[str, Any]:
    return {
        "kind": "opened",
        "epoch": epoch,
        "program": "p",
        "class_name": "stock",
        "class_version": 0,
        "owner": "buyers",
        "account": "abay",
        "budget_tokens": 100,
        "opened_at_ms": 1,
    }


def piece(epoch: int, tokens: int) -> dict[str, Any]:
    return {"kind": "slice", "epoch": epoch, "program": "p", "tokens": tokens}


def intent(epoch: int, number: int) -> dict[str, Any]:
    return {
        "kind": "intent",
        "epoch": epoch,
        "program": "p",
        "call_number": number,
        "fingerprint": f"f{number}",
        "holder": "a",
        "incarnation": 1,
    }


def outcome(epoch: int, number: int, chain: str = "", **changes: Any) -> dict[str, Any]:
    entry: dict[str, Any] = {
        "kind": "outcome",
        "epoch": epoch,
        "program": "p",
        "call_number": number,
        "fingerprint": f"f{number}",
        "verdict": "ran",
        "status": 200,
        "reason": "",
        "body": "done",
        "encoding": "utf8",
        "content_type": "text/plain",
        "tokens": 30,
        "backend": "e",
        "class_version": 0,
        "outcome_id": "o",
        "chain": next_chain(chain, call_number=number, fingerprint=f"f{number}", body="done"),
        "at_ms": 2,
    }
    return entry | changes


@pytest.fixture
def stream() -> Stream:
    fresh = Stream()
    assert fresh.claim("a", -1) == 0
    fresh.write("a", opened(0), piece(0, 40))
    return fresh


def test_of_two_claims_the_first_in_the_log_counts(stream: Stream) -> None:
    winner = stream.claim("b", 0)
    stream.claim("c", 0)
    claim = stream.ledger.claim(PARTITION)
    assert claim is not None
    assert (claim.holder, claim.epoch) == ("b", winner)


def test_superseded_owner_writes_nothing_that_counts(stream: Stream) -> None:
    """Symptom: two owners' calls mix in one history.

    Events: owner a is paused, b takes over, a goes on writing under its old epoch, or under the new
    one that it has read of. Cause: entries taken by their form and not by their writer's claim.
    """
    epoch = stream.claim("b", 0)
    stream.write("a", outcome(0, 1))
    stream.write("a", outcome(epoch, 1))
    record = stream.ledger.program("p")
    assert record is not None
    assert record.last_call == 0
    stream.write("b", outcome(epoch, 1))
    assert record.last_call == 1


def test_group_sent_again_counts_once(stream: Stream) -> None:
    """Symptom: a budget slice is granted twice.

    Events: the answer to an append is lost, the writer sends the group again; or a group comes
    before the one it follows. Cause: groups taken as often and in the order as they come.
    """
    stream.write_numbered("a", 3, piece(0, 10))
    stream.write_numbered("a", 3, piece(0, 10))
    assert stream.granted() == 50
    stream.write_numbered("a", 5, piece(0, 10))
    assert stream.granted() == 50
    stream.write_numbered("a", 4, piece(0, 10))
    assert stream.granted() == 60


def test_earlier_incarnation_is_over_once_the_next_has_written(stream: Stream) -> None:
    stream.write("a", incarnation=2)
    stream.write("a", piece(0, 10))
    assert stream.granted() == 40
    assert stream.ledger.superseded("a", 1)


def test_takeover_counts_the_open_slice_as_spent(stream: Stream) -> None:
    """Symptom: a program spends more than its budget.

    Events: an owner dies with an attempt under way that no outcome tells of; its successor draws a
    slice for what the outcomes leave. Cause: only recorded spending counted.
    """
    stream.write("a", outcome(0, 1))
    epoch = stream.claim("b", 0)
    stream.write("b", piece(epoch, 40))
    record = stream.ledger.program("p")
    assert record is not None
    assert record.closed_tokens == 40
    stream.write("b", piece(epoch, 30))
    assert stream.granted() == 80


def test_yield_gives_back_what_was_not_spent(stream: Stream) -> None:
    stream.write("a", outcome(0, 1))
    given = {"kind": "yield", "resource": PARTITION, "epoch": 0, "unrecorded_tokens": {"p": 5}}
    offset = stream.write("a", given)
    assert stream.granted() == 35
    stream.claim("b", 0)
    assert stream.ledger.epoch(PARTITION) == offset
    assert stream.claim("b", offset) == stream.ledger.epoch(PARTITION)


def test_outcomes_follow_without_gaps_and_chain(stream: Stream) -> None:
    stream.write("a", outcome(0, 2))
    stream.write("a", outcome(0, 1, chain="forged"))
    record = stream.ledger.program("p")
    assert record is not None
    assert record.last_call == 0
    stream.write("a", outcome(0, 1))
    stream.write("a", outcome(0, 2, chain=record.chain))
    assert record.last_call == 2


def test_intent_of_an_earlier_epoch_cannot_be_withdrawn(stream: Stream) -> None:
    """Symptom: an order runs twice.

    Events: an owner dies between sending and recording; its successor gives the licence back and
    the repeated call runs again. Cause: a withdrawal by somebody who can't know it unused.
    """
    stream.write("a", intent(0, 1))
    epoch = stream.claim("b", 0)
    stream.write("b", outcome(epoch, 1, verdict="not_run"))
    record = stream.ledger.program("p")
    assert record is not None
    assert record.intent is not None
    stream.write("b", outcome(epoch, 1, verdict="may_have_run"))
    assert record.intent is None
    assert record.last_call == 1


def test_malformed_records_count_for_nothing_and_stop_nothing(stream: Stream) -> None:
    stream.ledger.apply(stream.offset, b'{"groups": 7}')
    stream.offset += 1
    stream.write("a", {"kind": "slice", "epoch": "zero"}, piece(0, 10))
    assert stream.granted() == 50


def test_checkpoint_states_all_there_is(stream: Stream) -> None:
    stream.write("a", intent(0, 1))
    other = StreamLedger(partition_count=1)
    other.load_json(stream.ledger.to_json())
    assert other.state == stream.ledger.state
    assert other.state.next_offset == stream.offset


def test_ended_programs_are_remembered_for_a_while(
    stream: Stream, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(stream_ledger, "KEPT_ENDED", 1)

    def end(program: str, at_ms: int) -> None:
        stream.write("a", opened(0) | {"program": program, "opened_at_ms": at_ms})
        ended = {"kind": "ended", "epoch": 0, "program": program, "reason": "x", "at_ms": at_ms}
        stream.write("a", ended)

    def remembered() -> list[str]:
        return [name for name in ("q", "r", "s") if stream.ledger.program(name) is not None]

    end("q", 10)
    end("r", FORGET_ENDED_MS + 5)
    assert remembered() == ["q", "r"], "an hour is not over"
    end("s", FORGET_ENDED_MS + 20)
    assert remembered() == ["r", "s"]
    stream.write("a", opened(0) | {"program": "t", "opened_at_ms": 9 * FORGET_ENDED_MS})
    assert remembered() == ["s"], "the last one is kept however old"
