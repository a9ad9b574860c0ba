"""Compares what programs were told with what the plain services did: the promises, as checks."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import TypedDict

from quincespool.verdict import Verdict

if TYPE_CHECKING:
    from collections.abc import Iterable

    from tests.support.agent_program import Told


class JournalEntry(TypedDict):
    """One effect, as a plain service's `GET /counts` shows it."""

    program_id: str
    call_number: str
    request_id: str
    path: str
    body: str


def effect_faults(told: Iterable[Told], journal: Iterable[JournalEntry]) -> list[str]:
    """Returns a line for each promise broken by the effects of programs' calls.

    The last word told on a call counts. A call that may have run is held to neither order nor
    presence: a tool that hangs may act after the program has gone on.

    Args:
      told: What the programs were told, each program's in order.
      journal: The effects of one service, in order.
    """
    effects = [(entry["program_id"], int(entry["call_number"])) for entry in journal]
    last = {(t.program_id, t.call_number): t for t in told}
    return [*_count_faults(last, effects), *_order_faults(last, effects)]


def _count_faults(
    last: dict[tuple[str, int], Told], effects: list[tuple[str, int]]
) -> Iterable[str]:
    for call, told in last.items():
        count = effects.count(call)
        if count > 1 and not told.idempotent:
            yield f"{call} took effect {count} times"
        if told.verdict == Verdict.RAN and count == 0:
            yield f"{call} was said to have run and did not"
        if told.verdict == Verdict.NOT_RUN and count:
            yield f"{call} was said not to have run and did"


def _order_faults(
    last: dict[tuple[str, int], Told], effects: list[tuple[str, int]]
) -> Iterable[str]:
    newest: dict[str, int] = {}
    for call in dict.fromkeys(effects):
        if call not in last or last[call].verdict != Verdict.RAN:
            continue
        program_id, call_number = call
        if call_number < newest.get(program_id, 0):
            yield f"{call} took effect after call {newest[program_id]}"
        newest[program_id] = call_number
