"""Compares what callers were told with what the backend servers did, promise by promise."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING
from typing import Any

import msgspec

from quincespool.verdict import Verdict

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator
    from collections.abc import Mapping

    from tests.processes.caller import CarefulProgram
    from tests.support.agent_program import Told

PROMISES = ("doubled", "lost", "mixed", "cut", "disordered", "false_not_run")
LATE = "late"
"""Effects out of order of calls that were told "may have run". Some can't be prevented at backend
servers that ignore fencing numbers (docs/design/programs.md), so only random runs allow them."""

_CallKey = tuple[str, int]


class Evidence:
    """All that happened, as callers and backend servers saw it.

    Args:
      programs: Root programs with their sub-agents.
      journals: By service, its effects in order.
      engine_journals: Of each engine, the calls that ended.
    """

    def __init__(
        self,
        programs: Iterable[CarefulProgram],
        *,
        journals: Mapping[str, list[dict[str, str]]],
        engine_journals: Iterable[list[dict[str, Any]]],
    ) -> None:
        self.members = {m.program_id: m for root in programs for m in root.family}
        self.told = [told for member in self.members.values() for told in member.told]
        self.effects = {
            service: [(e["program_id"], int(e["call_number"])) for e in journal]
            for service, journal in journals.items()
        }
        self.engine_journal = [entry for journal in engine_journals for entry in journal]

    def faults(self) -> dict[str, list[str]]:
        """Returns, for each promise, a line for each time it was broken."""
        found: dict[str, list[str]] = {promise: [] for promise in (*PROMISES, LATE)}
        found["doubled"] += self._doubled()
        for verdict, line in self._out_of_order():
            found[LATE if verdict == Verdict.MAY_HAVE_RUN else "disordered"].append(line)
        found["false_not_run"] += self._false_not_run()
        for told in self.told:
            if told.verdict == Verdict.RAN and told.status == 200:
                promise, line = self._answer_fault(told)
                if promise:
                    found[promise].append(line)
        return found

    def spent_tokens(self) -> Counter[str]:
        """Returns what the engines spent, by root program.

        A call that an engine did not finish counts with its whole answer.
        """
        spent: Counter[str] = Counter()
        for entry in self.engine_journal:
            member = self.members.get(entry["program_id"])
            if member is None:
                continue
            asked = member.asked[int(entry["call_number"])]
            root_id = entry["program_id"].split("/", 1)[0]
            spent[root_id] += entry["prompt_tokens"] + asked.completion_tokens
        return spent

    def overspent(self, budgets: Mapping[str, int]) -> list[str]:
        """Returns a line for each root program that spent more than its budget."""
        return [
            f"{root_id} spent {tokens} of {budgets[root_id]} tokens"
            for root_id, tokens in self.spent_tokens().items()
            if tokens > budgets[root_id]
        ]

    def _doubled(self) -> Iterator[str]:
        counts = Counter(call for effects in self.effects.values() for call in effects)
        for call, count in counts.items():
            if count > 1 and call[0] in self.members:
                yield f"{call} took effect {count} times: {self._words(call)}"

    def _out_of_order(self) -> Iterator[tuple[str, str]]:
        last = {(told.program_id, told.call_number): told.verdict for told in self.told}
        for service, effects in self.effects.items():
            newest: dict[str, int] = {}
            for program_id, number in dict.fromkeys(effects):
                if program_id not in self.members:
                    continue
                if number < newest.get(program_id, 0):
                    late = self._words((program_id, number))
                    line = f"{service}: {program_id} {number} after {newest[program_id]}: {late}"
                    yield last.get((program_id, number), ""), line
                newest[program_id] = max(number, newest.get(program_id, 0))

    def _false_not_run(self) -> Iterator[str]:
        done = {call for effects in self.effects.values() for call in effects}
        last = {(told.program_id, told.call_number): told for told in self.told}
        for call, told in last.items():
            if told.verdict == Verdict.NOT_RUN and call in done:
                yield f"{call} ran: {self._words(call)}"

    def _answer_fault(self, told: Told) -> tuple[str, str]:
        member = self.members[told.program_id]
        asked = member.asked.get(told.call_number)
        if asked is None:
            return self._order_fault(told)
        if told.text == asked.text:
            return "", ""
        is_own = asked.text.startswith(told.text)
        return "cut" if is_own else "mixed", f"{told} instead of {asked.text!r}"

    def _order_fault(self, told: Told) -> tuple[str, str]:
        call = (told.program_id, told.call_number)
        answer = msgspec.json.decode(told.text)
        if call not in {call for effects in self.effects.values() for call in effects}:
            return "lost", f"{call} was said to have run and did not"
        own = (answer["program_id"], int(answer["call_number"]), answer["body"])
        wanted = (*call, self.members[told.program_id].ordered[told.call_number])
        return ("", "") if own == wanted else ("mixed", f"{told}: {own}")

    def _words(self, call: _CallKey) -> list[tuple[str, str]]:
        return [(t.verdict, t.reason) for t in self.told if (t.program_id, t.call_number) == call]
