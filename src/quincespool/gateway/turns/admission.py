"""Admits new programs if engines are expected to finish them in time.

`quincespool.policy.admission` makes the decision.
"""

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
    from quincespool.gateway.model import TurnParameters
    from quincespool.gateway.turns.ledger import Ledger
    from quincespool.net.metrics import Metrics
    from quincespool.policy.admission import Rejection


class ProgramAdmission(Protocol):
    """Decides which programs may start, from the times that turns have waited for engines."""

    def refuse(self, call: Call, parameters: TurnParameters, ledger: Ledger) -> Refusal | None:
        """Returns the refusal of a turn, None if the turn may run.

        Only the first turn of a program may be refused.
        """

    def record_start(self, parameters: TurnParameters, took_ms: float) -> None:
        """Records how long a turn took until an engine began to answer it.

        Args:
          parameters: Parameters of the turn.
          took_ms: Milliseconds from the turn's start at its owner to the head of the answer.
        """

    def record_full(self, parameters: TurnParameters) -> None:
        """Records that all engines refused a turn because they were full."""

    def update_estimates(self) -> None:
        """Updates the estimated numbers of turns per program from programs that have ended.

        To be called every few seconds.
        """

    def dump(self) -> dict[str, float]:
        """Returns the expected waiting times, for diagnosis."""


class UnlimitedAdmission:
    """Admits every program."""

    def refuse(self, call: Call, parameters: TurnParameters, ledger: Ledger) -> Refusal | None:
        """See `ProgramAdmission.refuse`."""
        del call, parameters, ledger
        return None

    def record_start(self, parameters: TurnParameters, took_ms: float) -> None:
        """See `ProgramAdmission.record_start`."""

    def record_full(self, parameters: TurnParameters) -> None:
        """See `ProgramAdmission.record_full`."""

    def update_estimates(self) -> None:
        """See `ProgramAdmission.update_estimates`."""

    def dump(self) -> dict[str, float]:
        """See `ProgramAdmission.dump`."""
        return {}


class ControlledAdmission:
    """Refuses the first turn of a program that is not expected to end in time, without waiting."""

    def __init__(self, *, log: DecisionLog, metrics: Metrics) -> None:
        self._control = AdmissionControl()
        self._log = log
        self._metrics = metrics

    def refuse(self, call: Call, parameters: TurnParameters, ledger: Ledger) -> Refusal | None:
        """See `ProgramAdmission.refuse`."""
        turn = call.turn
        assert turn is not None
        at_ms = now_ms()
        kind = ProgramKind(parameters.route, parameters.rank)
        has_started = bool(turn.previous_id) or turn.program_id in ledger.programs
        if not has_started and turn.program_left_ms is not None:
            left_ms, is_pressed = turn.program_left_ms, parameters.is_near_limit
            program = NewProgram(parameters.service, kind, left_ms, is_pressed)
            rejection = self._control.reject(program, at_ms)
            if rejection is not None:
                self._report_rejection(call, parameters, program, rejection)
                return not_run("overloaded", retry_after_ms=rejection.retry_after_ms)
        self._control.record_turn(turn.program_id, kind, at_ms)
        return None

    def _report_rejection(
        self, call: Call, parameters: TurnParameters, program: NewProgram, rejection: Rejection
    ) -> None:
        self._metrics.count("gateway_programs_refused_total", route=parameters.route)
        self._log.write(
            "program rejected",
            call_id=call.call_id,
            program_id=call.program_id,
            account=parameters.account,
            route=parameters.route,
            service=parameters.service,
            rank=parameters.rank.primary,
            route_rank=parameters.rank.secondary,
            pressed=program.is_near_limit,
            program_left_ms=program.left_ms,
            wait_ms=round(rejection.wait_ms),
            wait_age_ms=rejection.wait_age_ms,
            turns=round(rejection.turns, 1),
            retry_after_ms=rejection.retry_after_ms,
        )

    def record_start(self, parameters: TurnParameters, took_ms: float) -> None:
        """See `ProgramAdmission.record_start`."""
        self._control.record_first_event(parameters.service, parameters.rank, took_ms, now_ms())
        wait_ms = self._control.wait_ms(parameters.service, parameters.rank, now_ms())
        self._metrics.observe("gateway_turn_wait_ms", wait_ms)

    def record_full(self, parameters: TurnParameters) -> None:
        """See `ProgramAdmission.record_full`."""
        self._control.record_full(parameters.service, parameters.rank, now_ms())

    def update_estimates(self) -> None:
        """See `ProgramAdmission.update_estimates`."""
        self._control.learn(now_ms())

    def dump(self) -> dict[str, float]:
        """See `ProgramAdmission.dump`."""
        return self._control.dump(now_ms())


def make_admission(*, is_controlled: bool, log: DecisionLog, metrics: Metrics) -> ProgramAdmission:
    """Returns the admission control for new programs that the settings ask for."""
    return ControlledAdmission(log=log, metrics=metrics) if is_controlled else UnlimitedAdmission()
