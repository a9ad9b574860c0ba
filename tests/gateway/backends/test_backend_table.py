"""Which backend servers are in the table, and which one is chosen for a call."""

from __future__ import annotations

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from quincespool.gateway.backends.backend_table import BackendTable
from quincespool.gateway.backends.backend_table import EntryChange
from quincespool.gateway.model import BackendEntry
from quincespool.gateway.model import BackendIncarnation
from quincespool.policy.outliers import FAILURES_TO_EJECT
from quincespool.policy.placement import AFFINITY_SLACK


def _make_table(*ids: str, slots: int = 10, seed: int = 1) -> BackendTable:
    table = BackendTable(zone="z", seed=seed)
    for one in ids:
        table.put(BackendEntry(one, "model", "127.0.0.1:1", "z", slots, leaving=False, cold_ms=0))
    return table


def _choose(table: BackendTable, now_ms: int = 0, prefer: str = "") -> str:
    incarnation = BackendIncarnation(prefer, None) if prefer else None
    entry = table.choose("model", now_ms=now_ms, prefer=incarnation)
    return entry.backend_id if entry is not None else ""


def test_an_entry_that_is_removed_after_the_grace_period_is_dropped_at_once() -> None:
    """Requests must not reach a backend server over two seconds after it has announced to leave.

    The store refuses a daemon for nine seconds and serves it again; two seconds later a backend
    server leaves. The fault occurs if every entry that is removed within some seconds of an outage
    is treated as expired and kept for two seconds more.
    """
    table = _make_table("e1", "e2")
    regained_ms = 11_500
    grace_until_ms = regained_ms + 2_200
    table.remove("e1", now_ms=13_793, grace_until_ms=grace_until_ms)

    assert "e1" not in table.entries


def test_an_entry_that_expired_in_an_outage_is_used_for_the_grace_period() -> None:
    """Backend servers must still be used after an outage of the store.

    Entries expire while the store is unavailable; it is available again, and the entries are
    written again a second later. An entry that is missing until then does not show that its
    backend server has stopped.
    """
    table = _make_table("e1", "e2")
    table.retain([], now_ms=1_000, grace_until_ms=3_000)
    assert _choose(table, 1_500)
    table.put(table.entries["e1"])

    assert table.expire_missing(3_000) == ["e2"]
    assert list(table.entries) == ["e1"]


def test_the_least_busy_is_chosen() -> None:
    table = _make_table("e1", "e2")
    table.record_call_start("e1")
    assert _choose(table) == "e2"
    table.record_call_end("e1")
    table.record_call_start("e2")
    table.record_call_start("e2")
    assert _choose(table) == "e1"


def test_an_engine_whose_answers_begin_late_counts_as_busy_with_calls_of_others() -> None:
    """A daemon must not keep sending calls to an engine full of calls of other daemons.

    Answers begin after 40 ms, at one engine after 400 ms; this daemon has no call in progress. The
    fault occurs if only own calls and the reports of other daemons count as load.
    """
    table = _make_table("e1", "e2")
    for _ in range(10):
        table.record_first_event(table.entries["e1"], 40.0, 0)
        table.record_success(table.entries["e1"], 250.0)
    table.record_first_event(table.entries["e2"], 400.0, 0)
    assert _choose(table, 10) == "e1"

    for _ in range(3):
        table.record_call_start("e1")
    assert _choose(table, 60_000) == "e2"


def test_daemons_do_not_all_choose_the_same_engine() -> None:
    """One engine after another must not be full and refuse calls while the others are idle.

    Sixty daemons know of no difference between twelve engines. The fault occurs if all of them
    break ties in the same way.
    """
    names = [f"e{number}" for number in range(12)]
    chosen = [_choose(_make_table(*names, seed=seed)) for seed in range(60)]
    assert max(chosen.count(one) for one in names) < 40
    assert len(set(chosen)) > 6


def test_the_engine_with_the_cache_is_preferred_until_it_is_much_busier() -> None:
    table = _make_table("e1", "e2")
    for _ in range(int(AFFINITY_SLACK * 10)):
        table.record_call_start("e1")
    assert _choose(table, prefer="e1") == "e1"
    table.record_call_start("e1")
    assert _choose(table, prefer="e1") == "e2"


def test_a_failing_backend_server_is_ejected_for_a_while() -> None:
    table = _make_table("e1", "e2", "e3")
    for _ in range(FAILURES_TO_EJECT):
        table.record_failure("e1", 0)
    assert {_choose(table, 10) for _ in range(20)} <= {"e2", "e3"}
    table.record_call_start("e2")
    table.record_call_start("e3")
    assert _choose(table, 10_000) == "e1"


def test_failures_do_not_eject_all_backend_servers_of_a_service() -> None:
    """Calls must not all be refused while backend servers answer.

    The daemon's own link loses packets, so that every backend server seems to fail. The fault
    occurs if each one is ejected for its failures until none is left.
    """
    table = _make_table("e1", "e2", "e3")
    for one in ("e1", "e2", "e3"):
        for _ in range(5):
            table.record_failure(one, 0, unreachable=True)

    assert _choose(table, 10)


def _entry(born_ms: int | None, *, address: str = "127.0.0.1:1") -> BackendEntry:
    return BackendEntry("e1", "model", address, "z", 10, False, 0, born_ms)


def test_a_new_incarnation_starts_without_statistics() -> None:
    """A healthy engine must not go without calls for seconds, or get calls for a lost cache.

    An engine fails, is ejected, and starts again with the same id. The fault occurs if statistics
    of the previous process are applied to the new one.
    """
    table = _make_table("e2")
    table.put(_entry(1_000))
    for _ in range(FAILURES_TO_EJECT + 3):
        table.record_failure("e1", 0)
    table.record_call_start("e2")
    table.record_call_start("e2")
    assert _choose(table) == "e2"

    assert table.put(_entry(2_000)) is EntryChange.NEW_INCARNATION
    assert _choose(table) == "e1"
    busy = table.choose("model", now_ms=0, prefer=BackendIncarnation("e1", 1_000))
    assert busy is not None
    for _ in range(2):
        table.record_call_start("e1")
    chosen = table.choose("model", now_ms=0, prefer=BackendIncarnation("e1", 2_000))
    assert chosen is not None
    assert chosen.incarnation == BackendIncarnation("e1", 2_000)


@settings(derandomize=True, deadline=None)
@given(st.lists(st.integers(1, 6), min_size=1, max_size=12))
def test_no_earlier_incarnation_replaces_a_later_one(starts: list[int]) -> None:
    """Entries may arrive late, twice and out of order, also after the entry was removed."""
    table = _make_table()
    for step, born_ms in enumerate(starts):
        table.put(_entry(born_ms))
        latest = max(starts[: step + 1])
        known = table.entries.get("e1")
        assert known is None or known.born_ms == latest
        if step % 4 == 3:
            table.remove("e1", now_ms=10, grace_until_ms=0)


def test_an_entry_without_a_start_time_replaces_none_that_has_one() -> None:
    table = _make_table()
    table.put(_entry(1_000))
    assert table.put(_entry(None, address="10.9.9.9:9")) is EntryChange.STALE
    assert not table.entries
    assert table.put(_entry(1_000)) is not EntryChange.STALE
    assert "e1" in table.entries


_STEPS = st.lists(
    st.tuples(
        st.sampled_from(["put", "leave", "remove", "fail", "down", "answer", "start"]),
        st.integers(0, 5),
        st.integers(-(10**6), 10**6),
    ),
    max_size=60,
)


@settings(derandomize=True, deadline=None)
@given(_STEPS, st.frozensets(st.integers(0, 5)))
def test_the_chosen_backend_server_always_accepts_calls(
    steps: list[tuple[str, int, int]], excluded: frozenset[int]
) -> None:
    """One that accepts calls is chosen if any is left, whichever failed, left or were excluded."""
    table = _make_table()
    exclude = frozenset(f"e{number}" for number in excluded)
    for kind, number, now_ms in steps:
        name = f"e{number}"
        if kind in {"put", "leave"}:
            leaving = kind == "leave"
            table.put(BackendEntry(name, "model", "127.0.0.1:1", "z", number, leaving, 0))
        elif kind == "remove":
            table.remove(name, now_ms=now_ms, grace_until_ms=0)
        elif kind in {"fail", "down"}:
            table.record_failure(name, now_ms, unreachable=kind == "down")
        elif kind == "answer":
            if name in table.entries:
                table.record_first_event(table.entries[name], float(now_ms), now_ms)
                table.record_success(table.entries[name], float(now_ms))
        else:
            table.record_call_start(name)
        serving = {one for one, e in table.entries.items() if not e.leaving} - exclude
        chosen = table.choose("model", now_ms=now_ms, exclude=exclude)
        assert (chosen is None) == (not serving)
        assert chosen is None or chosen.backend_id in serving
    assert table.choose("nothing", now_ms=0) is None


def test_an_engine_that_other_daemons_report_is_ejected_until_it_starts_again() -> None:
    """A daemon must not lose turns at an engine that other daemons know to be down.

    An engine goes down, and calls of two other daemons fail there; it starts again with the same
    id. The fault occurs if a daemon uses only its own calls, of which each of hundreds of daemons
    has few.
    """
    table = _make_table("e2", "e3")
    table.put(_entry(1_000))
    for one in ("e2", "e3"):
        table.record_call_start(one)
    assert _choose(table) == "e1"
    for reporter in ("a", "b", "a"):
        table.record_reported_failure(BackendIncarnation("e1", 1_000), reporter, 0)
    assert _choose(table) != "e1"

    table.put(_entry(2_000))
    assert _choose(table) == "e1"
    for reporter in ("a", "b", "a"):
        assert table.record_reported_failure(BackendIncarnation("e1", 1_000), reporter, 0) is None
    assert _choose(table) == "e1"
