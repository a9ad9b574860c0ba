"""Bound on tokens that callers received and that no durable record accounts for yet.

Within this bound a turn's start need not be durable before its first token. It is appended together
with the turn's end, which saves a request to the store, and tokens need not wait for a store that
is slow or unreachable.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

# A typical turn generates less than this share of its maximum number of tokens.
TYPICAL_TURN_SHARE = 1 / 3


class UnrecordedTokens:
    """Counts and bounds, by program, the tokens that the next owner of a partition may not know of.

    If this daemon crashes, or another one takes over, before the store is reachable again, the next
    owner lets the program spend these tokens once more. They are therefore limited to what one turn
    may generate, and to programs that began at this owner and have a durable record, so that no
    other owner issues such tokens for the same program. A budget is then exceeded by at most one
    turn, however many owners crash.
    """

    def __init__(self) -> None:
        self._inherited: frozenset[str] = frozenset()
        self._recorded: set[str] = set()
        self._tokens: dict[str, int] = {}
        self._open_turns: dict[str, int] = {}

    def mark_inherited(self, program_ids: Iterable[str]) -> None:
        """Records which programs began at an earlier owner; these get no unrecorded tokens."""
        self._inherited = frozenset(program_ids)

    def mark_recorded(self, program_id: str) -> None:
        """Records that a program has a durable record."""
        if program_id not in self._inherited:
            self._recorded.add(program_id)

    def retain_only(self, program_ids: Iterable[str]) -> None:
        """Drops all programs except these, which can still be continued."""
        self._recorded.intersection_update(program_ids)

    def is_allowed(self, program_id: str) -> bool:
        """Whether a program began at this owner and has a durable record."""
        return program_id in self._recorded

    def may_start_turn(self, program_id: str, max_tokens: int) -> bool:
        """Whether one more turn of a program is expected to end within the bound."""
        if not self.is_allowed(program_id):
            return False
        turns = self._open_turns.get(program_id, 0) + 1
        expected = self._tokens.get(program_id, 0) + turns * max_tokens * TYPICAL_TURN_SHARE
        return expected <= max_tokens

    def start_turn(self, program_id: str) -> None:
        """Counts a turn whose start is not durable."""
        self._open_turns[program_id] = self._open_turns.get(program_id, 0) + 1

    def end_turn(self, program_id: str) -> None:
        """Stops counting a turn, whose start is now durable or has failed."""
        left = self._open_turns.get(program_id, 0) - 1
        if left > 0:
            self._open_turns[program_id] = left
        else:
            self._open_turns.pop(program_id, None)

    def try_issue(self, program_id: str, tokens: int, max_tokens: int) -> bool:
        """Counts tokens; returns False if they exceed the bound and must not reach the caller."""
        total = self._tokens.get(program_id, 0) + tokens
        if not self.is_allowed(program_id) or total > max_tokens:
            return False
        self._tokens[program_id] = total
        return True

    def is_fully_recorded(self, program_id: str) -> bool:
        """Whether durable records account for all tokens and open turns of a program."""
        return program_id not in self._open_turns and program_id not in self._tokens

    def mark_all_recorded(self, program_ids: Iterable[str]) -> None:
        """Resets the counts of tokens of programs all of whose records are durable."""
        for program_id in program_ids:
            self._tokens.pop(program_id, None)
