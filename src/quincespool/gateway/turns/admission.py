"""Lets new programs begin while engines leave them time; `quincespool.policy.admission` decides."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

from quincespool.gateway.clock import now_ms
from quincespool.gateway.model import not_run
from quincespool.policy.admission import AdmissionControl
from quincespool.policy.admission import NewProgram
from quincespool.policy.program_shapes import ProgramKind

if TYPE_CHECKING:
    from quincespool.gateway.decision_log import DecisionLog
    from quincespool.gateway.model import Call
    from quincespool.gateway.model import Refusal
    from quincespool.gateway.model import TurnTerms
    from quincespool.gateway.turns.ledger import Ledger
    from quincespool.net.metrics import Metrics
    from quincespool.policy.admission import Rejection


class ProgramAdmission(Protocol):
    """Says which programs may begin, and is told how their turns fare."""

    def refuse(self, call: Call, terms: TurnTerms, ledger: Ledger) -> Refusal | None:
        """Returns the refusal of a program's first turn, None if the turn may run."""

    def note_begin(self, terms: TurnTerms, took_ms: float) -> None:
        """Takes in how long a turn took from its owner to its first event."""

    def note_full(self, terms: TurnTerms) -> None:
        """Takes in that no engine took a turn."""

    def learn(self) -> None:
        """Learns from programs that are over; to be called every few seconds."""

    def dump(self) -> dict[str, float]:
        """Returns the expected waits, for people to read."""


class OpenAdmission:
    """Lets every program begin."""

    def refuse(self, call: Call, terms: TurnTerms, ledger: Ledger) -> Refusal | None:
        """See `ProgramAdmission.refuse`."""
        del call, terms, ledger
        return None

    def note_begin(self, terms: TurnTerms, took_ms: float) -> None:
        """See `ProgramAdmission.note_begin`."""

    def note_full(self, terms: TurnTerms) -> None:
        """See `ProgramAdmission.note_full`."""

    def learn(self) -> None:
        """See `ProgramAdmission.learn`."""

    def dump(self) -> dict[str, float]:
        """See `ProgramAdmission.dump`."""
        return {}


class ControlledAdmission:
    """Refuses programs that can't end in time, at their first turn and at once."""

    def __init__(self, *, log: DecisionLog, metrics: Metrics) -> None:
        self._control = AdmissionControl()
        self._log = log
        self._metrics = metrics

    def refuse(self, call: Call, terms: TurnTerms, ledger: Ledger) -> Refusal | None:
        """See `ProgramAdmission.refuse`."""
        turn = call.turn
        assert turn is not None
        at_ms = now_ms()
        kind = ProgramKind(terms.route, terms.rank)
        has_begun = bool(turn.previous_id) or turn.program_id in ledger.programs
        if not has_begun and turn.program_left_ms is not None:
            left_ms, is_pressed = turn.program_left_ms, terms.is_pressed
            program = NewProgram(terms.service, kind, left_ms, is_pressed)
            rejection = self._control.reject(program, at_ms)
            if rejection is not None:
                self._note_rejection(call, terms, program, rejection)
                return not_run("overloaded", retry_after_ms=rejection.retry_after_ms)
        self._control.record_turn(turn.program_id, kind, at_ms)
        return None

    def _note_rejection(
        self, call: Call, terms: TurnTerms, program: NewProgram, rejection: Rejection
    ) -> None:
        self._metrics.count("gateway_programs_refused_total", route=terms.route)
        self._log.write(
            "program rejected",
            call_id=call.call_id,
            program_id=call.program_id,
            account=terms.account,
            route=terms.route,
            service=terms.service,
            rank=terms.rank.primary,
            route_rank=terms.rank.secondary,
            pressed=program.is_near_limit,
            program_left_ms=program.left_ms,
            wait_ms=round(rejection.wait_ms),
            wait_age_ms=rejection.wait_age_ms,
            turns=round(rejection.turns, 1),
            retry_after_ms=rejection.retry_after_ms,
        )

    def note_begin(self, terms: TurnTerms, took_ms: float) -> None:
        """See `ProgramAdmission.note_begin`."""
        self._control.record_first_event(terms.service, terms.rank, took_ms, now_ms())
        wait_ms = self._control.wait_ms(terms.service, terms.rank, now_ms())
        self._metrics.observe("gateway_turn_wait_ms", wait_ms)

    def note_full(self, terms: TurnTerms) -> None:
        """See `ProgramAdmission.note_full`."""
        self._control.record_full(terms.service, terms.rank, now_ms())

    def learn(self) -> None:
        """See `ProgramAdmission.learn`."""
        self._control.learn(now_ms())

    def dump(self) -> dict[str, float]:
        """See `ProgramAdmission.dump`."""
        return self._control.dump(now_ms())


def make_admission(*, is_controlled: bool, log: DecisionLog, metrics: Metrics) -> ProgramAdmission:
    """Returns what decides on new programs at one daemon."""
    return ControlledAdmission(log=log, metrics=metrics) if is_controlled else OpenAdmission()
