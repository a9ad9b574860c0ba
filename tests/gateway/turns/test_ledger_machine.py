"""The ledger against an oracle: all readers of its records derive correct budgets and histories."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import invariant
from hypothesis.stateful import precondition
from hypothesis.stateful import rule

from quincespool.gateway.turns.ledger import Admission
from quincespool.gateway.turns.ledger import Ledger
from quincespool.gateway.turns.records import TurnBroken
from quincespool.gateway.turns.records import TurnEnded
from quincespool.gateway.turns.records import TurnStarted
from quincespool.gateway.turns.records import decode_record
from quincespool.gateway.turns.records import encode_record
from quincespool.gateway.turns.records import split_history

if TYPE_CHECKING:
    from quincespool.gateway.turns.records import Record

BUDGET = 100
MAX_TOKENS = 30
PROGRAMS = ("p", "q")


class LedgerMachine(RuleBasedStateMachine):
    """Turns start, generate tokens and end; owners crash; records are duplicated or dropped.

    The oracle records what callers received: tokens by program and the text of each complete turn.
    """

    def __init__(self) -> None:
        super().__init__()
        self.ledger = Ledger()
        self.records: list[tuple[str, bytes]] = []
        # Number of the first record of each program's latest snapshot.
        self.snapshot_from = dict.fromkeys(PROGRAMS, 0)
        self.open: dict[str, tuple[str, str]] = {}
        self.received_tokens = dict.fromkeys(PROGRAMS, 0)
        self.texts: dict[str, dict[str, bytes]] = {program: {} for program in PROGRAMS}
        self.count = 0

    def write(self, record: Record) -> None:
        self.records.append((record.program_id, encode_record(record)))
        self.ledger.apply(record)

    @rule(program=st.sampled_from(PROGRAMS), pick=st.integers(0, 5))
    def start(self, program: str, pick: int) -> None:
        complete = list(self.texts[program])
        previous = complete[pick] if pick < len(complete) else ""
        admission = self.ledger.admit(
            program_id=program, previous_id=previous, budget_tokens=BUDGET, max_tokens=MAX_TOKENS
        )
        if admission is not Admission.ADMITTED:
            assert admission is Admission.OVER_BUDGET
            return
        self.count += 1
        turn = f"t{self.count}"
        self.write(TurnStarted(turn, program, MAX_TOKENS, 0))
        self.open[turn] = (program, previous)

    @precondition(lambda self: self.open)
    @rule(tokens=st.integers(0, MAX_TOKENS), complete=st.booleans(), twice=st.booleans())
    def end(self, tokens: int, complete: bool, twice: bool) -> None:
        turn, (program, previous) = next(iter(self.open.items()))
        del self.open[turn]
        self.received_tokens[program] += tokens
        record: Record
        if complete:
            text = turn.encode()
            record = TurnEnded(turn, program, previous, text, b"!", tokens, 60_000, 0)
            self.texts[program][turn] = self.texts[program].get(previous, b"") + text + b"!"
        else:
            record = TurnBroken(turn, program, tokens, 0)
        for _ in range(1 + twice):
            self.write(record)

    @rule(program=st.sampled_from(PROGRAMS), crashes_after=st.one_of(st.none(), st.integers(0, 3)))
    def renew(self, program: str, crashes_after: int | None) -> None:
        """The owner writes a snapshot of a program, or crashes in the middle of it."""
        if program not in self.ledger.programs:
            return
        start = len(self.records)
        snapshot = self.ledger.renewal_records(program, 0)
        for record in snapshot[:crashes_after]:
            self.write(record)
        if crashes_after is None or crashes_after >= len(snapshot):
            self.snapshot_from[program] = start

    @precondition(lambda self: self.open)
    @rule(dropped=st.integers(0, 100))
    def crash_owner(self, dropped: int) -> None:
        """The owner crashes; it is unknown how many tokens its open turns have generated.

        The store has dropped some of the records that a snapshot replaces.
        """
        for program, _ in self.open.values():
            self.received_tokens[program] += MAX_TOKENS
        self.open.clear()
        self.ledger = Ledger()
        full_ledger = Ledger()
        for number, (program, data) in enumerate(self.records):
            full_ledger.apply(decode_record(data))
            if number >= min(dropped, self.snapshot_from[program]):
                self.ledger.apply(decode_record(data))
        assert _state(self.ledger) == _state(full_ledger)

    @invariant()
    def budgets_hold(self) -> None:
        for program in PROGRAMS:
            open_tokens = sum(MAX_TOKENS for one, _ in self.open.values() if one == program)
            assert self.received_tokens[program] + open_tokens <= BUDGET

    @invariant()
    def histories_are_complete(self) -> None:
        for program, texts in self.texts.items():
            for turn, text in texts.items():
                assert self.ledger.history(program, turn) == text
                assert self.ledger.find(turn, "") == program


def _state(ledger: Ledger) -> dict[str, object]:
    return {
        name: (one.spent_tokens, one.reserved, one.turns, one.kept_until_ms, one.oldest_ms)
        for name, one in ledger.programs.items()
    }


LedgerMachine.TestCase.settings = settings(max_examples=80, stateful_step_count=40, deadline=None)
test_ledger_machine = LedgerMachine.TestCase


def test_a_turn_that_does_not_exist_is_not_admitted() -> None:
    admission = Ledger().admit(program_id="p", previous_id="x", budget_tokens=None, max_tokens=1)
    assert admission is Admission.NO_SUCH_TURN


def test_a_long_history_is_split_and_put_together() -> None:
    """Guards against a partition that can't append any more after an input larger than a record.

    The store refuses such a record each time it is retried, so neither it nor any later record of
    the partition is ever appended.
    """
    text = bytes(range(256)) * 2_000
    ledger = Ledger()
    for part in split_history("t", "p", text, retention_ms=1_000, at_ms=0):
        assert len(encode_record(part)) < 262_144
        ledger.apply(part)

    assert ledger.history("p", "t") == text


def test_programs_expire_after_their_retention() -> None:
    ledger = Ledger()
    ledger.apply(TurnStarted("t", "p", 10, 0))
    ledger.apply(TurnEnded("t", "p", "", b"a", b"b", 5, 60_000, 1_000))

    assert ledger.expire(60_000, grace_ms=1_000) == 0
    assert ledger.expire(62_001, grace_ms=1_000) == 1
    assert ledger.find("t", "") == ""


def test_a_turn_whose_records_are_written_again_is_counted_once() -> None:
    """Guards against a 402 for a program whose owner lost the answer to an append.

    Both records of a turn are durable; the next owner, which has read them, writes them again.
    """
    for end in (TurnEnded("t", "p", "", b"", b"", 10, 1_000, 0), TurnBroken("t", "p", 10, 0)):
        ledger = Ledger()
        start = TurnStarted("t", "p", MAX_TOKENS, 0)
        for record in (start, end, start, end):
            assert ledger.readmit(start, budget_tokens=MAX_TOKENS) is Admission.ADMITTED
            ledger.apply(record)
        assert ledger.programs["p"].spent_tokens == 10
        assert ledger.programs["p"].reserved == {}


def test_a_part_of_a_renewal_does_not_shorten_the_retention_of_a_program() -> None:
    """Guards against copies of a history that are kept too briefly.

    An owner ends after it has written the first records of a renewal.
    """
    ledger = Ledger()
    ledger.apply(TurnEnded("t", "p", "", b"in", b"out", 10, 10_000, 0))
    for record in ledger.renewal_records("p", 9_000)[:-1]:
        ledger.apply(record)
    assert ledger.retention_ms("p") == 10_000
    assert ledger.programs["p"].kept_until_ms == 10_000
