"""When a silent peer is taken to be gone."""

from __future__ import annotations

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from quincespool.policy.silence import ANSWER_MS
from quincespool.policy.silence import ASK_MS
from quincespool.policy.silence import BEAT_MS
from quincespool.policy.silence import SILENCE_MS
from quincespool.policy.silence import SilenceWatch
from quincespool.policy.silence import is_quiet_too_long
from quincespool.policy.silence import quiet_due_ms

CHECK_MS = 50
# A lease runs for a second from its last renewal, which is a third of that ago at most.
MEAN_LEASE_LEFT_MS = 833


def _gone_after_ms(died_ms: int) -> int:
    """Returns how long after its death a peer is taken to be gone; it beats from 0 on."""
    watch = SilenceWatch()
    heard_ms = died_ms - died_ms % BEAT_MS
    now_ms = died_ms
    while True:
        now_ms += CHECK_MS
        if watch.check({"p": heard_ms}, now_ms).gone:
            return now_ms - died_ms


def test_a_dead_owner_is_noticed_well_before_its_lease_is_over() -> None:
    """Symptom: all programs of a host that lost its power miss their objective.

    Events: a host goes dark at a burst; five heartbeats were waited for, then the lease's end.
    Cause: a second of silence was the shortest that was believed.
    """
    after_ms = [_gone_after_ms(10_000 + phase) for phase in range(0, BEAT_MS, 10)]
    assert max(after_ms) <= SILENCE_MS + CHECK_MS
    assert sum(after_ms) / len(after_ms) <= MEAN_LEASE_LEFT_MS - 150


def test_nobody_is_judged_who_was_not_asked() -> None:
    """Symptom: a daemon that was stopped for a second ends the leases of all its peers.

    Events: it wakes; every peer's last heartbeat is old, and newer ones wait in its socket.
    Cause: silence was judged by the clock alone.
    """
    watch = SilenceWatch()
    verdict = watch.check({"p": 0}, 5_000)
    assert (verdict.ask, verdict.gone) == (["p"], [])
    assert watch.check({"p": 0}, 5_000 + ANSWER_MS - 1).gone == []
    assert watch.check({"p": 5_010}, 5_000 + ANSWER_MS).gone == []
    assert watch.check({"p": 5_010}, 5_010 + ASK_MS).ask == ["p"]


def test_a_peer_is_told_to_be_gone_once_for_each_silence() -> None:
    watch = SilenceWatch()
    watch.check({"p": 0}, ASK_MS)
    assert watch.check({"p": 0}, SILENCE_MS).gone == ["p"]
    assert watch.check({"p": 0}, SILENCE_MS + 5_000) == ([], [])
    watch.check({"p": 9_000}, 9_000)
    watch.check({"p": 9_000}, 9_000 + ASK_MS)
    assert watch.check({"p": 9_000}, 9_000 + SILENCE_MS).gone == ["p"]


@settings(derandomize=True, deadline=None)
@given(st.lists(st.tuples(st.integers(-(10**9), 10**9), st.integers(0, 10**9)), max_size=60))
def test_a_peer_that_was_heard_lately_is_never_gone(steps: list[tuple[int, int]]) -> None:
    watch = SilenceWatch()
    for heard_ms, now_ms in steps:
        verdict = watch.check({"p": heard_ms}, now_ms)
        if now_ms - heard_ms < SILENCE_MS:
            assert verdict.gone == []
    assert watch.check({}, 0) == ([], [])


def test_backend_servers_are_doubted_by_their_own_pace() -> None:
    """Symptom: turns at an engine without power wait until their callers leave, after 2,000 ms."""
    assert not is_quiet_too_long(200, 0)
    assert is_quiet_too_long(450, 60)
    assert not is_quiet_too_long(450, 100)
    assert is_quiet_too_long(10_000, -5.0)


@given(heard_ms=st.lists(st.integers(0, 2_000), min_size=1, max_size=4))
def test_no_silence_is_overlooked_between_two_checks(heard_ms: list[int]) -> None:
    """A host that checks when something is due must find what one finds that checks always."""
    heard = {str(number): at_ms for number, at_ms in enumerate(heard_ms)}
    now_ms = max(heard_ms)
    watch = SilenceWatch()
    watch.check(heard, now_ms)
    due_ms = watch.due_ms(heard, now_ms)
    if due_ms:
        assert watch.check(heard, now_ms + due_ms - 1) == ([], [])
        assert watch.check(heard, now_ms + due_ms).ask


def test_a_quiet_backend_server_is_looked_at_when_it_may_be_gone() -> None:
    assert quiet_due_ms(0, 40) > 0
    assert is_quiet_too_long(quiet_due_ms(0, 40), 40)
    assert not is_quiet_too_long(quiet_due_ms(0, 40) - 1, 40)
