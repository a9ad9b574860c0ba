"""Tests of the catalogue's state machine and of the check of one entry."""

from __future__ import annotations

import json
from typing import Any

import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from quincespool.core.catalogue.fold import MAX_HISTORY
from quincespool.core.catalogue.fold import CheckpointError
from quincespool.core.catalogue.fold import EditResult
from quincespool.core.catalogue.reducer import CatalogueFold
from quincespool.core.catalogue.reducer import check_entry

CLASS: dict[str, Any] = {
    "kind": "class",
    "owner": "Stock desk",
    "budget_tokens": 1000,
    "turn_limit": 10,
    "program_deadline_ms": 60_000,
    "call_limit_ms": 5_000,
    "idle_limit_ms": 1_000,
    "models": ["org/stock-8b"],
    "services": ["orders"],
    "accounts": ["abay"],
}
SERVICE: dict[str, Any] = {
    "kind": "service",
    "owner": "Orders",
    "non_idempotent": ["/orders"],
    "time_limit_ms": 2_000,
}
BACKEND: dict[str, Any] = {
    "kind": "backend",
    "owner": "Engines",
    "address": "127.0.0.1:9000",
    "zone": "bole",
    "backend_kind": "model",
    "serves": ["org/stock-8b"],
    "slots": 8,
}
ACCOUNT: dict[str, Any] = {
    "kind": "account",
    "owner": "Sales",
    "concurrent_calls": 4,
    "tokens_per_minute": 9000,
}


@pytest.fixture
def fold() -> CatalogueFold:
    return CatalogueFold()


def edit(edit_id: str, *changes: tuple[str, int, dict[str, Any] | None]) -> bytes:
    fields = ("name", "base_version", "entry")
    listed = [dict(zip(fields, change, strict=True)) for change in changes]
    record = {"kind": "edit", "edit_id": edit_id, "editor": f"{edit_id}'s editor"}
    return json.dumps({**record, "changes": listed}).encode()


def applied(fold: CatalogueFold, body: bytes) -> EditResult:
    result = fold.apply(fold.next_offset, body)
    assert result is not None
    return result


@pytest.mark.parametrize(
    ("name", "entry"),
    [("class/a", CLASS), ("service/a", SERVICE), ("backend/a", BACKEND), ("account/a", ACCOUNT)],
)
def test_valid_entries_have_no_faults(name: str, entry: dict[str, Any]) -> None:
    assert check_entry(name, entry) == []
    for key in entry:
        rest = {other: value for other, value in entry.items() if other != key}
        assert [fault.split(":")[0] for fault in check_entry(name, rest)] == [key]


@pytest.mark.parametrize(
    ("name", "entry", "key", "value"),
    [
        ("class/a", CLASS, "budget_tokens", 0),
        ("class/a", CLASS, "turn_limit", True),
        ("class/a", CLASS, "call_limit_ms", 2**60),
        ("class/a", CLASS, "owner", " "),
        ("class/a", CLASS, "budget", 5),
        ("class/a", CLASS, "models", "stock"),
        ("class/a", CLASS, "priority", 10),
        ("class/a", CLASS, "kind", "service"),
        ("service/a", SERVICE, "non_idempotent", ["orders"]),
        ("backend/a", BACKEND, "address", "127.0.0.1"),
        ("backend/a", BACKEND, "address", "127.0.0.1:65536"),
        ("backend/a", BACKEND, "backend_kind", "engine"),
        ("backend/a", BACKEND, "serves", []),
        ("account/a", ACCOUNT, "concurrent_calls", 1.5),
    ],
)
def test_faults_name_their_key(name: str, entry: dict[str, Any], key: str, value: object) -> None:
    faults = check_entry(name, {**entry, key: value})
    assert [fault.split(":")[0] for fault in faults] == [key]


@pytest.mark.parametrize("name", ["stock", "pool/a", "class/", "class/a b", "class/a/b", "class/é"])
def test_bad_names_are_faults(name: str) -> None:
    assert check_entry(name, CLASS)


def test_the_edit_that_lost_a_race_is_told_who_won(fold: CatalogueFold) -> None:
    """Symptom: an operator's change vanishes. Two edit the same version; the later would win."""
    assert applied(fold, edit("first", ("class/a", -1, CLASS))).accepted
    late = applied(fold, edit("late", ("account/a", -1, ACCOUNT), ("class/a", -1, CLASS)))
    assert not late.accepted
    assert [tuple(lost) for lost in late.lost_to] == [
        ("class/a", 0, "first's editor", "Stock desk")
    ]
    assert fold.find("account/a") is None
    assert applied(fold, edit("again", ("class/a", 0, CLASS))).version == 2


def test_a_removed_entry_does_not_come_back(fold: CatalogueFold) -> None:
    """Symptom: a removed entry is in force again. A late creation names version -1 once more."""
    applied(fold, edit("make", ("class/a", -1, CLASS)))
    assert applied(fold, edit("remove", ("class/a", 0, None))).accepted
    assert fold.find("class/a") is None
    assert not applied(fold, edit("late", ("class/a", -1, CLASS))).accepted
    assert not applied(fold, edit("twice", ("class/a", 1, None))).accepted
    assert applied(fold, edit("anew", ("class/a", 1, CLASS))).accepted
    assert [item.removed for item in fold.history("class/a")] == [False, True, False]


def test_an_edit_sent_twice_counts_once(fold: CatalogueFold) -> None:
    """Symptom: a publisher is told it lost to itself. Its answer was lost, it appended again."""
    first = applied(fold, edit("e", ("class/a", -1, CLASS)))
    assert applied(fold, edit("e", ("class/a", -1, CLASS))) == first._replace(repeated=True)
    assert fold.version == 0


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"[]",
        b"\xff",
        b"[" * 100_000,
        b'{"kind": "edit", "edit_id": "", "editor": "a", "changes": []}',
        b'{"kind":"edit","edit_id":"e","editor":"a","changes":[{"name":"class/a","base_version":0}]}',
    ],
)
def test_malformed_records_are_void(fold: CatalogueFold, body: bytes) -> None:
    """Symptom: no edit comes into force any more. One bad record stopped every reader for good."""
    applied(fold, edit("make", ("class/a", -1, CLASS)))
    assert fold.apply(1, body) is None
    assert applied(fold, edit("next", ("class/a", 0, CLASS))).version == 2


def test_invalid_edits_are_refused_whole(fold: CatalogueFold) -> None:
    bad = applied(fold, edit("e", ("account/a", -1, ACCOUNT), ("class/a", -1, {"kind": "class"})))
    assert not bad.accepted
    assert any(fault.startswith("class/a: owner") for fault in bad.faults)
    assert applied(fold, edit("none")).faults
    assert applied(fold, edit("dup", ("class/a", -1, CLASS), ("class/a", -1, CLASS))).faults
    assert fold.entries() == {}


def test_history_is_bounded_and_survives_a_checkpoint(fold: CatalogueFold) -> None:
    for at in range(MAX_HISTORY + 5):
        applied(fold, edit(f"e{at}", ("class/a", at - 1, {**CLASS, "owner": f"owner {at}"})))
    copy = CatalogueFold.from_checkpoint(fold.to_checkpoint())
    assert copy.history("class/a") == fold.history("class/a")
    assert copy.history("class/a")[0].owner == "owner 5"
    assert len(copy.history("class/a")) == MAX_HISTORY
    with pytest.raises(CheckpointError):
        CatalogueFold.from_checkpoint(fold.to_checkpoint()[:-1])


json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(), inner, max_size=3),
    max_leaves=5,
)
mutated = st.tuples(st.sampled_from([CLASS, BACKEND]), st.sampled_from(sorted(CLASS)), json_values)
changes = st.tuples(
    st.sampled_from(["class/a", "backend/a", "class/\ud800", "x"]), st.integers(-1, 9), mutated
)


@settings(derandomize=True, max_examples=150, deadline=None, database=None)
@given(st.lists(changes, max_size=6))
def test_no_record_breaks_the_fold_or_its_checkpoint(
    edits: list[tuple[str, int, tuple[dict[str, Any], str, object]]],
) -> None:
    fold = CatalogueFold()
    for at, (name, base, (entry, key, value)) in enumerate(edits):
        fold.apply(at, edit(f"e{at}", (name, base, {**entry, key: value})))
    copy = CatalogueFold.from_checkpoint(fold.to_checkpoint())
    assert copy.to_checkpoint() == fold.to_checkpoint()
    assert copy.entries() == fold.entries()
