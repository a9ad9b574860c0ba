"""Which backend servers are used."""

from __future__ import annotations

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from quincespool.gateway.backends.table import Backends
from quincespool.gateway.backends.table import EntryNews
from quincespool.gateway.model import BackendEntry
from quincespool.gateway.model import BackendIncarnation
from quincespool.policy.outliers import FAILURES_TO_EJECT
from quincespool.policy.placement import AFFINITY_SLACK


def _backends(*ids: str, slots: int = 10, seed: int = 1) -> Backends:
    backends = Backends(zone="z", seed=seed)
    for one in ids:
        backends.put(
            BackendEntry(one, "model", "127.0.0.1:1", "z", slots, leaving=False, cold_ms=0)
        )
    return backends


def _choose(backends: Backends, now_ms: int = 0, prefer: str = "") -> str:
    life = BackendIncarnation(prefer, None) if prefer else None
    entry = backends.choose("model", now_ms=now_ms, prefer=life)
    return entry.backend_id if entry is not None else ""


def test_an_entry_that_goes_after_the_grace_is_gone_at_once() -> None:
    """Symptom: requests reach a backend server over two seconds after it has said that it leaves.

    Events: the store turns a daemon away for nine seconds and serves it again; two seconds later a
    backend server leaves.
    Cause: every entry that went within some seconds of a failure was taken for one that had lapsed,
    and kept for two seconds more.
    """
    backends = _backends("e1", "e2")
    regained_ms = 11_500
    lapses_until_ms = regained_ms + 2_200
    backends.remove("e1", now_ms=13_793, lapses_until_ms=lapses_until_ms)

    assert "e1" not in backends.entries


def test_an_entry_that_lapsed_is_used_until_it_should_be_back() -> None:
    """Symptom: no backend server is left after the store was away.

    Events: entries lapse while the store is away; it returns; the entries return a second later.
    Cause: an entry that is missing right after the return says nothing of its backend server.
    """
    backends = _backends("e1", "e2")
    backends.retain([], now_ms=1_000, lapses_until_ms=3_000)
    assert _choose(backends, 1_500)
    backends.put(backends.entries["e1"])

    assert backends.expire(3_000) == ["e2"]
    assert list(backends.entries) == ["e1"]


def test_the_least_busy_is_chosen() -> None:
    backends = _backends("e1", "e2")
    backends.started("e1")
    assert _choose(backends) == "e2"
    backends.finished("e1")
    backends.started("e2")
    backends.started("e2")
    assert _choose(backends) == "e1"


def test_an_engine_whose_answers_begin_late_is_taken_to_be_busy_with_others_calls() -> None:
    """Symptom: a daemon goes on sending to an engine that others have filled.

    Events: answers begin after 40 ms, at one engine after 400 ms; no own call is under way.
    Cause: only own calls and what others had told counted as load.
    """
    backends = _backends("e1", "e2")
    for _ in range(10):
        backends.began(backends.entries["e1"], 40.0, 0)
        backends.succeeded(backends.entries["e1"], 250.0)
    backends.began(backends.entries["e2"], 400.0, 0)
    assert _choose(backends, 10) == "e1"

    for _ in range(3):
        backends.started("e1")
    assert _choose(backends, 60_000) == "e2"


def test_daemons_do_not_all_take_the_same_one() -> None:
    """Symptom: one engine is full and refuses while the others idle, a second later another one.

    Events: sixty daemons know of no difference between twelve engines.
    Cause: all of them broke ties alike.
    """
    names = [f"e{number}" for number in range(12)]
    chosen = [_choose(_backends(*names, seed=seed)) for seed in range(60)]
    assert max(chosen.count(one) for one in names) < 40
    assert len(set(chosen)) > 6


def test_a_cache_is_followed_until_its_engine_is_much_busier() -> None:
    backends = _backends("e1", "e2")
    for _ in range(int(AFFINITY_SLACK * 10)):
        backends.started("e1")
    assert _choose(backends, prefer="e1") == "e1"
    backends.started("e1")
    assert _choose(backends, prefer="e1") == "e2"


def test_a_failing_backend_server_is_passed_over_for_a_while() -> None:
    backends = _backends("e1", "e2", "e3")
    for _ in range(FAILURES_TO_EJECT):
        backends.failed("e1", 0)
    assert {_choose(backends, 10) for _ in range(20)} <= {"e2", "e3"}
    backends.started("e2")
    backends.started("e3")
    assert _choose(backends, 10_000) == "e1"


def test_a_service_is_not_emptied_by_failures() -> None:
    """Symptom: every call is refused although backend servers answer.

    Events: the own link loses packets; every backend server seems to fail.
    Cause: each was passed over for its failures until none was left.
    """
    backends = _backends("e1", "e2", "e3")
    for one in ("e1", "e2", "e3"):
        for _ in range(5):
            backends.failed(one, 0, unreachable=True)

    assert _choose(backends, 10)


def _entry(born_ms: int | None, *, address: str = "127.0.0.1:1") -> BackendEntry:
    return BackendEntry("e1", "model", address, "z", 10, False, 0, born_ms)


def test_a_new_life_begins_with_nothing() -> None:
    """Symptom: a sound engine gets no calls for seconds, or those whose cache it no longer has.

    Events: an engine fails, is passed over, and starts again under its id.
    Cause: what was known of the process before was taken for knowledge of the new one.
    """
    backends = _backends("e2")
    backends.put(_entry(1_000))
    for _ in range(FAILURES_TO_EJECT + 3):
        backends.failed("e1", 0)
    backends.started("e2")
    backends.started("e2")
    assert _choose(backends) == "e2"

    assert backends.put(_entry(2_000)) is EntryNews.NEW_LIFE
    assert _choose(backends) == "e1"
    busy = backends.choose("model", now_ms=0, prefer=BackendIncarnation("e1", 1_000))
    assert busy is not None
    for _ in range(2):
        backends.started("e1")
    chosen = backends.choose("model", now_ms=0, prefer=BackendIncarnation("e1", 2_000))
    assert chosen is not None
    assert chosen.incarnation == BackendIncarnation("e1", 2_000)


@settings(derandomize=True, deadline=None)
@given(st.lists(st.integers(1, 6), min_size=1, max_size=12))
def test_no_earlier_life_replaces_a_later_one(births: list[int]) -> None:
    """Entries may come late, twice and out of order, also after the entry was removed."""
    backends = _backends()
    for step, born_ms in enumerate(births):
        backends.put(_entry(born_ms))
        latest = max(births[: step + 1])
        known = backends.entries.get("e1")
        assert known is None or known.born_ms == latest
        if step % 4 == 3:
            backends.remove("e1", now_ms=10, lapses_until_ms=0)


def test_an_entry_without_the_start_that_its_backend_server_tells_names_none() -> None:
    backends = _backends()
    backends.put(_entry(1_000))
    assert backends.put(_entry(None, address="10.9.9.9:9")) is EntryNews.STALE
    assert not backends.entries
    assert backends.put(_entry(1_000)) is not EntryNews.STALE
    assert "e1" in backends.entries


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
def test_a_choice_is_always_one_that_may_be_sent_to(
    steps: list[tuple[str, int, int]], excluded: frozenset[int]
) -> None:
    """Whatever failed, left or was excluded; and there is a choice if anyone may be sent to."""
    backends = _backends()
    exclude = frozenset(f"e{number}" for number in excluded)
    for kind, number, now_ms in steps:
        name = f"e{number}"
        if kind in {"put", "leave"}:
            leaving = kind == "leave"
            backends.put(BackendEntry(name, "model", "127.0.0.1:1", "z", number, leaving, 0))
        elif kind == "remove":
            backends.remove(name, now_ms=now_ms, lapses_until_ms=0)
        elif kind in {"fail", "down"}:
            backends.failed(name, now_ms, unreachable=kind == "down")
        elif kind == "answer":
            if name in backends.entries:
                backends.began(backends.entries[name], float(now_ms), now_ms)
                backends.succeeded(backends.entries[name], float(now_ms))
        else:
            backends.started(name)
        serving = {one for one, e in backends.entries.items() if not e.leaving} - exclude
        chosen = backends.choose("model", now_ms=now_ms, exclude=exclude)
        assert (chosen is None) == (not serving)
        assert chosen is None or chosen.backend_id in serving
    assert backends.choose("nothing", now_ms=0) is None


def test_what_other_daemons_report_is_passed_over_until_it_starts_again() -> None:
    """Symptom: each daemon loses turns of its own at an engine that others know to be dark.

    Events: an engine goes down; two other daemons see calls fail there. It starts again under its
    id.
    Cause: a daemon went by its own calls alone, of which hundreds of daemons have few each.
    """
    backends = _backends("e2", "e3")
    backends.put(_entry(1_000))
    for one in ("e2", "e3"):
        backends.started(one)
    assert _choose(backends) == "e1"
    for reporter in ("a", "b", "a"):
        backends.note_failure(BackendIncarnation("e1", 1_000), reporter, 0)
    assert _choose(backends) != "e1"

    backends.put(_entry(2_000))
    assert _choose(backends) == "e1"
    for reporter in ("a", "b", "a"):
        assert backends.note_failure(BackendIncarnation("e1", 1_000), reporter, 0) is None
    assert _choose(backends) == "e1"
