"""When a silent peer or backend server is declared failed."""

from __future__ import annotations

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from quincespool.policy.silence import HEARTBEAT_INTERVAL_MS
from quincespool.policy.silence import PEER_TIMEOUT_MS
from quincespool.policy.silence import PROBE_AFTER_MS
from quincespool.policy.silence import PROBE_TIMEOUT_MS
from quincespool.policy.silence import FailureDetector
from quincespool.policy.silence import is_silent_too_long
from quincespool.policy.silence import remaining_silence_ms

CHECK_MS = 50
# Mean remaining time of a lease: it lasts a second from its last renewal, which is at most a third
# of a second ago.
MEAN_LEASE_LEFT_MS = 833


def _failed_after_ms(crashed_ms: int) -> int:
    """Returns how long after its crash a peer is declared failed; heartbeats begin at time 0."""
    detector = FailureDetector()
    received_ms = crashed_ms - crashed_ms % HEARTBEAT_INTERVAL_MS
    now_ms = crashed_ms
    while True:
        now_ms += CHECK_MS
        if detector.check({"p": received_ms}, now_ms).failed:
            return now_ms - crashed_ms


def test_a_crashed_owner_is_detected_well_before_its_lease_expires() -> None:
    """Symptom: all programs of a host that lost power miss their objective.

    Events: a host loses power during a burst; its peers wait for five heartbeats, then for the end
    of its lease.
    Cause: a host was declared failed only after a second of silence.
    """
    after_ms = [_failed_after_ms(10_000 + phase) for phase in range(0, HEARTBEAT_INTERVAL_MS, 10)]
    assert max(after_ms) <= PEER_TIMEOUT_MS + CHECK_MS
    assert sum(after_ms) / len(after_ms) <= MEAN_LEASE_LEFT_MS - 150


def test_no_peer_is_declared_failed_without_a_probe() -> None:
    """Symptom: a daemon that was stopped for a second ends the leases of all its peers.

    Events: it resumes; every peer's last heartbeat is old, and newer ones wait in its socket.
    Cause: peers were declared failed by the clock alone, without a probe.
    """
    detector = FailureDetector()
    found = detector.check({"p": 0}, 5_000)
    assert (found.to_probe, found.failed) == (["p"], [])
    assert detector.check({"p": 0}, 5_000 + PROBE_TIMEOUT_MS - 1).failed == []
    assert detector.check({"p": 5_010}, 5_000 + PROBE_TIMEOUT_MS).failed == []
    assert detector.check({"p": 5_010}, 5_010 + PROBE_AFTER_MS).to_probe == ["p"]


def test_a_peer_is_listed_as_failed_once_for_each_silence() -> None:
    detector = FailureDetector()
    detector.check({"p": 0}, PROBE_AFTER_MS)
    assert detector.check({"p": 0}, PEER_TIMEOUT_MS).failed == ["p"]
    assert detector.check({"p": 0}, PEER_TIMEOUT_MS + 5_000) == ([], [])
    detector.check({"p": 9_000}, 9_000)
    detector.check({"p": 9_000}, 9_000 + PROBE_AFTER_MS)
    assert detector.check({"p": 9_000}, 9_000 + PEER_TIMEOUT_MS).failed == ["p"]


@settings(derandomize=True, deadline=None)
@given(st.lists(st.tuples(st.integers(-(10**9), 10**9), st.integers(0, 10**9)), max_size=60))
def test_a_peer_with_a_recent_message_never_fails(steps: list[tuple[int, int]]) -> None:
    detector = FailureDetector()
    for received_ms, now_ms in steps:
        found = detector.check({"p": received_ms}, now_ms)
        if now_ms - received_ms < PEER_TIMEOUT_MS:
            assert found.failed == []
    assert detector.check({}, 0) == ([], [])


def test_the_silence_limit_of_a_backend_server_depends_on_its_latency() -> None:
    """Symptom: turns at an engine that lost power wait until callers disconnect, after 2,000 ms."""
    assert not is_silent_too_long(200, 0)
    assert is_silent_too_long(450, 60)
    assert not is_silent_too_long(450, 100)
    assert is_silent_too_long(10_000, -5.0)


@given(received_ms=st.lists(st.integers(0, 2_000), min_size=1, max_size=4))
def test_no_silence_is_missed_between_two_due_checks(received_ms: list[int]) -> None:
    """A host that checks only when a check is due finds the same peers as one that always does."""
    received = {str(number): at_ms for number, at_ms in enumerate(received_ms)}
    now_ms = max(received_ms)
    detector = FailureDetector()
    detector.check(received, now_ms)
    due_ms = detector.next_check_in_ms(received, now_ms)
    if due_ms:
        assert detector.check(received, now_ms + due_ms - 1) == ([], [])
        assert detector.check(received, now_ms + due_ms).to_probe


def test_the_remaining_silence_agrees_with_the_limit() -> None:
    assert remaining_silence_ms(0, 40) > 0
    assert is_silent_too_long(remaining_silence_ms(0, 40), 40)
    assert not is_silent_too_long(remaining_silence_ms(0, 40) - 1, 40)
