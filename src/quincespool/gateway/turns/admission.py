"""Lets new programs begin while there is room for them; `quincespool.policy.room` decides."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

from quincespool.gateway.clock import now_ms
from quincespool.gateway.model import not_run
from quincespool.policy.program_shapes import ProgramKind
from quincespool.policy.room import Room
from quincespool.policy.room import Wish

if TYPE_CHECKING:
    from quincespool.gateway.decision_log import DecisionLog
    from quincespool.gateway.model import Call
    from quincespool.gateway.model import Refusal
    from quincespool.gateway.model import TurnTerms
    from quincespool.gateway.turns.ledger import Ledger
    from quincespool.net.metrics import Metrics


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


class RoomAdmission:
    """Refuses programs that can't end in time, at their first turn and at once."""

    def __init__(self, *, log: DecisionLog, metrics: Metrics) -> None:
        self._room = Room()
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
            no_room = self._room.refuse(Wish(terms.service, kind, turn.program_left_ms), at_ms)
            if no_room is not None:
                self._log.write(
                    "no room",
                    call_id=call.call_id,
                    program_id=turn.program_id,
                    account=terms.account,
                    route=terms.route,
                    service=terms.service,
                    rank=terms.rank.first,
                    route_rank=terms.rank.then,
                    program_left_ms=turn.program_left_ms,
                    wait_ms=round(no_room.wait_ms),
                    wait_age_ms=no_room.age_ms,
                    turns=round(no_room.turns, 1),
                    retry_after_ms=no_room.retry_after_ms,
                )
                self._metrics.count("gateway_programs_refused_total", route=terms.route)
                return not_run("no_room", retry_after_ms=no_room.retry_after_ms)
        self._room.note_turn(turn.program_id, kind, at_ms)
        return None

    def note_begin(self, terms: TurnTerms, took_ms: float) -> None:
        """See `ProgramAdmission.note_begin`."""
        self._room.note_begin(terms.service, terms.rank, took_ms, now_ms())
        wait_ms = self._room.wait_ms(terms.service, terms.rank, now_ms())
        self._metrics.observe("gateway_turn_wait_ms", wait_ms)

    def note_full(self, terms: TurnTerms) -> None:
        """See `ProgramAdmission.note_full`."""
        self._room.note_full(terms.service, terms.rank, now_ms())

    def learn(self) -> None:
        """See `ProgramAdmission.learn`."""
        self._room.learn(now_ms())

    def dump(self) -> dict[str, float]:
        """See `ProgramAdmission.dump`."""
        return self._room.dump(now_ms())


def make_admission(*, keeps_room: bool, log: DecisionLog, metrics: Metrics) -> ProgramAdmission:
    """Returns what decides on new programs at one daemon."""
    return RoomAdmission(log=log, metrics=metrics) if keeps_room else OpenAdmission()
