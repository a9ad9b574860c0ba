"""Tokens that were handed out and that no durable record tells of yet.

A turn's start need not be durable before its first token: within this bound it is appended with the
turn's end, which saves a request to the store, and no token waits for a store that is slow or away.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

# Of the most that a turn may generate, the usual one hands out less than this part.
USUAL_SHARE = 1 / 3


class UncertainTokens:
    """Bounds, for one owner of a partition, what the next one would not know of, by program.

    If this daemon dies, or was superseded, before the store is back, the next owner lets a program
    spend these tokens once more. So they are at most what one turn may generate; and only programs
    get any that began here and of which a record lasts, so that no other owner hands out more of
    them. A budget is then exceeded by one turn at most, however many owners are lost.
    """

    def __init__(self) -> None:
        self._inherited: frozenset[str] = frozenset()
        self._begun: set[str] = set()
        self._tokens: dict[str, int] = {}
        self._open: dict[str, int] = {}

    def inherit(self, program_ids: Iterable[str]) -> None:
        """Takes note of the programs that began at an earlier owner."""
        self._inherited = frozenset(program_ids)

    def kept(self, program_id: str) -> None:
        """A record of a program is durable."""
        if program_id not in self._inherited:
            self._begun.add(program_id)

    def forget_others(self, program_ids: Iterable[str]) -> None:
        """Forgets programs but these, which are the ones that can still be continued."""
        self._begun.intersection_update(program_ids)

    def allows(self, program_id: str) -> bool:
        """Whether a program may get any: it began here, and a record of it lasts."""
        return program_id in self._begun

    def may_begin(self, program_id: str, most_tokens: int) -> bool:
        """Whether one more turn of a program can be expected to end within the bound."""
        if not self.allows(program_id):
            return False
        turns = self._open.get(program_id, 0) + 1
        expected = self._tokens.get(program_id, 0) + turns * most_tokens * USUAL_SHARE
        return expected <= most_tokens

    def begin(self, program_id: str) -> None:
        """Counts a turn whose start is not durable."""
        self._open[program_id] = self._open.get(program_id, 0) + 1

    def end(self, program_id: str) -> None:
        """Takes a turn off again."""
        left = self._open.get(program_id, 0) - 1
        if left > 0:
            self._open[program_id] = left
        else:
            self._open.pop(program_id, None)

    def hand_out(self, program_id: str, tokens: int, most_tokens: int) -> bool:
        """Counts tokens; false if they are beyond the bound and must not be handed out."""
        total = self._tokens.get(program_id, 0) + tokens
        if not self.allows(program_id) or total > most_tokens:
            return False
        self._tokens[program_id] = total
        return True

    def is_clear(self, program_id: str) -> bool:
        """Whether durable records tell of everything that a program was handed out."""
        return program_id not in self._open and program_id not in self._tokens

    def settle(self, program_ids: Iterable[str]) -> None:
        """Takes note of programs all of whose records are durable."""
        for program_id in program_ids:
            self._tokens.pop(program_id, None)
