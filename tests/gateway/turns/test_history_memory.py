"""The bound on histories, and what a ledger counts."""

from __future__ import annotations

from quincespool.gateway.turns.history_memory import LARGE_TURN_BYTES
from quincespool.gateway.turns.history_memory import HistoryMemory
from quincespool.gateway.turns.history_memory import HistorySizes
from quincespool.gateway.turns.ledger import Admission
from quincespool.gateway.turns.ledger import Ledger
from quincespool.gateway.turns.records import TurnEnded

LIMIT_BYTES = 10 * LARGE_TURN_BYTES
LARGE_BYTES = 3 * LARGE_TURN_BYTES


def _memory(all_bytes: int, large_bytes: int = 0) -> HistoryMemory:
    return HistoryMemory(LIMIT_BYTES, measure=lambda: HistorySizes(all_bytes, large_bytes))


def _ended(turn_id: str, text: bytes, *, has_text: bool = True) -> TurnEnded:
    return TurnEnded(turn_id, "p", "", text, b"", 1, 1_000, 0, has_text)


def test_new_programs_leave_room_for_those_that_have_begun() -> None:
    memory = _memory(LIMIT_BYTES * 8 // 10)

    assert not memory.has_room(1, is_new_program=True)
    assert memory.has_room(1, is_new_program=False)
    assert not _memory(LIMIT_BYTES).has_room(1, is_new_program=False)


def test_large_turns_leave_room_for_small_ones() -> None:
    """Guards against a few callers whose texts shut all others out."""
    memory = _memory(LARGE_BYTES, LARGE_BYTES)

    assert not memory.has_room(LARGE_BYTES, is_new_program=False)
    assert memory.has_room(LARGE_TURN_BYTES, is_new_program=True)


def test_a_single_large_turn_has_room() -> None:
    """Guards against a limit that a caller meets who keeps those of the pages."""
    assert _memory(0).has_room(2 * LIMIT_BYTES, is_new_program=True)


def test_streams_that_grow_large_together_are_stopped() -> None:
    memory = _memory(0)

    assert memory.grow("a", LARGE_BYTES)
    assert memory.grow("b", LARGE_TURN_BYTES)
    assert not memory.grow("b", LARGE_BYTES)
    memory.discard("a")
    assert memory.grow("b", LARGE_BYTES)


def test_a_ledger_counts_what_it_holds() -> None:
    ledger = Ledger()
    for _ in range(2):
        ledger.apply(_ended("t", bytes(LARGE_BYTES)))
    ledger.apply(_ended("u", b"small"))

    sizes = ledger.history_sizes
    assert LARGE_BYTES <= sizes.large_bytes < LARGE_BYTES + LARGE_TURN_BYTES
    assert sizes.all_bytes > sizes.large_bytes
    assert ledger.expire(10_000, grace_ms=0) == 1
    assert ledger.history_sizes == HistorySizes(0, 0)


def test_a_turn_without_text_is_not_continued() -> None:
    """Guards against a history from which a turn's text is missing."""
    ledger = Ledger()
    ledger.apply(_ended("t", b"", has_text=False))

    admission = ledger.admit(program_id="p", previous_id="t", budget_tokens=None, max_tokens=1)

    assert admission is Admission.NO_SUCH_TURN
    assert "p" in ledger.programs
