"""Tests of the quarantine's stream as a state machine."""

from __future__ import annotations

import msgspec
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from quincespool.core.quarantine import log as quarantine_log
from quincespool.core.quarantine.log import ClearedRecord
from quincespool.core.quarantine.log import CrashRecord
from quincespool.core.quarantine.log import QuarantineLog
from quincespool.core.quarantine.log import QuarantineRecord

FINGERPRINTS = st.sampled_from("fgh")
CRASHES = st.builds(
    lambda fingerprint, backend, number: CrashRecord(
        fingerprint, backend, number, "p", 1, "m", "c", 0
    ),
    FINGERPRINTS,
    st.sampled_from(["e1", "e2"]),
    st.integers(1, 2),
)
CLEARINGS = st.builds(
    lambda fingerprint, read_to: ClearedRecord(fingerprint, read_to, "p", 1, "m", 0),
    FINGERPRINTS,
    st.integers(0, 20),
)


def fold(log: QuarantineLog, start: int, records: list[QuarantineRecord]) -> None:
    for offset, record in enumerate(records, start):
        log.apply(offset, msgspec.json.encode(record))


@settings(derandomize=True, deadline=None, max_examples=400)
@given(st.lists(CRASHES | CLEARINGS, max_size=20), st.data())
def test_checkpoint_stands_for_the_expired_prefix(
    records: list[QuarantineRecord], data: st.DataObject
) -> None:
    """A newcomer and an old hand must agree, wherever the checkpoint stands and the log begins."""
    as_of = data.draw(st.integers(0, len(records)))
    written_at = data.draw(st.integers(as_of, len(records)))
    first_kept = data.draw(st.integers(0, as_of))
    writer = QuarantineLog()
    fold(writer, 0, records[:as_of])
    stream = [*records[:written_at], writer.checkpoint(), *records[written_at:]]
    old_hand = QuarantineLog()
    fold(old_hand, 0, stream)
    newcomer = QuarantineLog()
    newcomer.restart(first_kept)
    fold(newcomer, first_kept, stream[first_kept:])
    assert newcomer.complete
    assert newcomer.suspects == old_hand.suspects
    assert newcomer.blocked == old_hand.blocked
    assert newcomer.next_offset == old_hand.next_offset


def test_suspects_are_bounded_and_blocked_stay() -> None:
    """A daemon's memory fills with suspects whose request never comes again."""
    log = QuarantineLog()
    for offset in range(quarantine_log.MAX_SUSPECTS + 10):
        crash = CrashRecord(f"f{offset}", "e1", 1, "p", 1, "m", "c", 0)
        fold(log, offset, [crash])
    assert len(log.suspects) == quarantine_log.MAX_SUSPECTS
    assert "f9" not in log.suspects
    assert "f10" in log.suspects
